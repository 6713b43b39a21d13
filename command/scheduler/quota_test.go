package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// quotaActions drive a cell at random.
func quotaActions(cell *quotaCell) map[string]func(*rapid.T) {
	submitted, takeovers := 0, 0
	drawJob := func(t *rapid.T) almondcross.JobID {
		return almondcross.JobID(fmt.Sprintf("j-%02d", rapid.IntRange(0, max(submitted-1, 0)).Draw(t, "job")))
	}
	drawWorker := func(t *rapid.T) *cellWorker {
		return cell.workers[fmt.Sprintf("w-%02d", rapid.IntRange(0, len(cell.workers)-1).Draw(t, "worker"))]
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			cell.submit(almondcross.JobID(fmt.Sprintf("j-%02d", submitted)), rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(t, "workspace"), almondcross.StepConfig{
				Count: rapid.IntRange(1, 6).Draw(t, "tasks"), Gang: rapid.Bool().Draw(t, "gang"),
				Resources: milliCPU(rapid.SampledFrom([]int64{500, 1000, 1500}).Draw(t, "cpu")),
			})
			submitted++
		},
		"pass": func(t *rapid.T) {
			cell.pass(time.Duration(rapid.IntRange(1, 30).Draw(t, "hundredths")) * 10 * time.Millisecond)
		},
		"wait": func(*rapid.T) { cell.pass(4 * time.Second) },
		"end runs": func(t *rapid.T) {
			cell.endRuns(drawJob(t), rapid.IntRange(1, 6).Draw(t, "count"), rapid.SampledFrom([]almondcross.EndKind{almondcross.EndDone, almondcross.EndDone, almondcross.EndFailed}).Draw(t, "kind"))
		},
		"cancel": func(t *rapid.T) {
			if id := drawJob(t); submitted > 0 {
				cell.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: "h-2", Number: 2, Intake: almondcross.NewIntake(
					almondcross.IntakeConfig{Cancel: true, Job: cell.jobs[id].WithSteps(nil), Settings: settings(cell.version, "q")},
				)}))
			}
		},
		"change a worker": func(t *rapid.T) {
			worker := drawWorker(t)
			worker.silent = !worker.silent
		},
		"deliver late": func(t *rapid.T) {
			worker := drawWorker(t)
			for _, order := range worker.late {
				cell.start(worker, order)
			}
			worker.late = nil
		},
		"change the quota": func(t *rapid.T) {
			cell.quotas["a"] = milliCPU(rapid.SampledFrom([]int64{2000, 4000, 6000, 9000}).Draw(t, "quota"))
			cell.readRoutes()
		},
		"take over": func(*rapid.T) {
			if takeovers++; takeovers <= 2 {
				cell.takeOver()
			}
		},
		"": func(*rapid.T) { cell.requireExactCount() },
	}
}

// Guards against runs of a workspace that hold more than its quota (RULE on quotas): after an end that is counted twice or
// never, on a scheduler that takes over, after a snapshot, or once the quota has been lowered. Without the check before a start
// order is sent, a run starts after the quota was lowered while its append was under way.
func TestRunsOfAWorkspaceStayWithinItsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := newQuotaCell(t, 4, 2, map[string]almondcross.Resources{"a": milliCPU(6000), "b": {}})
		cell.drop = func(almondcross.StartOrder) (carriedOut, lost bool) {
			fate := rapid.IntRange(0, 9).Draw(t, "fate")
			return fate > 0, fate == 1
		}
		t.Repeat(quotaActions(cell))
	})
}

// Guards against a successor that computes another usage than the scheduler that was lost in the middle of a burst, and fills
// the quota again beside the runs that are still there.
func TestSuccessorKeepsTheQuotaInABurst(t *testing.T) {
	cell := newQuotaCell(t, 6, 1, map[string]almondcross.Resources{"a": milliCPU(8000), "b": {}})
	for index := range 20 {
		cell.submit(almondcross.JobID(fmt.Sprintf("burst-%02d", index)), "a", almondcross.StepConfig{Count: 3, Resources: milliCPU(1000)})
	}
	// The last starts have no answer, and some of them arrive late.
	cell.drop = func(almondcross.StartOrder) (bool, bool) { return cell.starts < 6, cell.starts >= 4 }
	cell.pass(100 * time.Millisecond)
	cell.takeOver()
	for _, worker := range cell.workers {
		for _, order := range worker.late {
			cell.start(worker, order)
		}
	}
	cell.drop = func(almondcross.StartOrder) (bool, bool) { return true, false }
	cell.submit("other", "b", almondcross.StepConfig{Count: 8, Resources: milliCPU(1000)})
	cell.pass(time.Second)
	cell.requireExactCount()
	require.Equal(t, int64(8000), cell.held("a").MilliCPU(), "the quota is used again")
	require.Equal(t, 8, cell.runCount("other"))
}

