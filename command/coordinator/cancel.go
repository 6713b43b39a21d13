package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// cancel ends a key that was not placed, voids the key if its claim is pending, or stops its tasks. A key that is
// being looked up is cancelled where it is found.
func (machine *Machine) cancel(message almondcross.CancelRequest, now time.Time) {
	key := machine.keyWithOrigin(message.Key())
	waiter := waiter{replier: message.Replier(), deadline: now.Add(defaultTimeout), cancels: true}
	record, ok := machine.keys[key]
	if !ok {
		machine.cancelUnknown(key, message.Forwarded(), waiter, now)
		return
	}
	if record.phase == phaseEnded {
		machine.reply(message.Replier(), record.outcome)
		return
	}
	record.cancelled = true
	record.waiters = append(record.waiters, waiter)
	machine.scheduleKey(key, waiter.deadline)
	switch record.phase {
	case phaseHeld:
		machine.finish(record, machine.refusalOutcome(record, almondcross.CodeCancelled, now), now)
	case phaseClaiming:
		machine.emit(NotifyClaimer{Message: almondcross.NewVoidKey(almondcross.VoidKeyConfig{Key: key, Code: almondcross.CodeCancelled})})
	case phasePlaced, phaseRunning:
		machine.stopTasks(record, almondcross.CodeCancelled, now)
	}
}

// cancelUnknown forwards the cancellation of a key to its coordinator. The coordinator looks the key up at its peers,
// since a key that was started stays with the member that started it.
func (machine *Machine) cancelUnknown(key almondcross.Key, forwarded bool, waiter waiter, now time.Time) {
	coordinator, ok := machine.view.Coordinator(key)
	switch {
	case ok && coordinator.ID() == machine.self():
		record := &record{request: almondcross.NewRequest(almondcross.RequestConfig{Key: key}), submittedAt: now, cancelled: true}
		record.waiters = append(record.waiters, waiter)
		machine.keys[key] = record
		machine.scheduleKey(key, waiter.deadline)
		machine.startLookups(record, now)
	case !ok || forwarded:
		machine.reply(waiter.replier, newOutcome(key, almondcross.StatusUnknown, almondcross.CodeNotHere))
	default:
		machine.forwardCancellation(key, coordinator.ID(), waiter)
	}
}

func (machine *Machine) forwardCancellation(key almondcross.Key, member almondcross.MemberID, waiter waiter) {
	correlation := machine.addForward(&forward{
		kind: forwardCancel, key: key, member: member, replier: waiter.replier, deadline: waiter.deadline,
	})
	machine.emit(Send{Member: member.Name(), Message: almondcross.NewPeerCancel(almondcross.PeerCancelConfig{
		Correlation: correlation, Key: key,
	})})
}

// finishCancelled ends a cancelled key that this member has not started. A key of which only the cancellation is
// known is not kept, so that a later request for it starts.
func (machine *Machine) finishCancelled(record *record, now time.Time) {
	if record.request.Entry() != "" {
		machine.finish(record, machine.refusalOutcome(record, almondcross.CodeCancelled, now), now)
		return
	}
	machine.dropRecord(record)
	for _, waiter := range record.waiters {
		machine.reply(waiter.replier, newOutcome(record.request.Key(), almondcross.StatusUnknown, almondcross.CodeNotHere))
	}
}
