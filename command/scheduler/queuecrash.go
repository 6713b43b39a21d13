package scheduler

import (
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

// A queue is blamed by a sequential test of its starts: the score of a queue rises with each start that crashes its
// worker, falls with each start and fades with time, so that it stays near zero while crashes are rarer than startCredit to
// crashPenalty, and passes the limit within a few crashes otherwise. The scores are not replicated: they only decide how
// carefully tasks are placed.
const (
	// crashPenalty and startCredit are the logarithms of how much likelier a crash, or a start without one, is if a tenth
	// of the starts crash their workers than if one in 200 does.
	crashPenalty = 3.0
	startCredit  = 0.1
	// blamedScore is the score from which a queue is blamed: three crashes in a row. Several workers that crash at once
	// for another reason rarely do so right after starts of one queue.
	blamedScore = 8.0
	// maxQueueScore bounds the score, so that a queue is trusted again after some tens of starts without a crash.
	maxQueueScore = 14.0
	// queueScoreHalfLife is the time in which a score fades to a half, also if nothing of the queue can be started.
	queueScoreHalfLife = 10 * time.Second
	// lossHalfLife is the time in which the count of lost workers that no start explains fades to a half. Workers that are
	// lost together for another reason are noticed within it.
	lossHalfLife = 2 * time.Second
	// blameWindow is how long before the loss of its worker a task may have been started for its queue to be blamed. It
	// covers the order, the crash and the noticing.
	blameWindow = 200 * time.Millisecond
)

// queueScore is how surely the starts of a queue crash workers.
type queueScore struct {
	score     float64
	updatedAt time.Time
}

// at returns the score at a later time.
func (queuescore queueScore) at(now time.Time) float64 {
	return queuescore.faded(now, queueScoreHalfLife)
}

// faded returns the score at a later time if it fades to a half in another time.
func (queuescore queueScore) faded(now time.Time, halfLife time.Duration) float64 {
	return queuescore.score * math.Exp2(-now.Sub(queuescore.updatedAt).Seconds()/halfLife.Seconds())
}

// countQueueStart counts a start of a task.
func (machine *Machine) countQueueStart(job *job) {
	scores, name := machine.leader.queueScores, job.spec.Queue()
	if score, known := scores[name]; known {
		scores[name] = queueScore{score: max(score.at(machine.now)-startCredit, 0), updatedAt: machine.now}
	}
}

// blameQueue blames the queue of the task that this scheduler started last on a worker whose process no longer listens. A
// task that crashes its workers does so soon after its start.
func (machine *Machine) blameQueue(worker *worker) {
	if worker.queueBlamed || worker.drained {
		return
	}
	worker.queueBlamed = true
	if worker.lastAnswerAt.IsZero() {
		return // The worker was lost before it answered this scheduler, so how soon after a start that was is not known.
	}
	var last *assignment
	for _, assignment := range worker.assignments {
		started := !assignment.startSentAt.IsZero() && worker.unreachableSince.Sub(assignment.startSentAt) <= blameWindow
		if started && (last == nil || assignment.startedAfter(last)) {
			last = assignment
		}
	}
	unexplained := machine.leader.unexplainedLosses.faded(machine.now, lossHalfLife)
	if last == nil {
		machine.leader.unexplainedLosses = queueScore{score: unexplained + 1, updatedAt: machine.now}
		machine.logLoss(worker, "", unexplained+1, 0)
		return
	}
	name, crashing := last.job.spec.Queue(), machine.queueCrashing(last.job)
	penalty := crashPenalty / (1 + unexplained) // Where workers are lost without a start, some are lost after one by chance.
	score := min(machine.leader.queueScores[name].at(machine.now)+penalty, maxQueueScore)
	machine.leader.queueScores[name] = queueScore{score: score, updatedAt: machine.now}
	machine.logLoss(worker, name, unexplained, score)
	if !crashing && machine.queueCrashing(last.job) {
		machine.config.Log.Record("queue_isolated", almondcross.Text("queue", name), almondcross.Text("worker", worker.id),
			almondcross.Number("score", int(math.Round(score))))
	}
}

// startedAfter orders runs by the time of their start orders, and those of one append by task.
func (assignment *assignment) startedAfter(other *assignment) bool {
	if assignment.startSentAt.Equal(other.startSentAt) {
		return assignment.task.Compare(other.task) < 0
	}
	return assignment.startSentAt.After(other.startSentAt)
}

// logLoss logs how the loss of a worker was weighed. The queue is empty if no start explains the loss.
func (machine *Machine) logLoss(worker *worker, queue string, unexplained, score float64) {
	machine.config.Log.Record("worker_loss_weighed", almondcross.Text("worker", worker.id), almondcross.Text("queue", queue),
		almondcross.Number("unexplained", math.Round(unexplained*10)/10), almondcross.Number("score", math.Round(score*10)/10))
}

// queueCrashing reports whether so many jobs of a job's queue crash their workers that all its tasks are isolated.
func (machine *Machine) queueCrashing(job *job) bool {
	score, known := machine.leader.queueScores[job.spec.Queue()]
	return known && score.score >= blamedScore && score.at(machine.now) >= blamedScore
}