// Guards against head-of-line blocking: a workspace at its quota that keeps advice, reservations or the attention of a pass
// from another one.
func TestWorkspaceAtItsQuotaDelaysNoOther(t *testing.T) {
	cell := newQuotaCell(t, 4, 0, map[string]almondcross.Resources{"a": milliCPU(3000), "b": {}})
	for index := range 200 {
		cell.submit(almondcross.JobID(fmt.Sprintf("a-%03d", index)), "a", almondcross.StepConfig{Count: 4, Gang: index%2 == 0, Resources: milliCPU(1000)})
	}
	cell.pass(50 * time.Millisecond)
	require.Equal(t, int64(3000), cell.held("a").MilliCPU())
	cell.advance(leaderTick)
	require.Equal(t, len(cell.workers), cell.machine.leader.examinedWorkers, "a pass looks at no worker for a stage at the quota")
	cell.requireAdvice()
	cell.advance(leaderTick)
	_, found := takeEffect[SendAdviceQuery](cell.harness)
	require.False(t, found, "no stage at the quota asks for advice")
	require.Zero(t, cell.machine.leader.reservedCPU)
	cell.submit("b-0", "b", almondcross.StepConfig{Count: 5, Resources: milliCPU(1000)})
	cell.advance(leaderTick)
	cell.grantAdvice()
	cell.pass(20 * time.Millisecond)
	require.Equal(t, 5, cell.runCount("b-0"))
	requireLines(t, cell, map[string]int{"workspace_at_quota": 1, "workspace_below_quota": 0})
	require.Equal(t, 200, cell.machine.workspaceUsages()[0].WaitingStages())
}

// Guards against calls for advice for tasks that the quota keeps back: for those that a pass could not place beside the others
// of their step, and for more workers than the tasks within the quota need.
func TestAdviceIsAskedForTasksWithinTheQuota(t *testing.T) {
	cell := newQuotaCell(t, 30, 0, map[string]almondcross.Resources{"a": milliCPU(3000)})
	cell.requireAdvice()
	cell.submit("wide", "a", almondcross.StepConfig{Count: 100, Resources: milliCPU(1000)})
	cell.advance(leaderTick)
	query := requireEffect[SendAdviceQuery](cell.harness)
	require.Len(t, query.Query.Workers(), minWorkersPerCall)
	cell.effects = append(cell.effects, query)
	cell.grantAdvice()
	cell.advance(minPlacementInterval)
	require.Equal(t, int64(3000), cell.machine.state.heldResources["a"].MilliCPU())
	_, found := takeEffect[SendAdviceQuery](cell.harness)
	require.False(t, found)
}

// Guards against a gang member that is assigned again, for a member whose start was refused, after the quota was lowered.
func TestGangMemberIsReplacedWithinTheQuota(t *testing.T) {
	cell := newQuotaCell(t, 4, 0, map[string]almondcross.Resources{"a": milliCPU(4000)})
	cell.submit("gang", "a", almondcross.StepConfig{Count: 4, Gang: true, Resources: milliCPU(1000)})
	cell.advance(minPlacementInterval)
	cell.answerCommits()
	var refused almondcross.StartOrder
	for sent, found := takeEffect[SendStart](cell.harness); found; sent, found = takeEffect[SendStart](cell.harness) {
		refused = sent.Order
	}
	cell.quotas["a"] = milliCPU(2000)
	cell.readRoutes()
	cell.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: refused, Result: almondcross.OrderUnavailable, Received: cell.now}))
	require.Equal(t, int64(3000), cell.machine.state.heldResources["a"].MilliCPU())
}

// requireLines counts the log lines of events.
func requireLines(t *testing.T, cell *quotaCell, counts map[string]int) {
	t.Helper()
	for event, expected := range counts {
		found := 0
		for _, line := range cell.log.lines {
			if len(line) >= len(event) && line[:len(event)] == event {
				found++
			}
		}
		require.Equal(t, expected, found, event)
	}
}

