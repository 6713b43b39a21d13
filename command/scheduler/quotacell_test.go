package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// cellWorker is a worker that carries out orders.
type cellWorker struct {
	id      string
	fence   int64 // fence is the highest token that the worker has seen.
	until   time.Duration
	silent  bool // silent is set while no order reaches the worker.
	running map[almondcross.JobTask]int
	blocked map[almondcross.JobTask]int // blocked holds the last run of a task that was started or stopped.
	ended   []almondcross.EndedTask
	late    []almondcross.StartOrder // late holds unanswered orders that may still arrive.
	ends    int64
	leases  []sentLease // leases holds the lease orders that wait for an end.
}

// sentLease is a lease order on its worker.
type sentLease struct {
	order  almondcross.LeaseOrder
	sentAt time.Time
}

// quotaCell is a scheduler with standbys and workers. It checks each start against the quota of the job's workspace.
type quotaCell struct {
	*harness
	bootAt  time.Time
	workers map[string]*cellWorker
	ids     []string // ids holds the names of the workers in order.
	version int64
	quotas  map[string]almondcross.Resources
	weights map[string]int64 // weights holds the weights that are not 1.
	jobs    map[almondcross.JobID]almondcross.Job
	// drop reports what becomes of a start order: whether it is carried out, and whether its answer is lost.
	drop   func(order almondcross.StartOrder) (carriedOut, lost bool)
	starts int
	log    eventLines
}

// Record implements almondcross.EventLog. It checks that each placement stays within the quota by the newest configuration.
func (cell *quotaCell) Record(event string, fields ...almondcross.LogField) {
	cell.log.Record(event, fields...)
	if event != "run_placed" {
		return
	}
	id, _, _ := strings.Cut(fields[0].Text, ".")
	name := cell.jobs[almondcross.JobID(id)].Workspace()
	if quota := cell.quotas[name].MilliCPU(); name != "" && quota > 0 {
		require.LessOrEqual(cell.t, cell.machine.state.heldResources[name].MilliCPU(), quota, "%s is placed above the quota of %s", fields[0].Text, name)
	}
}

// milliCPU returns an amount of processor time, with 100 MB of memory for each core.
func milliCPU(amount int64) almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: amount, MemoryMB: amount / 10})
}

func newQuotaCell(t testingT, workers, standbys int, quotas map[string]almondcross.Resources) *quotaCell {
	cell := &quotaCell{
		harness: newHarness(t), workers: map[string]*cellWorker{}, quotas: quotas, jobs: map[almondcross.JobID]almondcross.Job{},
		drop: func(almondcross.StartOrder) (bool, bool) { return true, false },
	}
	cell.machine.config.Log = cell
	cell.bootAt = cell.now
	for index := range workers {
		id := fmt.Sprintf("w-%02d", index)
		cell.ids = append(cell.ids, id)
		cell.workers[id] = &cellWorker{id: id, running: map[almondcross.JobTask]int{}, blocked: map[almondcross.JobTask]int{}}
	}
	last := cell.harness
	for range standbys {
		last = last.addStandby()
	}
	cell.readRoutes()
	cell.awaitElection()
	cell.answerElection()
	cell.listWorkers()
	cell.pass(50 * time.Millisecond)
	return cell
}

// readRoutes lets all hosts read a version of the configuration with the current quotas.
func (cell *quotaCell) readRoutes() {
	cell.version++
	config := almondcross.RouteTableConfig{Version: cell.version, KeysRequired: true, Queues: []almondcross.Queue{
		almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool", MaxAttempts: 3}),
	}}
	for _, name := range slices.Sorted(maps.Keys(cell.quotas)) {
		config.Workspaces = append(config.Workspaces, almondcross.NewWorkspace(almondcross.WorkspaceConfig{Name: name, Weight: max(cell.weights[name], 1), Quota: cell.quotas[name]}))
	}
	for host := cell.harness; host != nil; host = host.standby {
		host.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: almondcross.NewRouteTable(config)}))
	}
}

func (cell *quotaCell) listWorkers() {
	var changes []almondcross.WorkerChange
	for _, id := range cell.ids {
		changes = append(changes, almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: id, Present: true, Worker: poolWorker.WithID(id).WithAddress(id + ":1")}))
	}
	cell.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true, Changes: changes}))
}

