package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// A worker is avoided by a likelihood ratio: how much likelier the ends of its last runs are if it is faulty than if runs fail
// on it as often as on other workers. Tasks that fail on all workers would otherwise take all of them out of use.
const (
	// failureWeight is the weight of a run in the moving averages of failures.
	failureWeight = 0.1
	// minFailedShare and maxFailedShare bound the share of the runs that are taken to fail on a sound worker.
	minFailedShare = 0.05
	maxFailedShare = 0.95
	// faultEvidence is the logarithm of the ratio from which a worker is avoided: three failures in a row where hardly any
	// run fails elsewhere, and never where two runs in five do.
	faultEvidence = 6
	// maxFailureBackoffs bounds the time for which a worker is avoided, in failureBackoff.
	maxFailureBackoffs = 20
)

// workerFailures records the successful and failed runs of a worker.
type workerFailures struct {
	ended    int     // ended is the number of runs of stages that had not failed on another worker.
	share    float64 // share is the moving average of the failed share of these.
	evidence float64 // evidence is the logarithm of the likelihood ratio of the last runs, at least 0.
	failed   int     // failed counts the failures since the evidence was last 0.
}

// withShare returns the values with a further run of a stage that has not failed on another worker.
func (workerfailures workerFailures) withShare(failed bool) workerFailures {
	workerfailures.ended++
	workerfailures.share = average(workerfailures.share, failed)
	return workerfailures
}

// withEvidence returns the values with a further run, where a share of such runs fails on other workers.
func (workerfailures workerFailures) withEvidence(failed bool, failedShare float64) workerFailures {
	sound := min(max(failedShare, minFailedShare), maxFailedShare)
	faulty := (1 + sound) / 2
	workerfailures.evidence *= 1 - failureWeight
	if failed {
		workerfailures.evidence += math.Log(faulty / sound)
		workerfailures.failed++
		return workerfailures
	}
	workerfailures.evidence += math.Log((1 - faulty) / (1 - sound))
	if workerfailures.evidence <= 0 {
		workerfailures.evidence, workerfailures.failed = 0, 0
	}
	return workerfailures
}

// average returns a moving average of the failed share with a further run.
func average(share float64, failed bool) float64 {
	if failed {
		return share + failureWeight*(1-share)
	}
	return share * (1 - failureWeight)
}

// countFailures counts the end of a run for its worker, and avoids the worker for a while if it appears to be faulty. What is
// expected of a stage that has failed on another worker and succeeded on none is what became of other such stages.
func (machine *Machine) countFailures(worker *worker, stage *stage, kind almondcross.EndKind) {
	failed := kind == almondcross.EndFailed
	if !failed && kind != almondcross.EndDone {
		return
	}
	leader := machine.leader
	expected := leader.failedShare
	if stage.failedOnAnother(worker.id) {
		expected = leader.failedAgainShare
		leader.failedAgainShare = average(leader.failedAgainShare, failed)
	} else {
		worker.failures = worker.failures.withShare(failed)
	}
	stage.noteFailure(worker.id, failed, machine.now)
	worker.failures = worker.failures.withEvidence(failed, expected)
	if !failed || worker.failures.evidence < faultEvidence {
		return
	}
	worker.avoidUntil = machine.now.Add(time.Duration(min(worker.failures.failed, maxFailureBackoffs)) * failureBackoff)
	machine.config.Log.Record("worker_avoided", almondcross.Text("worker", worker.id), almondcross.Number("failures", worker.failures.failed),
		almondcross.Number("failed_share", leader.failedShare), almondcross.Number("failed_again_share", leader.failedAgainShare))
}

// failedOnAnother reports whether a run of the stage has failed on another worker and none has succeeded since.
func (stage *stage) failedOnAnother(worker string) bool {
	return stage.failsWidely || stage.failedWorker != "" && stage.failedWorker != worker
}

// noteFailure notes how a run of the stage ended on a worker at a time.
func (stage *stage) noteFailure(worker string, failed bool, at time.Time) {
	if failed {
		stage.failedAt = at
	}
	switch {
	case !failed:
		stage.failedWorker, stage.failsWidely = "", false
	case stage.failedWorker == "":
		stage.failedWorker = worker
	default:
		stage.failsWidely = stage.failsWidely || stage.failedWorker != worker
	}
}

// updateFailedShare computes the failed share of the runs on the median of the workers that have ended runs. A few faulty
// workers do not change it, though they may get most of the runs.
func (leader *leader) updateFailedShare() {
	shares := make([]float64, 0, len(leader.sortedWorkers))
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
