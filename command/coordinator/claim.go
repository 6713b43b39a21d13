package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// claimDecided starts a key whose claim was granted to this member. Otherwise it ends the key, or forwards its
// callers to the member that claimed it.
func (machine *Machine) claimDecided(message almondcross.ClaimDecided, now time.Time) {
	record, ok := machine.keys[message.Key()]
	if !ok || record.phase != phaseClaiming {
		return
	}
	if message.Granted() {
		record.claimed = true
		machine.startClaimed(record, now)
		return
	}
	decisive := message.Decisive()
	switch {
	case message.Code() == almondcross.CodeHeldBack:
		// The claimer has not read all records of the stream, and the key may have run under a missing claim.
		machine.finish(record, unknownOutcome(message.Key(), message.Code()), now)
	case decisive.Kind() == almondcross.ClaimSettled:
		machine.finishSettled(record, decisive, now)
	case decisive.Kind() == almondcross.ClaimRequested:
		machine.forwardToClaimant(record, decisive, now)
	case message.Code() == almondcross.CodeClaimedElsewhere:
		machine.finish(record, unknownOutcome(message.Key(), message.Code()), now)
	case message.Code() == almondcross.CodeVoided && !record.everStarted:
		// A void that precedes every claim proves that a key of any age has not run.
		machine.finish(record, newOutcome(message.Key(), almondcross.StatusNotRun, message.Code()), now)
	default:
		// The claim was certainly not appended, but there may be an earlier claim, of this or another member, that
		// the claimer has not read.
		machine.finish(record, machine.refusalOutcome(record, message.Code(), now), now)
	}
}

// unknownOutcome returns the outcome of a key that may have run.
func unknownOutcome(key almondcross.Key, code almondcross.Code) almondcross.Outcome {
	return newOutcome(key, almondcross.StatusUnknown, code).WithRetryAfter(time.Second)
}

// startClaimed uses the one start that a claim permits, unless the key was cancelled, its deadline has passed
// or this member does not have a valid link lease from every peer.
func (machine *Machine) startClaimed(record *record, now time.Time) {
	switch {
	case record.cancelled:
		machine.finish(record, machine.refusalOutcome(record, almondcross.CodeCancelled, now), now)
	case !record.deadline.IsZero() && !now.Before(record.deadline):
		machine.finish(record, machine.refusalOutcome(record, almondcross.CodeTimeout, now), now)
	case !machine.view.HasLinkLeases(now):
		machine.finish(record, machine.refusalOutcome(record, almondcross.CodeNoLinkLease, now), now)
	default:
		machine.place(record, now)
	}
}

// forwardToClaimant forwards the callers to the member that claimed the key first. If that member is not in the
// view or is in another data centre, the callers wait for the settlement.
func (machine *Machine) forwardToClaimant(record *record, decisive almondcross.ClaimRecord, now time.Time) {
	claimant := decisive.Claimant()
	// A claimant in another data centre has the request under another origin, so it cannot look up this key.
	if decisive.Key() == record.request.Key() && claimant != machine.self() && machine.view.Contains(claimant) {
		waiters, request := record.waiters, record.request
		machine.dropRecord(record)
		for _, waiter := range waiters {
			machine.forwardWaiter(request, claimant, waiter, now)
		}
		return
	}
	machine.recordDecision(record, "claimed_elsewhere", almondcross.CodeClaimedElsewhere, "", now)
	record.phase = phaseClaimedElsewhere
	if len(record.waiters) == 0 {
		machine.dropRecord(record)
	}
}

// finishSettled ends a key whose claim was settled, under this or another origin. The stored answer of a key with
// status done is fetched first; a settlement without an offset and without a code has an empty answer.
func (machine *Machine) finishSettled(record *record, settlement almondcross.ClaimRecord, now time.Time) {
	key := record.request.Key()
	if settlement.Status() != almondcross.StatusDone || settlement.Code() == almondcross.CodeNone && settlement.AnswerOffset() < 0 {
		machine.finish(record, newOutcome(key, settlement.Status(), settlement.Code()), now)
		return
	}
	if settlement.AnswerOffset() < 0 {
		machine.finish(record, unknownOutcome(key, almondcross.CodeAnswerStored), now)
		return
	}
	record.phase = phaseFetching
	machine.recordDecision(record, "answer_fetched", almondcross.CodeNone, "", now)
	machine.emit(FetchAnswer{Message: almondcross.NewReadAnswer(almondcross.ReadAnswerConfig{Key: key, Record: settlement})})
}

// answerRead ends a key with its stored answer, or with status unknown if the answer was not found.
func (machine *Machine) answerRead(message almondcross.AnswerRead, now time.Time) {
	record, ok := machine.keys[message.Key()]
	if !ok || record.phase != phaseFetching {
		return
	}
	if !message.Found() {
		machine.finish(record, unknownOutcome(message.Key(), almondcross.CodeAnswerStored), now)
		return
	}
	machine.finish(record, message.Outcome().WithKey(message.Key()), now)
}

// settlementSeen ends a key that another member settled.
func (machine *Machine) settlementSeen(message almondcross.ClaimSettlementSeen, now time.Time) {
	settlement := message.Record()
	record, ok := machine.keys[settlement.Key()]
	if !ok || record.phase != phaseClaimedElsewhere {
		return
	}
	machine.finishSettled(record, settlement, now)
}
