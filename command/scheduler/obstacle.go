package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// obstacle is what keeps a worker from the tasks of a stage, empty for nothing. The log names it.
type obstacle string

const (
	obstacleUnlisted    obstacle = "unlisted"     // obstacleUnlisted means that the worker is not announced, or that its announcement is of an earlier incarnation.
	obstacleDraining    obstacle = "draining"     // obstacleDraining means that the worker is going to leave.
	obstacleNoContact   obstacle = "no_contact"   // obstacleNoContact means that the worker has not answered lately.
	obstacleWithheldEnd obstacle = "withheld_end" // obstacleWithheldEnd means that an end must not be acknowledged to the worker, see ackLimit.
	obstacleFaulty      obstacle = "faulty"       // obstacleFaulty means that the worker is avoided because of failed or stalled runs.
	obstacleKeptEmpty   obstacle = "kept_empty"   // obstacleKeptEmpty means that the worker is kept free of further runs for an isolated task.
	obstacleFailedRun   obstacle = "failed_run"   // obstacleFailedRun means that a run of the stage has failed on the worker.
	obstacleNoTicket    obstacle = "no_ticket"    // obstacleNoTicket means that there is no valid ticket for the worker.
	obstacleOtherKind   obstacle = "other_kind"   // obstacleOtherKind means that the worker is of another pool, or does not have the label.
	obstacleSuspicion   obstacle = "suspicion"    // obstacleSuspicion means that tasks under suspicion do not share the worker.
	obstacleGang        obstacle = "gang"         // obstacleGang means that the room on the worker is kept for waiting gangs.
	obstaclePerWorker   obstacle = "per_worker"   // obstaclePerWorker means that the worker has as many runs of the stage as it may.
	obstacleNoRoom      obstacle = "no_room"      // obstacleNoRoom means that too little of the worker is free.
)

const (
	// waitLogInterval is the minimum time between two logs of what keeps the workers from waiting stages.
	waitLogInterval = 5 * time.Second
	// minLoggedWait is the wait from which a stage is logged.
	minLoggedWait = 5 * time.Second
	// maxWaitLines is the maximum number of stages in one log, those that have waited longest.
	maxWaitLines = 5
)

// placementQuery asks where tasks of a stage that are under the same suspicion may run.
type placementQuery struct {
	queue     almondcross.Queue
	job       *job
	stage     *stage
	suspicion suspicion
	advice    *stageAdvice    // advice is nil if no tickets are needed.
	avoided   map[string]bool // avoided holds the workers that are left out because of failed runs of the stage.
	// lastResort is set if the workers that appear to be faulty may be used.
	lastResort bool
}

// unusable returns what keeps the worker from any new work.
func (worker *worker) unusable(now time.Time) obstacle {
	switch {
	case !worker.announced || !worker.lifeAnnounced():
		return obstacleUnlisted
	case worker.info.Draining():
		return obstacleDraining
	case worker.unreachable || worker.lastAnswerAt.IsZero() || now.Sub(worker.lastAnswerAt) >= maxContactAge:
		return obstacleNoContact
	case worker.ackLimit != 0:
		return obstacleWithheldEnd
	case now.Before(worker.avoidUntil):
		return obstacleFaulty
	default:
		return ""
	}
}

// usable reports whether the worker may get new work.
func (worker *worker) usable(now time.Time) bool { return worker.unusable(now) == "" }

// fit returns how many tasks of a stage may run on a worker now beside its runs, or what keeps them from it.
func (machine *Machine) fit(worker *worker, query *placementQuery) (int, obstacle) {
	switch {
	case !worker.inPass && !query.lastResort:
		return 0, cmp.Or(worker.unusable(machine.now), obstacleKeptEmpty)
	case query.avoided[worker.id]:
		return 0, obstacleFailedRun
	case query.advice != nil && !query.advice.hasTicket(worker, machine.now):
		return 0, obstacleNoTicket
	case !worker.isOfKind(query.queue, query.stage.spec):
		return 0, obstacleOtherKind
	case !worker.accepts(query.job, query.suspicion):
		return 0, obstacleSuspicion
	}
	spec, room := query.stage.spec, machine.unreserved(worker, query.queue, query.stage)
	count := worker.tasksIn(room, query.stage, spec.Count())
	switch {
	case count == 0:
		return 0, worker.lacks(room, spec)
	case query.suspicion == suspected && !spec.Gang():
		return 1, ""
	default:
		return count, ""
	}
}

// lacks returns why no task of a step may run in some of the free resources of the worker.
func (worker *worker) lacks(room almondcross.Resources, spec almondcross.Step) obstacle {
	switch {
	case maxTasks(room, spec.Resources(), 1) > 0:
		return obstaclePerWorker
	case maxTasks(worker.free(), spec.Resources(), 1) > 0:
		return obstacleGang
	default:
		return obstacleNoRoom
	}
}

// logWaits logs for the stages that have waited longest how many workers of their pool each obstacle keeps from them. What is kept
// for gangs is that of the last pass.
func (machine *Machine) logWaits() {
	if machine.now.Sub(machine.leader.waitsLoggedAt) < waitLogInterval {
		return
	}
	machine.leader.waitsLoggedAt = machine.now
	for _, waiting := range machine.longestWaiting() {
		machine.logWait(waiting)
	}
}

// longestWaiting returns the stages to log, the one that has waited longest first.
func (machine *Machine) longestWaiting() []*waitingStage {
	var longest []*waitingStage
	for _, waiting := range machine.leader.waitingStages {
		if !waiting.job.ready(waiting.stage) || machine.now.Sub(waiting.stage.readyAt) < minLoggedWait {
			continue
		}
		position, _ := slices.BinarySearchFunc(longest, waiting.stage.readyAt, func(other *waitingStage, readyAt time.Time) int {
			return other.stage.readyAt.Compare(readyAt)
		})
		if position < maxWaitLines {
			longest = slices.Insert(longest, position, waiting)
			longest = longest[:min(len(longest), maxWaitLines)]
		}
	}
	return longest
}

// logWait logs how many workers of its pool each obstacle keeps from a waiting stage.
func (machine *Machine) logWait(waiting *waitingStage) {
	queue := machine.queue(waiting.job)
	query := &placementQuery{
		queue: queue, job: waiting.job, stage: waiting.stage, suspicion: machine.waitingSuspicion(waiting.job, waiting.stage),
		advice: waiting.advice, avoided: machine.avoidedWorkers(queue, waiting.stage),
	}
	counts, fitting := map[obstacle]int{}, 0
	for _, worker := range machine.leader.sortedWorkers {
		if worker.info.Pool() != queue.Pool() {
			continue
		}
		if _, obstacle := machine.fit(worker, query); obstacle != "" {
			counts[obstacle]++
		} else {
			fitting++
		}
	}
	fields := []almondcross.LogField{
		almondcross.Text("stage", waiting.stage.id.String()), almondcross.Text("queue", waiting.job.spec.Queue()),
		almondcross.Millis("waited_ms", machine.now.Sub(waiting.stage.readyAt)), almondcross.Number("tasks", waiting.stage.unplaced()),
		almondcross.Number("fitting", fitting),
	}
	for _, obstacle := range slices.Sorted(maps.Keys(counts)) {
		fields = append(fields, almondcross.Number(string(obstacle), counts[obstacle]))
	}
	machine.config.Log.Record("stage_waits", fields...)
}