// submit hands in a job of a workspace with one step of equal tasks.
func (cell *quotaCell) submit(id almondcross.JobID, workspace string, step almondcross.StepConfig) {
	job := almondcross.NewJob(almondcross.JobConfig{
		ID: id, Queue: "q", Workspace: workspace, Payload: "p", Submitted: cell.now, Steps: []almondcross.Step{almondcross.NewStep(step)},
	})
	cell.jobs[id] = job
	cell.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: "h-2", Number: 1, Intake: almondcross.NewIntake(
		almondcross.IntakeConfig{Job: job, Settings: settings(cell.version, "q")},
	)}))
}

// pass advances for a time and carries out the orders of the scheduler.
func (cell *quotaCell) pass(span time.Duration) {
	for end := cell.now.Add(span); cell.now.Before(end); {
		cell.advance(10 * time.Millisecond)
		cell.settle()
	}
}

// settle answers the requests of the scheduler. Lease orders wait on their workers.
func (cell *quotaCell) settle() {
	cell.expireLeases()
	for len(cell.effects) > 0 {
		effects := cell.effects
		cell.effects = nil
		for _, effect := range effects {
			switch effect := effect.(type) {
			case Commit:
				cell.effects = append(cell.effects, effect)
				cell.answerCommit()
			case SendLease:
				worker := cell.workers[effect.Order.Worker().ID()]
				worker.leases = append(worker.leases, sentLease{order: effect.Order, sentAt: cell.now})
			case SendStart, SendStop:
				cell.carryOut(effect)
			}
		}
	}
	for _, id := range cell.ids {
		cell.answerLeases(cell.workers[id])
	}
}

// answerLeases answers the lease orders of a worker that have waited for long enough or have an end to report.
func (cell *quotaCell) answerLeases(worker *cellWorker) {
	leases := worker.leases
	worker.leases = nil
	for _, lease := range leases {
		ends := len(worker.ended) > 0 && worker.ended[len(worker.ended)-1].Sequence() > lease.order.Acknowledged()
		switch {
		case worker.silent:
			cell.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{Order: lease.order, Result: almondcross.OrderUnknown, Sent: lease.sentAt, Received: cell.now}))
		case lease.order.ListOnly() || ends || cell.now.Sub(lease.sentAt) >= lease.order.Wait():
			cell.carryOutLease(worker, lease)
		default:
			worker.leases = append(worker.leases, lease)
		}
	}
}

func (cell *quotaCell) clock() time.Duration { return cell.now.Sub(cell.bootAt) + time.Hour }

// expireLeases ends the runs of workers whose leases have expired.
func (cell *quotaCell) expireLeases() {
	for _, worker := range cell.workers {
		if len(worker.running) > 0 && cell.clock() > worker.until {
			for _, task := range worker.tasks() {
				worker.end(task, almondcross.EndLeaseExpired)
			}
		}
	}
}

// tasks returns the running tasks in order.
func (cellworker *cellWorker) tasks() []almondcross.JobTask {
	return slices.SortedFunc(maps.Keys(cellworker.running), almondcross.JobTask.Compare)
}

// end ends the run of a task.
func (cellworker *cellWorker) end(task almondcross.JobTask, kind almondcross.EndKind) {
	cellworker.ends++
	cellworker.ended = append(cellworker.ended, almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: cellworker.ends, Task: task, Run: cellworker.running[task], Kind: kind}))
	delete(cellworker.running, task)
}

// carryOut carries out an order and answers it.
func (cell *quotaCell) carryOut(effect Effect) {
	switch effect := effect.(type) {
	case SendStart:
		cell.carryOutStart(effect.Order)
	case SendStop:
		worker := cell.workers[effect.Order.Worker().ID()]
		if worker.silent {
			return
		}
		if run, found := worker.running[effect.Order.Task()]; found && run == effect.Order.Run() {
			worker.end(effect.Order.Task(), almondcross.EndStopped)
		}
		worker.blocked[effect.Order.Task()] = max(worker.blocked[effect.Order.Task()], effect.Order.Run())
		cell.apply(almondcross.NewStopOrderAnswered(almondcross.StopOrderAnsweredConfig{Order: effect.Order, Result: almondcross.OrderDone}))
	}
}

