package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Takeover holds times from a disturbance of the scheduler to what follows it. A time is 0 if it did not happen before the
// first start.
type Takeover struct {
	Election  time.Duration // Election is when the successor stood for the election that it won.
	Elected   time.Duration // Elected is when the successor began to schedule.
	Contact   time.Duration // Contact is when a worker first answered the successor.
	Advice    time.Duration // Advice is when the successor first got advice.
	Placement time.Duration // Placement is when the successor first placed a run.
	Start     time.Duration // Start is when a worker first started a run that was placed after the disturbance, the end of the simulation if none did.
}

// TakeoverReport holds what the disturbances of the scheduler cost in a simulation.
type TakeoverReport struct {
	Takeovers []Takeover
	// LongestPause is the longest time without a start of any task while jobs wait.
	LongestPause time.Duration
	// Lapsed counts the runs that ended because the lease of their worker expired, PresumedLost those that a scheduler ended as
	// lost or as never started although their worker had started them.
	Lapsed, PresumedLost int
	// Restarts holds the times from the loss of a worker to the next starts of its tasks, NotRestarted counts the others.
	Restarts     []time.Duration
	NotRestarted int
}

// takeoverMeter measures what follows the disturbances of the scheduler, from the first one on. It is not safe for concurrent use.
type takeoverMeter struct {
	simulation *Simulation
	takeovers  []*measuredTakeover
	electionAt map[*modelHost]time.Duration // electionAt is when each host last stood for election.
	waiting    map[*modelJob]bool           // waiting holds the accepted jobs without a start.
	pauseSince time.Duration                // pauseSince is since when jobs have waited and no task has started.
	begunRuns  map[string]bool              // begunRuns holds the runs that workers began.
	placedAt   map[string]time.Duration     // placedAt is when each run was last placed.
	lostTasks  map[almondcross.JobTask]time.Duration
	result     TakeoverReport
}

// measuredTakeover is a disturbance of the scheduler and the times since the start of the simulation that it measures.
type measuredTakeover struct {
	at          time.Duration
	host        *modelHost // host is the disturbed one.
	incarnation int
	stopping    bool       // stopping is set if the starts of that process, which go on until it has resigned, do not count.
	successor   *modelHost // successor is the last elected host, nil for none.
	times       Takeover
	done        bool
}

func newTakeoverMeter(simulation *Simulation) *takeoverMeter {
	return &takeoverMeter{
		simulation: simulation, electionAt: map[*modelHost]time.Duration{}, waiting: map[*modelJob]bool{}, begunRuns: map[string]bool{},
		placedAt:  map[string]time.Duration{},
		lostTasks: map[almondcross.JobTask]time.Duration{},
	}
}

// begin starts a measurement at a disturbance of the scheduler on a host, which is nil if no host is the scheduler.
func (takeovermeter *takeoverMeter) begin(host *modelHost, stopping bool) {
	if host == nil {
		return
	}
	if len(takeovermeter.takeovers) == 0 {
		takeovermeter.pauseSince = takeovermeter.simulation.now
	}
	takeovermeter.takeovers = append(takeovermeter.takeovers, &measuredTakeover{
		at: takeovermeter.simulation.now, host: host, incarnation: host.incarnation, stopping: stopping,
	})
}

// openTakeovers returns the disturbances after which no run has started yet.
func (takeovermeter *takeoverMeter) openTakeovers() []*measuredTakeover {
	var open []*measuredTakeover
	for _, takeover := range takeovermeter.takeovers {
		if !takeover.done {
			open = append(open, takeover)
		}
	}
	return open
}

// observe notes an event of a host's machine.
func (takeovermeter *takeoverMeter) observe(host *modelHost, event string, fields []almondcross.LogField) {
	switch event {
	case "election_started":
		takeovermeter.electionAt[host] = takeovermeter.simulation.now
	case "scheduling_started":
		for _, takeover := range takeovermeter.openTakeovers() {
			takeover.successor = host
			takeover.times = Takeover{Election: takeovermeter.electionAt[host] - takeover.at, Elected: takeovermeter.simulation.now - takeover.at}
		}
	case "advised":
		takeovermeter.note(host, func(times *Takeover) *time.Duration { return &times.Advice })
	case "run_placed":
		task, run, _ := runFields(fields)
		takeovermeter.placedAt[runKey(task, run)] = takeovermeter.simulation.now
		takeovermeter.note(host, func(times *Takeover) *time.Duration { return &times.Placement })
	case "run_ended":
		takeovermeter.runEnded(fields)
	}
}

