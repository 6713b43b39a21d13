package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// A task whose run has failed goes to another worker, if one may have room for it. A faulty worker, on which every run fails and which is
// free again at once, would otherwise use up all attempts of the task.

// maxFailedRunWait is how long after its last failed run a stage waits for other workers, unless it must start soon.
const maxFailedRunWait = 10 * time.Second

// failedWorkers returns the workers on which the last run of a task of the stage failed.
func (stage *stage) failedWorkers() map[string]bool {
	var failed map[string]bool
	for _, record := range stage.tasks.known() {
		if record.Failures() > 0 && !record.Active() && !record.Done() {
			if failed == nil {
				failed = map[string]bool{}
			}
			failed[record.Worker()] = true
		}
	}
	return failed
}

// avoidedWorkers returns the failed workers of a stage while it waits for others: for a limited time, and only if the others
// could hold a task of it, or the whole gang, once all runs other than services have ended.
func (machine *Machine) avoidedWorkers(queue almondcross.Queue, stage *stage) map[string]bool {
	failed := stage.failedWorkers()
	// A stage that failed before this scheduler was elected waits from the election on.
	if len(failed) == 0 || machine.now.Sub(later(stage.failedAt, machine.leader.electedAt)) >= machine.failedRunWait(queue, stage) {
		return nil
	}
	if !machine.othersMayHold(queue, stage, failed) {
		return nil
	}
	return failed
}

// othersMayHold reports whether the usable workers other than the failed ones could hold a task of a stage, or the whole gang, once all
// runs other than services have ended.
func (machine *Machine) othersMayHold(queue almondcross.Queue, stage *stage, failed map[string]bool) bool {
	missing := 1
	if stage.spec.Gang() {
		missing = stage.unplaced()
	}
	advice := machine.leader.advice[stage.id]
	for _, worker := range machine.leader.usableWorkers {
		if failed[worker.id] || !worker.mayEverRun(queue, stage.spec, advice) {
			continue
		}
		if missing -= worker.eventualTasks(stage); missing <= 0 {
			return true
		}
	}
	return false
}

// failedRunWait returns how long after its last failed run a stage waits for other workers.
func (machine *Machine) failedRunWait(queue almondcross.Queue, stage *stage) time.Duration {
	if machine.mustStartSoon(queue, stage) {
		return maxIdleWait
	}
	return maxFailedRunWait
}

// mayUseFaulty reports whether a stage may use the workers that appear to be faulty, as the candidates among the others do not suffice.
// It waits for others first, and for longer if its attempts are limited and room on others is going to be released.
func (machine *Machine) mayUseFaulty(queue almondcross.Queue, stage *stage, candidates []almondcross.WorkerCapacity) bool {
	if len(machine.leader.faultyWorkers) == 0 || machine.now.Sub(later(stage.readyAt, stage.failedAt)) < maxIdleWait {
		return false
	}
	missing := 1
	if stage.spec.Gang() {
		missing = stage.unplaced()
	}
	for _, candidate := range candidates {
		missing -= candidate.Tasks()
	}
	return missing > 0 && (machine.mustStartSoon(queue, stage) || !machine.othersMayHold(queue, stage, nil))
}
