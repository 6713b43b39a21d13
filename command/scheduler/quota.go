package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// maxQuotaClaim is how long a gang that waits for its workspace's quota keeps the stages behind it from using that quota.
	// Most runs end within it. Services may never end, and the workspace must not wait for them forever.
	maxQuotaClaim = 10 * time.Second
	// quotaCalm is how long no stage of a workspace has to wait for quota before the workspace counts as below it. The end of
	// each run makes room that the next start takes, and a line for each of them would tell nothing.
	quotaCalm = time.Second
	// maxReportedWorkspaces bounds the workspaces with metrics of their own; the others share one name.
	maxReportedWorkspaces = 64
	otherWorkspaces       = "other"
)

// hold counts a run of a stage as held by the workspace of its job, from its assignment to its recorded end.
func (state *state) hold(job *job, stage *stage) {
	if workspace := job.spec.Workspace(); workspace != "" {
		state.setHeld(workspace, state.heldResources[workspace].Add(stage.spec.Resources()))
	}
}

// releaseHeld undoes one call of hold.
func (state *state) releaseHeld(job *job, stage *stage) {
	if workspace := job.spec.Workspace(); workspace != "" {
		state.setHeld(workspace, state.heldResources[workspace].Sub(stage.spec.Resources()))
	}
}

func (state *state) setHeld(workspace string, held almondcross.Resources) {
	if held.IsZero() {
		delete(state.heldResources, workspace)
		return
	}
	state.heldResources[workspace] = held
}

// noteWorkspaces takes over the workspaces of a version of the configuration. Jobs of a removed workspace that were accepted
// before still run, within its last quota.
func (machine *Machine) noteWorkspaces(workspaces []almondcross.Workspace) {
	for _, workspace := range workspaces {
		machine.workspaces[workspace.Name()] = workspace.WithKeys(nil)
	}
}

// quotaTable holds what a scheduler knows of the stages that wait for the quotas of their workspaces. The usage itself is part
// of the replicated state.
type quotaTable struct {
	claims map[string]quotaClaim     // claims holds the gang of each workspace that has the first claim to its quota in the current pass.
	full   map[string]*fullWorkspace // full holds the workspaces at their quota.
}

// quotaClaim is the part of a quota that a waiting gang keeps from the stages behind it.
type quotaClaim struct {
	stage almondcross.StageID
	need  almondcross.Resources
}

// fullWorkspace is a workspace with stages that wait for its quota.
type fullWorkspace struct {
	since         time.Time
	lastWaitAt    time.Time // lastWaitAt is the time of the last pass in which a stage waited.
	waitingStages int       // waitingStages counts the stages that waited in that pass.
}

// quotaWait is since when a stage waits for its workspace's quota, zero if it does not.
type quotaWait struct {
	since     time.Time
	notedAt   time.Time // notedAt is the time of the last pass in which it waited.
	claimedAt time.Time // claimedAt is when a gang first claimed quota.
}

func newQuotaTable() quotaTable {
	return quotaTable{claims: map[string]quotaClaim{}, full: map[string]*fullWorkspace{}}
}

// startPass forgets the claims of the pass before.
func (quotatable *quotaTable) startPass() {
	clear(quotatable.claims)
	for _, full := range quotatable.full {
		full.waitingStages = 0
	}
}

// quotaRoom returns for how many tasks of a stage, at most limit, its workspace has room beside what is held.
func (machine *Machine) quotaRoom(job *job, stage *stage, held almondcross.Resources, limit int) int {
	workspace, known := machine.workspaces[job.spec.Workspace()]
	switch {
	case known:
		return almondcross.QuotaRoom(workspace.Quota(), held, stage.spec.Resources(), limit)
	case job.settings.Version() > machine.routes.Version():
		return 0 // The job was accepted by a version that this host has not read yet.
	default:
		return limit
	}
}

// claimedRoom returns for how many tasks of a stage, at most limit, its workspace has room beside what is held and what a gang
// before the stage claims.
func (machine *Machine) claimedRoom(job *job, stage *stage, limit int) int {
	name := job.spec.Workspace()
	if name == "" {
		return limit
	}
	held := machine.state.heldResources[name]
	if claim, found := machine.leader.quotas.claims[name]; found && claim.stage != stage.id {
		held = held.Add(claim.need)
	}
	return machine.quotaRoom(job, stage, held, limit)
}

