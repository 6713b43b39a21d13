package checker

import (
	"slices"

	"github.com/almondcross/almondcross"
)

// checkWorkspaces checks the keys, weights and quotas of the workspaces.
func checkWorkspaces(table almondcross.RouteTable) []almondcross.Finding {
	var findings []almondcross.Finding
	needed := slices.ContainsFunc(table.Queues(), func(queue almondcross.Queue) bool { return !queue.Open() })
	if table.KeysRequired() && len(table.Workspaces()) == 0 && needed {
		findings = append(findings, newWarning(sectionPlace(almondcross.SectionWorkspaces),
			"the list is empty, so callers need keys and there are none: all queues that are not open answer 401"))
	}
	weighted := slices.ContainsFunc(table.Workspaces(), func(workspace almondcross.Workspace) bool { return workspace.Weight() > 0 })
	for position, workspace := range table.Workspaces() {
		place := itemPlace(almondcross.SectionWorkspaces, position, workspace.Name())
		if len(workspace.Keys()) == 0 {
			findings = append(findings, newWarning(place, "it has no keys, so no caller can use it"))
		}
		if weighted && workspace.Weight() == 0 {
			findings = append(findings, newWarning(place, "it has no weight beside others that have one"))
		}
		switch quota := workspace.Quota(); {
		case quota.MilliCPU() > 0 && quota.MemoryMB() == 0:
			findings = append(findings, newWarning(place, "its quota limits the processors to %d millicores, and the memory not at all", quota.MilliCPU()))
		case quota.MilliCPU() == 0 && quota.MemoryMB() > 0:
			findings = append(findings, newWarning(place, "its quota limits the memory to %d MB, and the processors not at all", quota.MemoryMB()))
		}
	}
	return findings
}
