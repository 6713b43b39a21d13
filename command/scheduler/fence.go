package scheduler

// noteUnanswered records that an order under a fencing token has no answer, so that the worker may still carry it out
// until it has seen a higher token.
func (worker *worker) noteUnanswered(fence int64) {
	worker.unansweredFence = max(worker.unansweredFence, fence)
}

// raiseDue reports whether an order under the current fencing token is unanswered.
func (worker *worker) raiseDue() bool { return worker.unansweredFence >= worker.fence }

// raiseFence raises the fencing token of a worker if that is due. Until the worker has reported under the current token, a
// higher one would settle no more orders, so there is at most one raise between two reports.
func (worker *worker) raiseFence() {
	if worker.raiseDue() && worker.reportedFence >= worker.fence {
		worker.fence++
	}
}
