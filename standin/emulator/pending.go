package emulator

import (
	"maps"
	"slices"
	"time"
)

const (
	// pendingCheckInterval is the time between two checks of the pending counts. A host that loads the state answers from a
	// part of it for a few hundred milliseconds.
	pendingCheckInterval = 150 * time.Millisecond
	// checksPerQuestion is how many times as often hosts are asked for the counts as for jobs.
	checksPerQuestion = 3
	// pendingAge is how long ago a job was accepted that a pending count must include: 3 s until it is visible, and
	// 2 s for the age of the count.
	pendingAge = 5 * time.Second
	// freshViewAge is the age of a host's views up to which its counts are checked.
	freshViewAge = time.Second
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
		if host.answers() {
			checker.checkCounts(host, waiting)
		}
	}
	if checker.pendingChecks++; checker.pendingChecks%checksPerQuestion == 0 {
		checker.checkQuestions()
	}
	simulation.schedule(pendingCheckInterval, checker.checkPendingCounts)
}

// checkCounts compares the counts that a host answers with the number of waiting jobs of each queue, if the host is in
// touch or its views are fresh. A host may also answer that it cannot tell.
func (checker *checker) checkCounts(host *modelHost, waiting map[string]int) {
	simulation := checker.simulation
	fresh := simulation.wallTime().Sub(host.jobTable.CompleteAt()) <= freshViewAge
	for _, name := range slices.Sorted(maps.Keys(simulation.everyQueue)) {
		count, answered := host.askCount(name)
		if count < 0 && !host.negativeCounts[name] {
			host.negativeCounts[name] = true // The count stays wrong until the host restarts.
			checker.addViolation("MIXED", "%s says that %d jobs of %s wait", host.name, count, name)
		}
		if answered && 2*max(count, 0) < waiting[name] && (fresh || simulation.disturbances.inTouch(host, simulation.now)) {
			checker.addViolation("MIXED", "%s says that %d jobs of %s wait; %d have waited for more than %s", host.name, count, name, waiting[name], pendingAge)
		}
	}
}

// waitsSince reports whether the job was accepted by a time and none of its tasks has started. It is false for a job whose
// caller has cancelled it or also used its identity on another queue.
func (modeljob *modelJob) waitsSince(limit time.Duration) bool {
	return modeljob.acceptedAt > 0 && modeljob.acceptedAt < limit && !modeljob.started && modeljob.cancelSentAt == 0 && modeljob.otherQueue == ""
}
