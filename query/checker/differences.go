package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/almondcross/almondcross"
)

// Differences returns what a configuration changes in the one that is in force, and an error if hosts would ignore it.
func Differences(inForce, table almondcross.RouteTable) []almondcross.Finding {
	var findings []almondcross.Finding
	if table.Version() <= inForce.Version() {
		findings = append(findings, newError(sectionPlace(almondcross.SectionVersion),
			"version %d is not higher than version %d in force, so hosts ignore it", table.Version(), inForce.Version()))
	}
	if before, after := inForce.BodyLimit(), table.BodyLimit(); before != after {
		findings = append(findings, newDifference(sectionPlace(almondcross.SectionBodyLimit), "%d -> %d bytes", before, after))
	}
	queues := list[almondcross.Queue]{section: almondcross.SectionQueues, name: almondcross.Queue.Name, values: queueValues}
	pools := list[almondcross.Pool]{section: almondcross.SectionPools, name: almondcross.Pool.Name, values: poolValues}
	workspaces := list[almondcross.Workspace]{
		section: almondcross.SectionWorkspaces, name: almondcross.Workspace.Name, values: workspaceValues, extra: keyChanges,
	}
	findings = append(findings, queues.compare(inForce.Queues(), table.Queues())...)
	findings = append(findings, pools.compare(inForce.Pools(), table.Pools())...)
	if inForce.KeysRequired() != table.KeysRequired() {
		text := "callers need keys from this version on"
		if inForce.KeysRequired() {
			text = "callers need no keys any more"
		}
		findings = append(findings, newDifference(sectionPlace(almondcross.SectionWorkspaces), "%s", text))
	}
	return append(findings, workspaces.compare(inForce.Workspaces(), table.Workspaces())...)
}

// value is a field of an item as it is shown.
type value struct{ name, text string }

// list compares the items of a section's list by their names.
type list[T any] struct {
	section almondcross.ConfigurationSection
	name    func(item T) string
	values  func(item T) []value           // values returns the fields of an item, in the same order for all items.
	extra   func(before, after T) []string // extra returns further changes, nil for none. The item before or after may be the zero value.
}

func (list list[T]) compare(before, after []T) []almondcross.Finding {
	var findings []almondcross.Finding
	var absent T
	for _, item := range before {
		if _, found := list.find(after, list.name(item)); !found {
			place := itemPlace(list.section, almondcross.NoPosition, list.name(item))
			findings = append(findings, newDifference(place, "%s", strings.Join(append([]string{"removed"}, list.extras(item, absent)...), ", ")))
		}
	}
	for position, item := range after {
		place := itemPlace(list.section, position, list.name(item))
		previous, found := list.find(before, list.name(item))
		if !found {
			findings = append(findings, newDifference(place, "%s", strings.Join(append([]string{"added"}, list.extras(absent, item)...), ", ")))
			continue
		}
		if changes := list.changes(previous, item); len(changes) > 0 {
			findings = append(findings, newDifference(place, "%s", strings.Join(changes, ", ")))
		}
	}
	return findings
}

func (list list[T]) find(items []T, name string) (T, bool) {
	index := slices.IndexFunc(items, func(item T) bool { return list.name(item) == name })
	if index < 0 {
		var absent T
		return absent, false
	}
	return items[index], true
}

func (list list[T]) changes(before, after T) []string {
	var changes []string
	previous := list.values(before)
	for index, current := range list.values(after) {
		if current != previous[index] {
			changes = append(changes, fmt.Sprintf("%s %s -> %s", current.name, previous[index].text, current.text))
		}
	}
	return append(changes, list.extras(before, after)...)
}

func (list list[T]) extras(before, after T) []string {
	if list.extra == nil {
		return nil
	}
	return list.extra(before, after)
}

func queueValues(queue almondcross.Queue) []value {
	advice := "none"
	if settings := queue.AdviceSettings(); settings.Required() {
		advice = fmt.Sprintf("%s + %s for each worker, valid for %s", settings.Base(), settings.PerWorker(), settings.Validity())
	}
	return []value{
		{"host", strconv.Quote(queue.Host())},
		{"prefix", strconv.Quote(queue.Prefix())},
		{"pool", strconv.Quote(queue.Pool())},
		{"priority", strconv.Itoa(queue.Priority())},
		{"limit of attempts", strconv.Itoa(queue.MaxAttempts())},
		{"stretch", strconv.FormatFloat(queue.Stretch(), 'g', -1, 64)},
		{"latency target", queue.LatencyTarget().String()},
		{"advice", advice},
		{"open", strconv.FormatBool(queue.Open())},
	}
}

func poolValues(pool almondcross.Pool) []value {
	return []value{
		{"enforces capacity", strconv.FormatBool(pool.EnforcesCapacity())},
		{"standby", strconv.FormatBool(pool.Standby())},
	}
}

// workspaceValues returns the fields of a workspace without its keys.
func workspaceValues(workspace almondcross.Workspace) []value {
	quota := workspace.Quota()
	return []value{
		{"weight", strconv.FormatInt(workspace.Weight(), 10)},
		{"quota of millicores", limitText(quota.MilliCPU())},
		{"quota of memory in MB", limitText(quota.MemoryMB())},
		{"quota of accelerators", limitText(quota.Accelerators())},
	}
}

// limitText returns a limit of a quota, where 0 is no limit.
func limitText(limit int64) string {
	if limit == 0 {
		return "none"
	}
	return strconv.FormatInt(limit, 10)
}

// keyChanges returns how many keys a workspace gains and loses. A key that moves to another workspace counts in both.
func keyChanges(before, after almondcross.Workspace) []string {
	var changes []string
	if gained := countMissing(after.Keys(), before.Keys()); gained > 0 {
		changes = append(changes, "keys gained: "+strconv.Itoa(gained))
	}
	if lost := countMissing(before.Keys(), after.Keys()); lost > 0 {
		changes = append(changes, "keys lost: "+strconv.Itoa(lost))
	}
	return changes
}

// countMissing returns the number of keys that are not among others.
func countMissing(keys, others []string) int {
	known := map[string]bool{}
	for _, other := range others {
		known[other] = true
	}
	count := 0
	for _, key := range keys {
		if !known[key] {
			count++
		}
	}
	return count
}
