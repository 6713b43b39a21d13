package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// endRetention is how long reported ends are kept for resending. A lost coordinator leaves the
	// view after SilenceLimit, so an end that reached it just before its loss is resent to its successor.
	endRetention = 2 * almondcross.SilenceLimit
	// maxReportedEnds and maxReportedEndBytes bound the reported ends that are kept.
	maxReportedEnds     = 4096
	maxReportedEndBytes = 16 << 20
)

// reportedEnd is the end of a task that was reported to a coordinator.
type reportedEnd struct {
	report      almondcross.TaskEnded
	coordinator almondcross.MemberID
	reportedAt  time.Time
}

// reportEnd reports the end of a task and keeps the report in case the coordinator is lost. The report
// is not kept if that would exceed maxReportedEnds or maxReportedEndBytes.
func (machine *Machine) reportEnd(coordinator almondcross.MemberID, report almondcross.TaskEnded) {
	machine.report(coordinator, report)
	machine.expireReportedEnds()
	if len(machine.reportedEnds) == maxReportedEnds || machine.reportedBytes+len(report.Result().Answer()) > maxReportedEndBytes {
		return
	}
	machine.reportedBytes += len(report.Result().Answer())
	machine.reportedEnds = append(machine.reportedEnds, reportedEnd{report: report, coordinator: coordinator, reportedAt: machine.now})
}

// expireReportedEnds removes the reported ends that are older than endRetention.
func (machine *Machine) expireReportedEnds() {
	count := 0
	for _, end := range machine.reportedEnds {
		if machine.now.Sub(end.reportedAt) <= endRetention {
			break
		}
		machine.reportedBytes -= len(end.report.Result().Answer())
		count++
	}
	machine.reportedEnds = machine.reportedEnds[count:]
}

// resendEnds reports recent ends whose coordinator left the view to the new coordinator. The worker no
// longer has these results, and a task that may not be repeated has no other way to get its answer.
func (machine *Machine) resendEnds() {
	machine.expireReportedEnds()
	for index := range machine.reportedEnds {
		end := &machine.reportedEnds[index]
		if machine.view.Contains(end.coordinator) {
			continue
		}
		member, ok := machine.view.Coordinator(end.report.Result().ID().Key())
		if !ok {
			continue
		}
		end.coordinator = member.ID()
		machine.report(end.coordinator, end.report)
	}
}
