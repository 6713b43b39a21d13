package scheduler

import "github.com/almondcross/almondcross"

// Layout of epochs and fencing tokens. An epoch consists of a term and epochRandomBits low bits that distinguish candidates
// of one term. A fencing token is the epoch shifted by fenceEpochShift, plus a counter for each worker. Hosts of earlier
// versions choose all low bits of an epoch at random and leave fenceEpochShift bits for the counter. This version draws
// only the highest candidateBits of them and keeps the others zero, so that they belong to the counter. In both versions
// a term begins at the same bit of a token: all tokens of a term are above those of the terms before. The design page has
// the rates from which the widths follow.
const (
	epochRandomBits  = almondcross.EpochRandomBits
	candidateBits    = 4
	fenceEpochShift  = 10
	fenceCounterBits = fenceEpochShift + epochRandomBits - candidateBits
	maxTerm          = almondcross.MaxEpoch >> epochRandomBits
)

// firstFence returns the lowest fencing token of an epoch.
func firstFence(epoch int64) int64 { return epoch << fenceEpochShift }

// lastFence returns the highest fencing token of an epoch.
func lastFence(epoch int64) int64 { return firstFence(epoch) | (1<<fenceCounterBits - 1) }

// nextEpoch returns an epoch of the term that follows all terms that this host knows of, and false at the end of the range.
func (machine *Machine) nextEpoch() (int64, bool) {
	term := max(machine.state.highestEpoch, machine.triedEpoch)>>epochRandomBits + 1
	if term > maxTerm {
		return 0, false
	}
	candidate := machine.config.Random.Int64N(1 << candidateBits)
	return term<<epochRandomBits | candidate<<(epochRandomBits-candidateBits), true
}

// ownsFence reports whether a fencing token is one of this scheduler's epoch.
func (leader *leader) ownsFence(fence int64) bool {
	return fence >= firstFence(leader.epoch) && fence <= lastFence(leader.epoch)
}

// noteUnanswered records that an order under a fencing token has no answer, so that the worker may still carry it out
// until it has seen a higher token.
func (worker *worker) noteUnanswered(fence int64) {
	worker.unansweredFence = max(worker.unansweredFence, fence)
}

// raiseDue reports whether an order under the current fencing token is unanswered.
func (worker *worker) raiseDue() bool { return worker.unansweredFence >= worker.fence }

// raiseFence raises the fencing token of a worker if that is due. Until the worker has reported under the current token, a
// higher one would settle no more orders, so there is at most one raise between two reports. At the end of the range the
// scheduler resigns: the tokens of its successor are higher.
func (machine *Machine) raiseFence(worker *worker) {
	if !worker.raiseDue() || worker.reportedFence < worker.fence {
		return
	}
	if worker.fence < lastFence(machine.leader.epoch) {
		worker.fence++
		return
	}
	if machine.leader.resignCause == "" {
		machine.config.Log.Record("fencing_tokens_used_up", almondcross.Text("worker", worker.id), almondcross.Number("epoch", machine.leader.epoch))
		machine.leader.resignCause = "the fencing tokens of worker " + worker.id + " are used up"
	}
}
