package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Report is the outcome of a simulation.
type Report struct {
	Jobs, Accepted, Completed, Failed, Cancelled, Runs int
	Median, P99                                        time.Duration // Median and P99 are the 50th and 99th percentiles of the time from submission to completion.
	All, Urgent, Gangs, Batch                          ClassTimes    // All and the others hold the times of the jobs of all queues and of each.
	// GivenUp counts the jobs that are shown as failed because workers crashed under one of their tasks, GivenUpSound
	// those among them without a task that crashes its workers.
	GivenUp, GivenUpSound int
	// Questions counts the questions of callers that hosts answered, Unavailable those that they answered with 503.
	Questions, Unavailable int
	Violations             []string
	Takeovers              TakeoverReport // Takeovers holds the times from the disturbances of the scheduler to the next starts.
	// OldestViews is the highest age of complete views on a host that was not disturbed, RelayedChecks the number of checks of a host
	// that gets views from a relay. Both are of cells with relays alone.
	OldestViews   time.Duration
	RelayedChecks int
	Traffic       TrafficReport // Traffic holds the messages on the links of the scheduler's hosts, if they were measured.
	// AccountedCPU is the CPU time of all runs in the stored account, UsedCPU the CPU time on the workers, both
	// in millicore-seconds.
	AccountedCPU, UsedCPU int64
}

// checker checks the guarantees by what callers and workers observe.
type checker struct {
	simulation      *Simulation
	startedRuns     int
	usedCPU         float64 // usedCPU is in millicore-seconds.
	givenUp         int
	givenUpSound    int
	pendingChecks   int
	questions       int
	unavailable     int
	violations      []string
	violationCounts map[string]int // violationCounts counts the violations of each rule.
	completionTimes []time.Duration
}

func newChecker(simulation *Simulation) *checker {
	return &checker{simulation: simulation, violationCounts: map[string]int{}}
}

// maxViolations is the maximum number of reported violations of one rule.
const maxViolations = 10

func (checker *checker) addViolation(rule, format string, values ...any) {
	checker.violationCounts[rule]++
	if checker.violationCounts[rule] <= maxViolations {
		checker.violations = append(checker.violations, fmt.Sprintf("%s at %.3f s: ", rule, (checker.simulation.now-warmUp).Seconds())+fmt.Sprintf(format, values...))
	}
}

// gangCheckDelay is how long after a disturbance a gang may still time out.
const gangCheckDelay = 15 * time.Second

func (checker *checker) recordEnd(now time.Duration, worker *modelWorker, run *modelRun, kind almondcross.EndKind) {
	history := run.job.historyOf(run.task)
	delete(history.running, worker)
	checker.usedCPU += float64(run.step.Resources().MilliCPU()) * (now - run.startedAt).Seconds()
	switch kind {
	case almondcross.EndDone:
		history.done, history.doneAt, history.completedRun = true, now, run.number
		history.acknowledged, history.startedAfterDone = false, false
	case almondcross.EndFailed:
		checker.addFailure(now, run, history)
	case almondcross.EndLeaseExpired:
		checker.simulation.meter.runLapsed()
	case almondcross.EndGangIncomplete:
		if run.job.cancelledAt == 0 && !checker.simulation.disturbances.near(now, gangCheckDelay) {
			checker.addViolation("GANG", "%s run %d on %s timed out waiting for the other members", run.task, run.number, worker.id)
		}
	default:
	}
}

// recordLostRun removes a run that was lost in a crash or the exit of its worker.
func (checker *checker) recordLostRun(worker *modelWorker, run *modelRun, crashed bool) {
	checker.simulation.meter.taskLost(run.task)
	history := run.job.historyOf(run.task)
	delete(history.running, worker)
	if crashed {
		history.crashes++
	}
}

// checkAcknowledgedEnd checks an ended task that the scheduler acknowledged. It ignores an end after which the
// worker's lease expired, since the scheduler may not have learned of it in time.
func (checker *checker) checkAcknowledgedEnd(worker *modelWorker, end almondcross.EndedTask) {
	job := checker.simulation.jobs[end.Task().Stage.Job]
	if job == nil {
		return
	}
	history := job.historyOf(end.Task())
	if end.Kind() == almondcross.EndFailed {
		checker.noteFailure(worker, end, history)
	}
	if end.Kind() != almondcross.EndDone {
		return
	}
	if history.completedRun != end.Run() || worker.leaseExpiredAt > history.doneAt {
		return
	}
	history.acknowledged = true
	if history.startedAfterDone {
		checker.addViolation("TWICE", "%s: the end of run %d on %s was acknowledged after another start", end.Task(), end.Run(), worker.id)
	}
}

func (checker *checker) report() Report {
	report := Report{Jobs: len(checker.simulation.jobs), Runs: checker.startedRuns}
	for _, id := range slices.Sorted(maps.Keys(checker.simulation.jobs)) {
		job := checker.simulation.jobs[id]
		if job.acceptedAt > 0 {
			report.Accepted++
			if checker.simulation.lost(job) {
				checker.addViolation("LOST", "%s was accepted at %.3f s and has no final state at the end; %d workers crashed under its tasks",
					id, (job.acceptedAt - warmUp).Seconds(), job.crashes())
			}
		}
		switch job.finalState {
		case almondcross.JobCompleted:
			report.Completed++
		case almondcross.JobFailed:
			report.Failed++
		case almondcross.JobCancelled:
			report.Cancelled++
		default:
		}
	}
	report.GivenUp, report.GivenUpSound = checker.givenUp, checker.givenUpSound
	report.Questions, report.Unavailable = checker.questions, checker.unavailable
	report.UsedCPU = int64(checker.usedCPU)
	for _, usage := range checker.simulation.storedUsage {
		report.AccountedCPU += usage.Received().MilliCPU()
	}
	slices.Sort(checker.completionTimes)
	if count := len(checker.completionTimes); count > 0 {
		report.Median, report.P99 = checker.completionTimes[count/2], checker.completionTimes[count*99/100]
	}
	report.Violations = checker.violations
	return report
}
