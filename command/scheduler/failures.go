package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// failureWeight is the weight of a run in the moving average of the failures of its worker.
	failureWeight = 0.1
	// maxFailureChance is the chance of as many consecutive failures on a sound worker from which a worker is avoided.
	maxFailureChance = 0.001
)

// workerFailures counts the failed runs of a worker that may be the worker's fault.
type workerFailures struct {
	consecutive int     // consecutive is the number of failed runs since the last success.
	ended       int     // ended is the number of successful and failed runs.
	share       float64 // share is the moving average of the failed share of the runs.
}

// with returns the counts with a further run.
func (workerfailures workerFailures) with(failed bool) workerFailures {
	workerfailures.ended++
	workerfailures.share *= 1 - failureWeight
	if failed {
		workerfailures.consecutive++
		workerfailures.share += failureWeight
	} else {
		workerfailures.consecutive = 0
	}
	return workerfailures
}

// countFailures counts the end of a run for its worker, and avoids the worker for a while if its last runs have failed and
// that is not what happens to runs on other workers. Tasks that fail on all workers would otherwise take all of them out of
// use. The failure of a stage that has failed on another worker tells nothing of the worker.
func (machine *Machine) countFailures(worker *worker, stage *stage, kind almondcross.EndKind) {
	failed := kind == almondcross.EndFailed
	if !failed && kind != almondcross.EndDone || failed && stage.failsOnAnother(worker.id) {
		return
	}
	worker.failures = worker.failures.with(failed)
	count := worker.failures.consecutive
	if count < maxConsecutiveFailures || math.Pow(machine.leader.failedShare, float64(count)) > maxFailureChance {
		return
	}
	worker.avoidUntil = machine.now.Add(time.Duration(count) * failureBackoff)
	machine.config.Log.Record("worker_avoided", almondcross.Text("worker", worker.id), almondcross.Number("failures", count),
		almondcross.Number("failed_share", machine.leader.failedShare))
}

// failsOnAnother notes that a run of the stage has failed on a worker, and reports whether one has failed on another worker.
func (stage *stage) failsOnAnother(worker string) bool {
	if stage.failedWorker == "" {
		stage.failedWorker = worker
	}
	stage.failsWidely = stage.failsWidely || stage.failedWorker != worker
	return stage.failsWidely
}

// updateFailedShare computes the failed share of the runs on the median of the workers that have ended runs. A few faulty
// workers do not change it, though they may get most of the runs.
func (leader *leader) updateFailedShare() {
	var shares []float64
	for _, worker := range leader.sortedWorkers {
		if worker.failures.ended > 0 {
			shares = append(shares, worker.failures.share)
		}
	}
	if len(shares) == 0 {
		return
	}
	slices.Sort(shares)
	leader.failedShare = shares[(len(shares)-1)/2]
}
