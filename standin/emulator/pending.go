package emulator

import "time"

const (
	// pendingCheckInterval is the time between two checks of the pending counts.
	pendingCheckInterval = 500 * time.Millisecond
	// pendingAge is how long ago a job was accepted that a pending count must include: 3 s until it is visible, and
	// 2 s for the age of the count.
	pendingAge = 5 * time.Second
)

// checkPendingCounts compares what the hosts say of their queues with the jobs that have not started, and repeats
// this until the end.
func (checker *checker) checkPendingCounts() {
	simulation := checker.simulation
	waiting := map[string]int{}
	for _, job := range simulation.jobs {
		if job.waitsSince(simulation.now - pendingAge) {
			waiting[job.spec.Queue()]++
		}
	}
	for _, host := range simulation.hosts {
		if !host.up || host.frozenUntil > simulation.now {
			continue
		}
		for _, queue := range simulation.routes.Queues() {
			if count, known := host.jobTable.Pending(queue.Name(), simulation.wallTime()); known && 2*count < waiting[queue.Name()] {
				checker.addViolation("MIXED", "%s says that %d jobs of %s wait; %d have waited for more than %s",
					host.name, count, queue.Name(), waiting[queue.Name()], pendingAge)
			}
		}
	}
	simulation.schedule(pendingCheckInterval, checker.checkPendingCounts)
}

// waitsSince reports whether the job was accepted by a time and none of its tasks has started.
func (modeljob *modelJob) waitsSince(limit time.Duration) bool {
	return modeljob.acceptedAt > 0 && modeljob.acceptedAt < limit && !modeljob.started && modeljob.cancelSentAt == 0
}
