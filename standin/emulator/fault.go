package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	KillScheduler       FaultKind = "kill_scheduler"   // KillScheduler kills the scheduler's process and restarts it.
	KillHosts           FaultKind = "kill_hosts"       // KillHosts kills the processes of some hosts and restarts them.
	FreezeScheduler     FaultKind = "freeze_scheduler" // FreezeScheduler pauses the scheduler's process.
	IsolateScheduler    FaultKind = "cut_scheduler"    // IsolateScheduler partitions the scheduler from the store.
	StoreDown           FaultKind = "store_down"       // StoreDown makes the store unreachable for all hosts.
	StoreSlow           FaultKind = "store_slow"       // StoreSlow makes calls to the store take longer.
	StoreLosesResponses FaultKind = "store_loses"      // StoreLosesResponses loses responses to writes; the writes are executed, some late.
	StoreUnreachable    FaultKind = "store_refuses"    // StoreUnreachable makes the store unreachable for some hosts.
	CrashWorkers        FaultKind = "crash_workers"    // CrashWorkers crashes some workers, which restart under the same ID.
	IsolateWorkers      FaultKind = "cut_workers"      // IsolateWorkers partitions some workers from all hosts; they keep running.
	FailWorkers         FaultKind = "fail_workers"     // FailWorkers makes all runs that start on some workers fail.
	HangWorkers         FaultKind = "hang_workers"     // HangWorkers makes all runs that start on some workers hang.
	DrainWorkers        FaultKind = "drain_workers"    // DrainWorkers drains some workers, which crash 3 s later and then restart.
	DelayOrders         FaultKind = "orders_late"      // DelayOrders executes some orders late and without a response.
	HideAnnouncements   FaultKind = "lapse_entries"    // HideAnnouncements hides the announcements of all workers.
	CrashTasks          FaultKind = "crash_tasks"      // CrashTasks makes tasks of some jobs crash each worker that starts them.
	ShrinkWorkers       FaultKind = "shrink_workers"   // ShrinkWorkers reduces the capacity of some workers.
	BreakPaths          FaultKind = "break_paths"      // BreakPaths makes the paths from some hosts to some workers lossy, slow or one-way.
	KillAfterMoment     FaultKind = "kill_after"       // KillAfterMoment kills the scheduler's process shortly after the fault's moment.
	FreezeAfterMoment   FaultKind = "freeze_after"     // FreezeAfterMoment pauses the scheduler's process shortly after the fault's moment.
	IsolateAfterMoment  FaultKind = "cut_after"        // IsolateAfterMoment partitions the scheduler from the store shortly after the fault's moment.
	FreezeHosts         FaultKind = "freeze_hosts"     // FreezeHosts pauses the processes of some hosts.
	KillSeries          FaultKind = "kill_series"      // KillSeries kills one scheduler after the other, each within seconds of its election.
	ChangeRoutes        FaultKind = "change_routes"    // ChangeRoutes adds a route and, in most cases, removes it while callers use it.
	Burst               FaultKind = "burst"            // Burst multiplies the rate of submissions.
	LoseOrders          FaultKind = "lose_orders"      // LoseOrders makes one worker leave orders unanswered for a long time.
	ChangeKinds         FaultKind = "change_kinds"     // ChangeKinds restarts some workers under their ID as another kind.

	// RestartAndCut restarts some workers under their ID and partitions the same workers soon after. RandomFaults draws it apart
	// from FaultKinds.
	RestartAndCut FaultKind = "restart_and_cut"

	// RevokeKeys revokes keys of workspaces while callers use them. RandomFaults does not draw it.
	RevokeKeys FaultKind = "revoke_keys"
	// The kinds that concern the hosts that relay views. RandomFaults draws none of them.
	KillRelays   FaultKind = "kill_relays"    // KillRelays kills the processes of some relays, which start again.
	LoseRelays   FaultKind = "lose_relays"    // LoseRelays cuts the power of some relays: nothing tells the hosts that are linked to them.
	FreezeRelays FaultKind = "freeze_relays"  // FreezeRelays pauses the processes of some relays.
	CutViewLinks FaultKind = "cut_view_links" // CutViewLinks cuts some relays off from their viewers alone.

	// The kinds that only measurements of takeovers inject.
	LoseScheduler   FaultKind = "lose_scheduler"   // LoseScheduler kills the scheduler's process, which does not start again.
	CutLinks        FaultKind = "cut_links"        // CutLinks partitions the scheduler from all other hosts, but not from the store.
	RefuseScheduler FaultKind = "refuse_scheduler" // RefuseScheduler makes the store refuse the scheduler's calls at once.
	JournalDown     FaultKind = "journal_down"     // JournalDown makes the store refuse all calls that concern the journal.
	StopScheduler   FaultKind = "stop_scheduler"   // StopScheduler stops the scheduler's process as planned and starts it again.
	StopHosts       FaultKind = "stop_hosts"       // StopHosts stops one host after the other as planned and starts it again.
	LoseWorker      FaultKind = "lose_worker"      // LoseWorker crashes the busiest worker.
	NoDisturbance   FaultKind = "none"             // NoDisturbance marks a moment at which nothing is disturbed, for comparison.
)

