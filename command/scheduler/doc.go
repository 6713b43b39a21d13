// Package scheduler decides where and when the tasks of jobs run.
//
// # Architecture
//
// Machine is the decision code: a state machine without clocks, locks and transports. Apply handles one
// message; Advance carries out the work that is due and returns the effects to carry out. Duty is the
// goroutine that alone uses the machine: it takes messages from its ring and carries out the effects.
//
// Every host runs the same machine. One of them, the scheduler, writes the journal. The standbys apply
// its batches and answer callers from the same state; the other hosts (viewers) receive only the views of
// jobs over a link. In the code, the role of the scheduler is called leader and that of a standby follower; a
// host that has found no scheduler and has loaded the state is a follower as well. The scheduler's tables
// (leader, worker, stageAdvice) are rebuilt from the state when a host becomes the scheduler.
//
// # Safety
//
// The store accepts appends to the journal only from the highest epoch, and an election only at the end
// of the journal that the candidate has read, so each batch is decided on the state after all earlier
// batches. A run is in the journal before its start order is sent. It uses resources of its worker until
// its end is in the journal, and an end is acknowledged to the worker only after that.
//
// Every order carries a fencing token that is higher than those of all earlier schedulers. After an
// unanswered order, the worker's token is raised. A report of its runs under the raised token then shows
// whether the order was carried out, since the worker refuses orders with the old token from then on. The
// runs of an unreachable worker count as active until its lease has expired for certain.
//
// Whether a run has to be stopped follows from the state (the job is final, or the gang has lost a member), and every
// sweep compares the runs with it, so that a scheduler that takes over stops what its predecessor had to stop.
//
// # Crashes
//
// The state counts the workers that crashed under a task, and the job of a task that has seen too many fails. Until then
// such a task is kept apart from other suspects, and runs alone with its job after the second crash (suspicion.go). A
// queue of which many starts crash workers is isolated as a whole (queuecrash.go).
//
// # Failure
//
// A scheduler that is silent for electionTimeout is replaced by a host that can read the store. While the
// store does not answer, the scheduler starts nothing new and renews leases for leadershipTimeout. A
// scheduler that has been fenced off drops its tables and looks for its successor. Once it has resigned, or
// has linked to its successor, it renews no leases, and the successor waits for one lease of the workers that
// it does not reach (leadership.go). When it links to the successor, its host forwards the ends of runs that
// workers have reported to it and that may not be in the journal (forward.go).
//
// A host that cannot reach the store queries other hosts for the current scheduler and still serves callers
// over its link to the scheduler. It cannot become a standby until it reaches the store again.
//
// # Versions
//
// Hosts of two versions may follow one journal. The scheduler records its verdict on a job with the end of a
// run, and the standbys apply the verdict instead of their own rules (verdict.go). A host that meets a
// format of the journal above its own is no candidate, and shows callers the scheduler's views (format.go).
package scheduler
