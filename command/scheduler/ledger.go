package scheduler

import "github.com/almondcross/almondcross"

// ledger counts the memory in bytes that the jobs of a state are estimated to take, by holder.
type ledger struct {
	used  int64
	held  map[almondcross.StateHolder]int64
	freed map[almondcross.StateHolder]int64 // freed is the sum of what each holder has returned since it last had nothing.
}

func newLedger() ledger {
	return ledger{held: map[almondcross.StateHolder]int64{}, freed: map[almondcross.StateHolder]int64{}}
}

// charge changes what a holder has by some bytes, which are negative if it returns them.
func (ledger *ledger) charge(holder almondcross.StateHolder, bytes int64) {
	ledger.used += bytes
	if bytes < 0 {
		ledger.freed[holder] -= bytes
	}
	if ledger.held[holder] += bytes; ledger.held[holder] == 0 {
		delete(ledger.held, holder)
		delete(ledger.freed, holder)
	}
}

// recharge updates the charge of a job that was added or has changed.
func (state *state) recharge(job *job) {
	bytes := job.spec.HeldBytes(job.openOccurrences(), job.doneOccurrences)
	state.ledger.charge(job.spec.Holder(), bytes-job.charged)
	job.charged = bytes
}

// discharge returns the charge of a job that is removed.
func (state *state) discharge(job *job) {
	state.ledger.charge(job.spec.Holder(), -job.charged)
	job.charged = 0
}