// withinQuota returns the tasks to place for which the workspace has room, in its share too while that counts: the first ones,
// or all or none of a gang.
func (machine *Machine) withinQuota(job *job, stage *stage, wanted []int) []int {
	room := machine.claimedRoom(job, stage, len(wanted))
	if limit := machine.leader.shares.limit; limit > 0 {
		room = min(room, limit)
	}
	if stage.spec.Gang() && room < len(wanted) {
		return nil
	}
	return wanted[:room]
}

// tasksWithinQuota returns how many tasks of a waiting stage may be placed now.
func (machine *Machine) tasksWithinQuota(stage *stage) int {
	if job := machine.state.jobs[stage.id.Job]; job != nil {
		return machine.claimedRoom(job, stage, stage.unplaced())
	}
	return stage.unplaced()
}

// quotaAllows reports whether the workspace has room for a task of a waiting stage, or for the whole gang.
func (machine *Machine) quotaAllows(waiting *waitingStage) bool {
	needed := waiting.tasksAtOnce()
	return machine.claimedRoom(waiting.job, waiting.stage, needed) >= needed
}

// tasksAtOnce returns how many tasks of the stage have to be placed together.
func (waitingstage *waitingStage) tasksAtOnce() int {
	if waitingstage.stage.spec.Gang() {
		return waitingstage.stage.unplaced()
	}
	return 1
}

// unplaced returns the number of tasks that are neither done nor active.
func (stage *stage) unplaced() int { return stage.remainingTasks - stage.activeTasks }

// awaitQuota reports whether a stage waits for its workspace's quota in this pass. The check looks at no worker, since hundreds
// of stages may wait.
func (machine *Machine) awaitQuota(waiting *waitingStage) bool {
	if waiting.job.spec.Workspace() == "" {
		return false
	}
	allowed := machine.quotaAllows(waiting)
	if !allowed {
		machine.noteQuotaWait(waiting)
	}
	if waiting.stage.spec.Gang() {
		machine.claimQuota(waiting, allowed)
	}
	if allowed && !waiting.quota.since.IsZero() && machine.tasksWithinQuota(waiting.stage) == waiting.stage.unplaced() {
		machine.endQuotaWait(waiting)
	}
	return !allowed
}

// claimQuota lets a gang that has waited for quota keep it from the stages behind it: small tasks would otherwise take all room
// as soon as it is released. Only one gang of a workspace has a claim, and none that is larger than the quota.
func (machine *Machine) claimQuota(waiting *waitingStage, allowed bool) {
	name, count := waiting.job.spec.Workspace(), waiting.tasksAtOnce()
	if allowed && waiting.quota.claimedAt.IsZero() || machine.quotaRoom(waiting.job, waiting.stage, almondcross.Resources{}, count) < count {
		return
	}
	if _, claimed := machine.leader.quotas.claims[name]; claimed {
		return
	}
	if waiting.quota.claimedAt.IsZero() {
		waiting.quota.claimedAt = machine.now
	}
	if machine.now.Sub(waiting.quota.claimedAt) < maxQuotaClaim {
		machine.leader.quotas.claims[name] = quotaClaim{stage: waiting.stage.id, need: waiting.stage.spec.Resources().Scale(int64(count))}
	}
}

// noteQuotaWait notes that a stage waits for quota, and its workspace with it.
func (machine *Machine) noteQuotaWait(waiting *waitingStage) {
	name := waiting.job.spec.Workspace()
	full := machine.leader.quotas.full[name]
	if full == nil {
		full = &fullWorkspace{since: machine.now}
		machine.leader.quotas.full[name] = full
		machine.config.Log.Record("workspace_at_quota", append(machine.quotaFields(name), almondcross.Text("stage", waiting.stage.id.String()))...)
	}
	full.lastWaitAt = machine.now
	if !waiting.quota.notedAt.Equal(machine.now) { // A pass may look at a stage twice.
		waiting.quota.notedAt = machine.now
		full.waitingStages++
	}
	if waiting.quota.since.IsZero() {
		waiting.quota.since = machine.now
		machine.config.Log.Record("quota_wait_started", append(machine.quotaFields(name), almondcross.Text("stage", waiting.stage.id.String()),
			almondcross.Number("tasks", waiting.tasksAtOnce()), almondcross.Number("task_cpu", waiting.stage.spec.Resources().MilliCPU()))...)
	}
}

