package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// claimDecided starts a key that this member claimed, or follows the member that did.
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
		// The claimer lacks records of the stream, and the key may have run under one of them.
		machine.finish(record, undecided(message.Key(), message.Code()), now)
	case decisive.Kind() == almondcross.ClaimSettled:
		machine.endSettled(record, decisive, now)
	case decisive.Kind() == almondcross.ClaimTaken:
		machine.followClaimant(record, decisive, now)
	case message.Code() == almondcross.CodeClaimedElsewhere:
		machine.finish(record, undecided(message.Key(), message.Code()), now)
	case message.Code() == almondcross.CodeVoided && !record.ran:
		// A void that precedes every claim proves it for a key of any age.
		machine.finish(record, outcomeOf(message.Key(), almondcross.StatusNotRun, message.Code()), now)
	default:
		// The claim was certainly not appended, but another member, or this one long ago, may have
		// claimed the key: the claimer knows only what it has read.
		machine.finish(record, machine.notRun(record, message.Code(), now), now)
	}
}

// undecided returns the outcome of a key that may have run.
func undecided(key almondcross.Key, code almondcross.Code) almondcross.Outcome {
	return outcomeOf(key, almondcross.StatusUnknown, code).WithRetryAfter(time.Second)
}

// startClaimed uses the one start that a claim permits, unless it can no longer be useful.
func (machine *Machine) startClaimed(record *record, now time.Time) {
	switch {
	case record.cancelled:
		machine.finish(record, machine.notRun(record, almondcross.CodeCancelled, now), now)
	case !record.deadline.IsZero() && !now.Before(record.deadline):
		machine.finish(record, machine.notRun(record, almondcross.CodeTimeout, now), now)
	case !machine.view.HasStanding(now):
		machine.finish(record, machine.notRun(record, almondcross.CodeNoStanding, now), now)
	default:
		machine.place(record, now)
	}
}

// followClaimant routes the callers to the member that claimed the key first.
func (machine *Machine) followClaimant(record *record, decisive almondcross.ClaimRecord, now time.Time) {
	claimant := decisive.Claimant()
	// A claimant in another data centre knows the request under another origin and is not asked for it.
	if decisive.Key() == record.request.Key() && claimant != machine.self() && machine.view.Contains(claimant) {
		waiters, request := record.waiters, record.request
		machine.drop(record)
		for _, waiter := range waiters {
			machine.forwardRequest(request, claimant, waiter.replier, waiter.deadline, now)
		}
		return
	}
	machine.tell(record, "claimed_elsewhere", almondcross.CodeClaimedElsewhere, "", now)
	record.phase = phaseClaimedElsewhere
	if len(record.waiters) == 0 {
		machine.drop(record)
	}
}

// endSettled ends a key whose claim was settled, under this or another origin. The answer of a key that
// is done is fetched first; a settlement without an offset and without a code has an empty answer.
func (machine *Machine) endSettled(record *record, settled almondcross.ClaimRecord, now time.Time) {
	key := record.request.Key()
	if settled.Status() != almondcross.StatusDone || settled.Code() == almondcross.CodeNone && settled.AnswerOffset() < 0 {
		machine.finish(record, outcomeOf(key, settled.Status(), settled.Code()), now)
		return
	}
	if settled.AnswerOffset() < 0 {
		machine.finish(record, undecided(key, almondcross.CodeAnswerStored), now)
		return
	}
	record.phase = phaseFetching
	machine.tell(record, "answer_fetched", almondcross.CodeNone, "", now)
	machine.do(FetchAnswer{Message: almondcross.NewReadAnswer(almondcross.ReadAnswerConfig{Key: key, Record: settled})})
}

// answerRead ends a key with its stored answer. Without the whole answer the caller is not told done.
func (machine *Machine) answerRead(message almondcross.AnswerRead, now time.Time) {
	record, ok := machine.keys[message.Key()]
	if !ok || record.phase != phaseFetching {
		return
	}
	if !message.Found() {
		machine.finish(record, undecided(message.Key(), almondcross.CodeAnswerStored), now)
		return
	}
	machine.finish(record, message.Outcome().WithKey(message.Key()), now)
}

// settlementSeen ends a key that another member settled.
func (machine *Machine) settlementSeen(message almondcross.ClaimSettlementSeen, now time.Time) {
	settled := message.Record()
	record, ok := machine.keys[settled.Key()]
	if !ok || record.phase != phaseClaimedElsewhere {
		return
	}
	machine.endSettled(record, settled, now)
}
