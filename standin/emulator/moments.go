package emulator

import (
	"slices"
	"time"
)

// Moment is an acknowledgement or an order, shortly after which a fault may hit the scheduler.
type Moment string

// The moments.
const (
	CancelAcknowledged     Moment = "cancel_acknowledged"     // CancelAcknowledged is when a caller learns that a cancellation is stored.
	SubmissionAcknowledged Moment = "submission_acknowledged" // SubmissionAcknowledged is when a caller learns that a job is stored.
	StartSent              Moment = "start_sent"              // StartSent is when a host sends a start order.
	StopSent               Moment = "stop_sent"               // StopSent is when a host sends a stop order.
	EndRecorded            Moment = "end_recorded"            // EndRecorded is when the store appends the end of a run to the journal.
	LeaseSent              Moment = "lease_sent"              // LeaseSent is when a host sends a lease order.
)

// moments returns all moments.
func moments() []Moment {
	return []Moment{CancelAcknowledged, SubmissionAcknowledged, StartSent, StopSent, EndRecorded, LeaseSent}
}

// maxMomentDelay is the longest time between a moment and its fault.
const maxMomentDelay = 2 * time.Second

// momentFaultKinds maps the kinds of faults that wait for a moment to the kinds that they inject.
var momentFaultKinds = map[FaultKind]FaultKind{
	KillAfterMoment: KillScheduler, FreezeAfterMoment: FreezeScheduler, IsolateAfterMoment: IsolateScheduler,
}

// observe injects the faults that wait for a moment.
func (simulation *Simulation) observe(moment Moment) {
	simulation.waitingFaults = slices.DeleteFunc(simulation.waitingFaults, func(fault Fault) bool {
		if fault.Moment != moment {
			return false
		}
		fault.Kind = momentFaultKinds[fault.Kind]
		simulation.schedule(fault.Delay, func() { simulation.injectFault(fault) })
		return true
	})
}