func (cell *quotaCell) carryOutLease(worker *cellWorker, lease sentLease) {
	order := lease.order
	worker.fence = max(worker.fence, order.Fence())
	worker.ended = slices.DeleteFunc(worker.ended, func(end almondcross.EndedTask) bool { return end.Sequence() <= order.Acknowledged() })
	if !order.ListOnly() {
		worker.until = max(worker.until, order.Until())
	}
	report := almondcross.WorkerReportConfig{ID: worker.id, Incarnation: 1, Clock: cell.clock(), Ended: slices.Clone(worker.ended)}
	for _, task := range worker.tasks() {
		report.Running = append(report.Running, almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: task, Run: worker.running[task], Progress: int(cell.clock() / time.Second)}))
	}
	cell.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderDone, Report: almondcross.NewWorkerReport(report), Sent: lease.sentAt, Received: cell.now,
	}))
}

func (cell *quotaCell) carryOutStart(order almondcross.StartOrder) {
	worker := cell.workers[order.Worker().ID()]
	carriedOut, lost := cell.drop(order)
	result := almondcross.OrderUnknown
	switch {
	case worker.silent:
	case !carriedOut:
		worker.late = append(worker.late, order)
	case !cell.start(worker, order):
		result = almondcross.OrderFenced
		if order.Fence() >= worker.fence {
			result = almondcross.OrderRunEnded
		}
	case !lost:
		result = almondcross.OrderDone
	}
	answer := almondcross.StartOrderAnsweredConfig{Order: order, Result: result, Received: cell.now}
	if result == almondcross.OrderDone {
		answer.Incarnation = 1
	}
	cell.apply(almondcross.NewStartOrderAnswered(answer))
}

// start starts a run unless the worker refuses it. What the runs of its workspace hold on all workers must stay within the
// bound on a quota, which is a tenth and one task above it; in fact it stays within the quota.
func (cell *quotaCell) start(worker *cellWorker, order almondcross.StartOrder) bool {
	if order.Fence() < worker.fence || worker.blocked[order.Task()] >= order.Run() || order.Until() < cell.clock() {
		return false
	}
	worker.fence, worker.until = order.Fence(), max(worker.until, order.Until())
	worker.running[order.Task()], worker.blocked[order.Task()] = order.Run(), order.Run()
	cell.starts++
	name := cell.jobs[order.Task().Stage.Job].Workspace()
	held := cell.held(name)
	if quota := cell.quotas[name].MilliCPU(); name != "" && quota > 0 {
		require.LessOrEqual(cell.t, held.MilliCPU(), quota, "%s starts above the quota of %s", order.Task(), name)
	}
	return true
}

// held returns what the runs of a workspace hold on all workers.
func (cell *quotaCell) held(workspace string) almondcross.Resources {
	var held almondcross.Resources
	for _, worker := range cell.workers {
		for task := range worker.running {
			if job := cell.jobs[task.Stage.Job]; job.Workspace() == workspace {
				held = held.Add(job.Steps()[task.Stage.Step].Resources())
			}
		}
	}
	return held
}

// runCount returns how many runs of a job the workers have.
func (cell *quotaCell) runCount(id almondcross.JobID) int {
	count := 0
	for _, worker := range cell.workers {
		for task := range worker.running {
			if task.Stage.Job == id {
				count++
			}
		}
	}
	return count
}

// endRuns ends up to a number of runs of a job.
func (cell *quotaCell) endRuns(id almondcross.JobID, count int, kind almondcross.EndKind) {
	for _, name := range cell.ids {
		for _, task := range cell.workers[name].tasks() {
			if task.Stage.Job == id && count > 0 {
				cell.workers[name].end(task, kind)
				count--
			}
		}
	}
}

// takeOver elects the first standby, which knows only the journal and the configuration.
func (cell *quotaCell) takeOver() {
	cell.effects = nil
	for _, worker := range cell.workers {
		worker.leases = nil
	}
	cell.harness = cell.electStandby()
	cell.machine.config.Log = cell
	cell.listWorkers()
	cell.settle()
}

// requireExactCount compares the count of the state with a count of all its runs, also on the standbys and after a snapshot.
func (cell *quotaCell) requireExactCount() {
	for host := cell.harness; host != nil; host = host.standby {
		state := host.machine.state
		counted := map[string]almondcross.Resources{}
		for _, job := range state.jobs {
			for _, stage := range job.stages {
				for _, record := range stage.tasks.known() {
					if record.Active() && job.spec.Workspace() != "" {
						counted[job.spec.Workspace()] = counted[job.spec.Workspace()].Add(stage.spec.Resources())
					}
				}
			}
		}
		require.Equal(cell.t, counted, state.heldResources)
		require.Equal(cell.t, counted, restore(state.snapshot(0, host.now), time.Minute, host.now, nil).heldResources)
	}
}