// Guards against a gang that never starts beside small tasks of its workspace, which take all room as soon as it is released,
// and against one that is larger than its quota and blocks its workspace instead of waiting.
func TestGangClaimsTheQuotaOfItsWorkspace(t *testing.T) {
	cell := newQuotaCell(t, 4, 0, map[string]almondcross.Resources{"a": milliCPU(4000)})
	cell.submit("early", "a", almondcross.StepConfig{Count: 3, Resources: milliCPU(1000)})
	cell.submit("wide", "a", almondcross.StepConfig{Count: 5, Gang: true, Resources: milliCPU(1000)})
	cell.submit("gang", "a", almondcross.StepConfig{Count: 4, Gang: true, Resources: milliCPU(1000)})
	cell.submit("small", "a", almondcross.StepConfig{Count: 8, Resources: milliCPU(1000)})
	for range 3 {
		cell.pass(100 * time.Millisecond)
		require.Zero(t, cell.runCount("small"), "the gang has the first claim")
		cell.endRuns("early", 1, almondcross.EndDone)
	}
	cell.pass(100 * time.Millisecond)
	require.Equal(t, 4, cell.runCount("gang"))
	cell.endRuns("gang", 4, almondcross.EndDone)
	for range 2 { // The step is wider than the quota and runs in waves.
		cell.pass(100 * time.Millisecond)
		require.Equal(t, 4, cell.runCount("small"))
		cell.endRuns("small", 4, almondcross.EndDone)
	}
	cell.pass(2 * time.Second)
	require.Zero(t, cell.runCount("wide"))
	require.Equal(t, almondcross.JobQueued, cell.machine.state.jobs["wide"].state, "a job that was accepted waits")
	requireLines(t, cell, map[string]int{"workspace_at_quota": 1, "quota_wait_started": 3, "quota_wait_ended": 2})
	cell.quotas["a"] = milliCPU(5000)
	cell.readRoutes()
	cell.pass(2 * time.Second)
	require.Equal(t, 5, cell.runCount("wide"))
	requireLines(t, cell, map[string]int{"workspace_below_quota": 1, "quota_wait_ended": 3})
}

// Guards against a gang that claims the quota of its workspace without end beside a service.
func TestClaimOfAGangEnds(t *testing.T) {
	cell := newQuotaCell(t, 4, 0, map[string]almondcross.Resources{"a": milliCPU(4000)})
	cell.submit("service", "a", almondcross.StepConfig{Count: 1, Service: true, Resources: milliCPU(1000)})
	cell.submit("gang", "a", almondcross.StepConfig{Count: 4, Gang: true, Resources: milliCPU(1000)})
	cell.submit("small", "a", almondcross.StepConfig{Count: 3, Resources: milliCPU(1000)})
	cell.pass(maxQuotaClaim / 2)
	require.Zero(t, cell.runCount("small"))
	cell.pass(maxQuotaClaim)
	require.Equal(t, 3, cell.runCount("small"))
}

// Guards against a start above a quota that was lowered while the append of the run was under way, and against a job that
// starts before its host knows the quota of its workspace.
func TestStartIsCheckedAgainstTheNewestQuota(t *testing.T) {
	cell := newQuotaCell(t, 2, 0, map[string]almondcross.Resources{"a": milliCPU(4000)})
	cell.submit("j", "a", almondcross.StepConfig{Count: 4, Resources: milliCPU(1000)})
	cell.advance(minPlacementInterval)
	require.Equal(t, int64(4000), cell.machine.state.heldResources["a"].MilliCPU(), "the runs are placed")
	require.Zero(t, cell.starts)
	cell.quotas["a"] = milliCPU(1000)
	cell.readRoutes()
	cell.pass(100 * time.Millisecond)
	require.Equal(t, 1, cell.starts)
	require.Equal(t, int64(1000), cell.machine.state.heldResources["a"].MilliCPU())

	cell.version++ // A host accepts a job by a version that the scheduler has not read.
	cell.submit("k", "new", almondcross.StepConfig{Count: 1, Resources: milliCPU(100)})
	cell.version--
	cell.pass(100 * time.Millisecond)
	require.Zero(t, cell.runCount("k"))
	cell.quotas["new"] = almondcross.Resources{}
	cell.readRoutes()
	cell.pass(100 * time.Millisecond)
	require.Equal(t, 1, cell.runCount("k"))
	delete(cell.quotas, "a")
	cell.readRoutes()
	cell.pass(100 * time.Millisecond)
	require.Equal(t, int64(1000), cell.machine.state.heldResources["a"].MilliCPU(), "a removed workspace keeps its quota")
}

// Guards against as many metrics as a configuration has workspaces.
func TestReportedWorkspacesAreBounded(t *testing.T) {
	quotas := map[string]almondcross.Resources{}
	for index := range 2 * maxReportedWorkspaces {
		quotas[fmt.Sprintf("w-%03d", index)] = milliCPU(1000)
	}
	cell := newQuotaCell(t, 1, 0, quotas)
	for index := range 4 {
		cell.submit(almondcross.JobID(fmt.Sprintf("j-%d", index)), fmt.Sprintf("w-%03d", maxReportedWorkspaces+index/2), almondcross.StepConfig{Count: 1, Resources: milliCPU(1000)})
	}
	cell.pass(20 * time.Millisecond)
	usages := cell.machine.workspaceUsages()
	require.Len(t, usages, maxReportedWorkspaces+1)
	require.Equal(t, almondcross.NewWorkspaceUsage(almondcross.WorkspaceUsageConfig{Workspace: otherWorkspaces, Held: milliCPU(2000), WaitingStages: 2}), usages[maxReportedWorkspaces])
}
