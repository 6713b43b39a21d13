package scheduler

import (
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

// A queue is blamed by a sequential test of its starts: the score of a queue rises with each start that crashes its
// worker and falls with each start, so that it stays near zero while crashes are rarer than crashPenalty to startCredit,
// and passes the limit within a few crashes otherwise. The scores are not replicated: they only decide how carefully
// tasks are placed.
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
	// blameWindow is how long before the loss of its worker a task may have been placed for its queue to be blamed. It
	// covers the commit, the start order and the crash.
	blameWindow = 200 * time.Millisecond
)

// countQueueStart counts a start of a task.
func (machine *Machine) countQueueStart(job *job) {
	scores, name := machine.leader.queueScores, job.spec.Queue()
	if score, known := scores[name]; known {
		scores[name] = max(score-startCredit, 0)
	}
}

// blameQueue blames the queue of the task that was placed last on a worker whose process no longer listens. A task that
// crashes its workers does so soon after its start.
func (machine *Machine) blameQueue(worker *worker) {
	if worker.queueBlamed || worker.drained {
		return
	}
	worker.queueBlamed = true
	var last *assignment
	for _, assignment := range worker.assignments {
		placed := assignment.phase != phaseCommitting && worker.unreachableSince.Sub(assignment.placedAt) <= blameWindow
		if placed && (last == nil || assignment.placedAt.After(last.placedAt)) {
			last = assignment
		}
	}
	if last == nil {
		return
	}
	name, crashing := last.job.spec.Queue(), machine.queueCrashing(last.job)
	score := min(machine.leader.queueScores[name]+crashPenalty, maxQueueScore)
	machine.leader.queueScores[name] = score
	if !crashing && machine.queueCrashing(last.job) {
		machine.config.Log.Record("queue_isolated", almondcross.Text("queue", name), almondcross.Text("worker", worker.id),
			almondcross.Number("score", int(math.Round(score))))
	}
}

// queueCrashing reports whether so many jobs of a job's queue crash their workers that all its tasks are isolated.
func (machine *Machine) queueCrashing(job *job) bool {
	return machine.leader.queueScores[job.spec.Queue()] >= blamedScore
}
