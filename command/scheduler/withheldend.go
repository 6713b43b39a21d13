package scheduler

import "github.com/almondcross/almondcross"

// noteExpiry notes which of the reported ends came before an expiry of the lease: all of them if it has expired, otherwise those
// before an end by the expiry. These may be acknowledged: an end whose acknowledgement comes after the expiry does not count
// as noted.
func (worker *worker) noteExpiry(report almondcross.WorkerReport, expired bool) {
	for _, end := range report.Ended() {
		if expired || end.Kind() == almondcross.EndLeaseExpired {
			worker.expiredEnd = max(worker.expiredEnd, end.Sequence())
		}
	}
	if worker.ackLimit <= worker.expiredEnd {
		worker.ackLimit = 0
	}
}

// awaitsExpiry reports whether the worker has no runs and an end that must not be acknowledged before the lease has expired.
func (worker *worker) awaitsExpiry() bool { return worker.ackLimit > 0 && len(worker.assignments) == 0 }

// leaseExpired reports whether the worker's lease had certainly expired when it answered: by its own clock, if this scheduler
// has sent it a lease, or by when the leases have expired that earlier schedulers have extended.
func (machine *Machine) leaseExpired(worker *worker, answer almondcross.LeaseAnswered) bool {
	if worker.maxLeaseEnd > 0 {
		return answer.Report().Clock() > worker.maxLeaseEnd
	}
	return answer.Sent().After(machine.earlierLeaseExpiredAt(worker))
}

// supersede handles an end that is known only after its task has been started again, and returns what becomes of it for the
// log. It is withheld, so that neither it nor a later end is acknowledged, unless the lease has expired since.
func (worker *worker) supersede(end almondcross.EndedTask) string {
	switch {
	case end.Sequence() <= worker.expiredEnd:
		return "superseded"
	case worker.ackLimit == 0:
		worker.ackLimit = end.Sequence()
	}
	return "withheld"
}
