package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// lifeAnnounced reports whether the worker's announcement is that of its current incarnation. A restarted worker may have
// another kind or capacity, and the announcement of its earlier incarnation may still be read for seconds.
func (worker *worker) lifeAnnounced() bool {
	if announced := worker.info.Incarnation(); announced != 0 && worker.incarnation != 0 {
		return announced == worker.incarnation
	}
	return !worker.announcedAt.Before(worker.announcedFrom)
}

// outdated reports whether an answer may be that of an earlier incarnation: it names another one, and was requested before the
// first report of the current one arrived. The start times of incarnations do not order them, since a worker's clock may be set
// back. If the report is that of a later incarnation, the next one tells.
func (worker *worker) outdated(answer almondcross.LeaseAnswered) bool {
	return answer.Result() == almondcross.OrderDone && worker.incarnation != 0 && answer.Report().Incarnation() != worker.incarnation &&
		answer.Sent().Before(worker.incarnationSince)
}

// nextAnnouncement returns the time from which an announcement that does not say to which incarnation it belongs counts for
// the current one. The store lists the last announcement of an earlier incarnation for maxAnnouncementAge. The start of the
// first incarnation that this scheduler sees is on the worker's clock; if that clock is ahead, its first report counts.
func (machine *Machine) nextAnnouncement(worker *worker, incarnation int64) time.Time {
	since := machine.now
	if started := time.UnixMilli(incarnation); worker.incarnation == 0 && started.Before(since) {
		since = started
	}
	return since.Add(maxAnnouncementAge)
}

// isOfKind reports whether the worker is announced in the pool of a queue and with the label of a step.
func (worker *worker) isOfKind(queue almondcross.Queue, step almondcross.Step) bool {
	return worker.info.Pool() == queue.Pool() && worker.info.HasLabel(step.Label())
}