// workerAnswered notes that a worker answered a lease order of a host.
func (takeovermeter *takeoverMeter) workerAnswered(host *modelHost, result almondcross.OrderResult) {
	if result == almondcross.OrderDone {
		takeovermeter.note(host, func(times *Takeover) *time.Duration { return &times.Contact })
	}
}

// note sets a time of the open takeovers by a host, unless it is set.
func (takeovermeter *takeoverMeter) note(host *modelHost, field func(*Takeover) *time.Duration) {
	for _, takeover := range takeovermeter.openTakeovers() {
		if noted := field(&takeover.times); takeover.successor == host && *noted == 0 {
			*noted = takeovermeter.simulation.now - takeover.at
		}
	}
}

// runEnded counts a run that a scheduler ends as lost or as never started although it had begun.
func (takeovermeter *takeoverMeter) runEnded(fields []almondcross.LogField) {
	task, run, end := runFields(fields)
	switch almondcross.EndKind(end) {
	case almondcross.EndWorkerCrashed, almondcross.EndCrashedAlone, almondcross.EndMaybeCrashed, almondcross.EndVoid:
		if takeovermeter.begunRuns[runKey(task, run)] {
			takeovermeter.result.PresumedLost++
		}
	default:
	}
}

// runFields returns the task, the number and the end of a run from the fields of its log line.
func runFields(fields []almondcross.LogField) (task string, run int, end string) {
	for _, field := range fields {
		switch field.Name {
		case "task":
			task = field.Text
		case "run":
			run = int(field.Number)
		case "end":
			end = field.Text
		}
	}
	return task, run, end
}

func runKey(task string, run int) string { return fmt.Sprint(task, "/", run) }

// runLapsed counts a run that ended because the lease of its worker expired.
func (takeovermeter *takeoverMeter) runLapsed() {
	if len(takeovermeter.takeovers) > 0 {
		takeovermeter.result.Lapsed++
	}
}

// taskLost notes that the run of a task was lost with its worker.
func (takeovermeter *takeoverMeter) taskLost(task almondcross.JobTask) {
	takeovermeter.lostTasks[task] = takeovermeter.simulation.now
}

// jobAccepted notes that a job waits, unless one of its tasks has started already.
func (takeovermeter *takeoverMeter) jobAccepted(job *modelJob) {
	if job.started {
		return
	}
	if len(takeovermeter.waiting) == 0 {
		takeovermeter.pauseSince = takeovermeter.simulation.now
	}
	takeovermeter.waiting[job] = true
}

// runBegun notes that a worker began a run.
func (takeovermeter *takeoverMeter) runBegun(run *modelRun, delivered delivery) {
	now := takeovermeter.simulation.now
	takeovermeter.endPause()
	delete(takeovermeter.waiting, run.job)
	takeovermeter.pauseSince = now
	key := runKey(run.task.String(), run.number)
	takeovermeter.begunRuns[key] = true
	if lostAt, lost := takeovermeter.lostTasks[run.task]; lost {
		takeovermeter.result.Restarts = append(takeovermeter.result.Restarts, now-lostAt)
		delete(takeovermeter.lostTasks, run.task)
	}
	for _, takeover := range takeovermeter.openTakeovers() {
		stopping := takeover.stopping && delivered.sender == takeover.host && delivered.sender.incarnation == takeover.incarnation
		// The append of a run that was placed before may be answered after the disturbance.
		if takeovermeter.placedAt[key] > takeover.at && !stopping {
			takeover.times.Start, takeover.done = now-takeover.at, true
		}
	}
}

// endPause notes the time since the last start if jobs have waited in it, up to the last submissions: the last jobs may wait
// for room without any start. A job whose identity was also used on another queue may be cancelled and does not count.
func (takeovermeter *takeoverMeter) endPause() {
	waiting := false
	for job := range takeovermeter.waiting {
		waiting = waiting || job.otherQueue == ""
	}
	if waiting && len(takeovermeter.takeovers) > 0 {
		until := min(takeovermeter.simulation.now, warmUp+takeovermeter.simulation.config.SubmitTime)
		takeovermeter.result.LongestPause = max(takeovermeter.result.LongestPause, until-takeovermeter.pauseSince)
	}
}

// report ends the measurement at the end of the simulation and returns it.
func (takeovermeter *takeoverMeter) report() TakeoverReport {
	takeovermeter.endPause()
	report := takeovermeter.result
	report.NotRestarted = len(takeovermeter.lostTasks)
	for _, takeover := range takeovermeter.takeovers {
		if !takeover.done {
			takeover.times.Start = takeovermeter.simulation.now - takeover.at
		}
		report.Takeovers = append(report.Takeovers, takeover.times)
	}
	slices.Sort(report.Restarts)
	return report
}
