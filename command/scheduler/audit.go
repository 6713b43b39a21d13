package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/almondcross/almondcross"
)

// workspaceAudit is the difference between the workspaces of two versions of the configuration. It has no keys, only their
// number.
type workspaceAudit struct {
	added, removed, changed []string
	keysAdded, keysRemoved  int
	quotas                  []string // quotas holds the quotas that differ, before and after.
}

// newWorkspaceAudit compares two versions. A key that moves to another workspace counts as removed and added.
func newWorkspaceAudit(before, after almondcross.RouteTable) workspaceAudit {
	var audit workspaceAudit
	for _, workspace := range after.Workspaces() {
		previous, known := before.Workspace(workspace.Name())
		gained, lost := missing(workspace.Keys(), previous.Keys()), missing(previous.Keys(), workspace.Keys())
		audit.keysAdded, audit.keysRemoved = audit.keysAdded+gained, audit.keysRemoved+lost
		switch {
		case !known:
			audit.added = append(audit.added, workspace.Name())
		case gained+lost > 0 || previous.Weight() != workspace.Weight() || previous.Quota() != workspace.Quota():
			audit.changed = append(audit.changed, workspace.Name())
		}
		audit.compareQuotas(workspace.Name(), previous.Quota(), workspace.Quota())
	}
	for _, workspace := range before.Workspaces() {
		if _, known := after.Workspace(workspace.Name()); !known {
			audit.removed = append(audit.removed, workspace.Name())
			audit.keysRemoved += len(workspace.Keys())
			audit.compareQuotas(workspace.Name(), workspace.Quota(), almondcross.Resources{})
		}
	}
	return audit
}

// missing returns the number of keys that are not among others.
func missing(keys, others []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

func (workspaceaudit *workspaceAudit) compareQuotas(name string, before, after almondcross.Resources) {
	if before != after {
		workspaceaudit.quotas = append(workspaceaudit.quotas, fmt.Sprintf("%s %s -> %s", name, quotaText(before), quotaText(after)))
	}
}

// quotaText returns the millicores, the megabytes and the accelerators of a quota; 0 means no limit.
func quotaText(quota almondcross.Resources) string {
	return fmt.Sprintf("%d/%d/%d", quota.MilliCPU(), quota.MemoryMB(), quota.Accelerators())
}

// auditWorkspaces logs what a version of the configuration changes in the workspaces. Cells that have never had any get no line.
func (machine *Machine) auditWorkspaces(before, after almondcross.RouteTable) {
	if !before.KeysRequired() && !after.KeysRequired() {
		return
	}
	audit := newWorkspaceAudit(before, after)
	machine.config.Log.Record("workspaces_in_force", almondcross.Number("version", after.Version()), almondcross.Number("before", before.Version()),
		almondcross.Text("keys_required", yesNo(after.KeysRequired())), almondcross.Number("workspaces", len(after.Workspaces())),
		almondcross.Text("added", strings.Join(audit.added, ", ")), almondcross.Text("removed", strings.Join(audit.removed, ", ")),
		almondcross.Text("changed", strings.Join(audit.changed, ", ")), almondcross.Number("keys_added", audit.keysAdded),
		almondcross.Number("keys_removed", audit.keysRemoved), almondcross.Text("quotas", strings.Join(audit.quotas, ", ")))
}
