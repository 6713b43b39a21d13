package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// keepEnds is how long a reported end may be reported again. A coordinator that was lost is out of
	// the view after SilenceLimit, so an end that reached it just before is repeated to its successor.
	keepEnds = 2 * almondcross.SilenceLimit
	// mostEnds and mostEndBytes bound the reported ends that are kept.
	mostEnds     = 4096
	mostEndBytes = 16 << 20
)

// sentEnd is an end that was reported to a coordinator.
type sentEnd struct {
	report      almondcross.TaskEnded
	coordinator almondcross.MemberID
	at          time.Time
}

// reportEnd reports the end of a task and keeps it for the case that the coordinator is lost.
func (machine *Machine) reportEnd(coordinator almondcross.MemberID, report almondcross.TaskEnded) {
	machine.report(coordinator, report)
	machine.dropEnds()
	if len(machine.sentEnds) == mostEnds || machine.sentBytes+len(report.Result().Answer()) > mostEndBytes {
		return
	}
	machine.sentBytes += len(report.Result().Answer())
	machine.sentEnds = append(machine.sentEnds, sentEnd{report: report, coordinator: coordinator, at: machine.now})
}

// dropEnds forgets the ends that are old.
func (machine *Machine) dropEnds() {
	count := 0
	for _, sent := range machine.sentEnds {
		if machine.now.Sub(sent.at) <= keepEnds {
			break
		}
		machine.sentBytes -= len(sent.report.Result().Answer())
		count++
	}
	machine.sentEnds = machine.sentEnds[count:]
}

// repeatEnds reports the recent ends again whose coordinator left the view. The worker has forgotten
// them, and work that may not be repeated has no other answer.
func (machine *Machine) repeatEnds() {
	machine.dropEnds()
	for index := range machine.sentEnds {
		sent := &machine.sentEnds[index]
		if machine.view.Contains(sent.coordinator) {
			continue
		}
		member, ok := machine.view.Coordinator(sent.report.Result().ID().Key())
		if !ok {
			continue
		}
		sent.coordinator = member.ID()
		machine.report(sent.coordinator, sent.report)
	}
}