// FaultKinds returns the kinds of faults that RandomFaults draws from. Another kind here gives all seeds other faults.
func FaultKinds() []FaultKind {
	return []FaultKind{
		KillScheduler, KillHosts, FreezeScheduler, IsolateScheduler, StoreDown, StoreSlow, StoreLosesResponses, StoreUnreachable,
		CrashWorkers, IsolateWorkers, FailWorkers, HangWorkers, DrainWorkers, DelayOrders, HideAnnouncements,
		CrashTasks, ShrinkWorkers, BreakPaths, KillAfterMoment, FreezeAfterMoment, IsolateAfterMoment,
		FreezeHosts, KillSeries, ChangeRoutes, Burst, LoseOrders, ChangeKinds,
	}
}

// Fault is one fault to inject.
type Fault struct {
	Kind       FaultKind
	StartsAt   time.Duration // StartsAt is the time since the end of the warm-up.
	Duration   time.Duration
	Share      float64        // Share is the fraction of hosts, workers, responses or orders that are affected.
	SlowFactor float64        // SlowFactor multiplies the duration of calls to a slow store.
	LeaseShare float64        // LeaseShare is the fraction of lease orders that DelayOrders affects.
	Moment     Moment         // Moment is what a fault that hits after a moment waits for from StartsAt on.
	Delay      time.Duration  // Delay is the time from the moment to that fault.
	Queue      string         // Queue is the queue whose tasks CrashTasks affects.
	CrashDelay time.Duration  // CrashDelay is the time from the start of such a task to the crash.
	Restart    RestartPattern // Restart is what RestartAndCut does.
}

// String returns the fault as it appears in reports.
func (fault Fault) String() string {
	text := fmt.Sprintf("%s at %s for %s share %.2f", fault.Kind, fault.StartsAt, fault.lasting(), fault.Share)
	switch fault.Kind {
	case DelayOrders, LoseOrders:
		text += fmt.Sprintf(" (leases %.2f)", fault.LeaseShare)
	case CrashTasks:
		text += fmt.Sprintf(" in %s, %s after the start", fault.Queue, fault.CrashDelay)
	case RestartAndCut:
		text += fmt.Sprintf(" (%s)", fault.Restart)
	case KillAfterMoment, FreezeAfterMoment, IsolateAfterMoment:
		text += fmt.Sprintf(", %s after %s", fault.Delay, fault.Moment)
	default:
	}
	return text
}

// lasting returns how long the fault lasts.
func (fault Fault) lasting() time.Duration {
	switch fault.Kind {
	case KillSeries:
		return fault.Duration * killSeriesFactor
	case LoseOrders:
		return fault.Duration * orderSeriesFactor
	case RestartAndCut:
		return fault.Restart.lasting()
	default:
		return fault.Duration
	}
}

// Random days with restarts. Seeds below firstRestartSeed have the faults that tests and pages name them for.
const (
	firstRestartSeed = 100_000
	restartDayShare  = 0.3 // restartDayShare is the fraction of the later seeds whose first fault is RestartAndCut.
)

// RandomFaults returns count random faults that start within a time; the same seed gives the same faults. About half of
// them start during the fault before them, since some failures take two faults at once.
func RandomFaults(seed uint64, count int, submitTime time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 77)) //nolint:gosec // A model needs no secrecy.
	// The draw of the other faults does not depend on that of the restarts.
	restarts := rand.New(rand.NewPCG(seed, 78)) //nolint:gosec // A model needs no secrecy.
	faults := make([]Fault, 0, count)
	for number := range count {
		fault := randomFault(random)
		fault.Restart = randomRestart(restarts)
		fault.StartsAt = randomDuration(random, submitTime)
		if number > 0 && random.IntN(2) == 0 {
			previous := faults[number-1]
			fault.StartsAt = previous.StartsAt + randomDuration(random, previous.Duration)
		}
		faults = append(faults, fault)
	}
	if seed >= firstRestartSeed && restarts.Float64() < restartDayShare {
		faults[0].Kind = RestartAndCut
	}
	return faults
}

func randomFault(random *rand.Rand) Fault {
	kinds, moments, queues := FaultKinds(), moments(), []string{queueUrgent, queueGang, queueBatch}
	fault := Fault{
		Kind:     kinds[random.IntN(len(kinds))],
		Duration: time.Second + randomDuration(random, 5*time.Second),
		Share:    0.05 + 0.3*random.Float64(), SlowFactor: 10 + 50*random.Float64(),
		Moment: moments[random.IntN(len(moments))], Delay: randomDuration(random, maxMomentDelay),
		Queue: queues[random.IntN(len(queues))], CrashDelay: shortCrashDelay,
	}
	fault.LeaseShare = fault.Share
	if random.IntN(2) == 0 {
		// Each lease order raises the fence, which rejects other delayed orders and so hides their effects.
		fault.LeaseShare = fault.Share / 10
	}
	if random.IntN(2) == 0 {
		fault.CrashDelay += randomDuration(random, maxCrashDelay)
	}
	return fault
}

func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit))).Round(time.Millisecond)
}