// endQuotaWait logs that a stage no longer waits for quota: there is room for all its tasks, or it has none left to place.
func (machine *Machine) endQuotaWait(waiting *waitingStage) {
	if waiting.quota.since.IsZero() {
		return
	}
	machine.config.Log.Record("quota_wait_ended", almondcross.Text("stage", waiting.stage.id.String()),
		almondcross.Text("workspace", waiting.job.spec.Workspace()), almondcross.Millis("waited_ms", machine.now.Sub(waiting.quota.since)))
	waiting.quota.since = time.Time{}
}

// quotaFields returns the usage and the quota of a workspace for a log line.
func (machine *Machine) quotaFields(name string) []almondcross.LogField {
	held, quota := machine.state.heldResources[name], machine.workspaces[name].Quota()
	return []almondcross.LogField{
		almondcross.Text("workspace", name), almondcross.Number("routes_version", machine.routes.Version()),
		almondcross.Number("held_cpu", held.MilliCPU()), almondcross.Number("held_memory_mb", held.MemoryMB()), almondcross.Number("held_accelerators", held.Accelerators()),
		almondcross.Number("quota_cpu", quota.MilliCPU()), almondcross.Number("quota_memory_mb", quota.MemoryMB()), almondcross.Number("quota_accelerators", quota.Accelerators()),
	}
}

// mayReplace reports whether the workspace of a gang member whose run has just ended has room for another run of it. A quota
// may have been lowered since the gang was placed.
func (machine *Machine) mayReplace(member *assignment) bool {
	return machine.quotaRoom(member.job, member.stage, machine.state.heldResources[member.job.spec.Workspace()], 1) > 0
}

// startKeepsQuota reports whether a run that is in the journal may start by the newest quota that this host knows, which may
// have been lowered since the run was placed.
func (machine *Machine) startKeepsQuota(assigned *assignment) bool {
	name := assigned.job.spec.Workspace()
	if name == "" || machine.quotaRoom(assigned.job, assigned.stage, machine.state.heldResources[name].Sub(assigned.resources), 1) > 0 {
		return true
	}
	machine.config.Log.Record("start_exceeds_quota", append(machine.quotaFields(name),
		almondcross.Text("task", assigned.task.String()), almondcross.Number("run", assigned.run))...)
	return false
}

// sweepQuotas logs which workspaces are no longer at their quota, and reports the usage of all.
func (machine *Machine) sweepQuotas() {
	full := machine.leader.quotas.full
	for _, name := range slices.Sorted(maps.Keys(full)) {
		if machine.now.Sub(full[name].lastWaitAt) >= quotaCalm {
			machine.config.Log.Record("workspace_below_quota", append(machine.quotaFields(name), almondcross.Millis("after_ms", full[name].lastWaitAt.Sub(full[name].since)))...)
			delete(full, name)
		}
	}
	if len(machine.workspaces) > 0 {
		machine.config.Metrics.Workspaces(machine.workspaceUsages())
	}
}

// workspaceUsages returns the usage of the first workspaces by name, and the sum of the others.
func (machine *Machine) workspaceUsages() []almondcross.WorkspaceUsage {
	var usages []almondcross.WorkspaceUsage
	for position, name := range slices.Sorted(maps.Keys(machine.workspaces)) {
		usage := almondcross.WorkspaceUsageConfig{Workspace: name, Held: machine.state.heldResources[name], Quota: machine.workspaces[name].Quota()}
		if full := machine.leader.quotas.full[name]; full != nil {
			usage.WaitingStages = full.waitingStages
		}
		if position > maxReportedWorkspaces {
			others := usages[maxReportedWorkspaces]
			usages[maxReportedWorkspaces] = others.WithHeld(others.Held().Add(usage.Held)).WithWaitingStages(others.WaitingStages() + usage.WaitingStages)
			continue
		}
		if position == maxReportedWorkspaces {
			usage.Workspace, usage.Quota = otherWorkspaces, almondcross.Resources{}
		}
		usages = append(usages, almondcross.NewWorkspaceUsage(usage))
	}
	return usages
}
