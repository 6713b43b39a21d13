package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// leader holds what a machine needs to schedule. It is rebuilt for each epoch.
type leader struct {
	epoch           int64
	sequence        int64
	electedAt       time.Time // electedAt is when the election was answered.
	lastCommitAt    time.Time // lastCommitAt is when the last successful append was first sent.
	pointerStoredAt time.Time // pointerStoredAt is when the pointer was last stored.
	lastAppendAt    time.Time // lastAppendAt is when the last append was sent.
	resignCause     string    // resignCause is why this host resigns before the next append, empty if it does not.
	resignedAt      time.Time // resignedAt is when the resignation was added to the next append, zero before that.

	pendingChanges   []almondcross.Change                            // pendingChanges holds the changes of the next append.
	unrecordedStarts []jobStart                                      // unrecordedStarts holds the known starts that the next append records.
	pendingIntake    map[int]int64                                   // pendingIntake holds the intake offsets of the next append.
	pendingCallbacks []commitCallback                                // pendingCallbacks holds the functions to run once their changes are in the journal.
	pendingResets    []*linkedHost                                   // pendingResets holds the hosts that get all views after the next append.
	unpushedViews    map[almondcross.JobID]almondcross.JobViewChange // unpushedViews holds the committed views that viewers don't have yet.
	viewsPushedAt    time.Time                                       // viewsPushedAt is when views were last pushed.
	viewRelays       viewRelays
	intakeReadAt     map[int]time.Time // intakeReadAt is when each intake partition was last read successfully.
	inflight         *inflightAppend   // inflight is the pending append, nil for none.

	snapshotTriedAt time.Time // snapshotTriedAt is when the last snapshot was taken, stored or not.
	leaseBoundsDue  bool      // leaseBoundsDue is set if the next append is to have the lease bounds, see recordLeaseBounds.
	earlierEnded    bool      // earlierEnded is set once no earlier scheduler extends leases.
	addressesDue    []string  // addressesDue holds the workers whose addresses are to be recorded after the last snapshot, see recordAddresses.
	usageAt         time.Time // usageAt is when usage was last stored.
	usageStoring    bool

	stateLimit int64 // stateLimit is the memory in bytes that the jobs of the state may take, 0 for no limit.
	roomWaits  roomWaits

	workers             map[string]*worker
	workersListed       bool                              // workersListed is set once the list of announced workers was read.
	removedFence        int64                             // removedFence is the highest fencing token of the removed workers, which may return.
	sortedWorkers       []*worker                         // sortedWorkers holds the workers by ID.
	usableWorkers       []*worker                         // usableWorkers holds the workers that may get new work in the current pass.
	faultyWorkers       []*worker                         // faultyWorkers holds the workers that appear to be faulty and could get new work otherwise.
	ownWorkers          []*worker                         // ownWorkers holds the usable workers without runs or with isolated ones at the start of the current pass.
	allowedWorkers      []*worker                         // allowedWorkers holds the result of the last call of the method of this name.
	idleHosts           []*linkedHost                     // idleHosts holds the hosts without a call that may make one in the current pass.
	busyHosts           []*linkedHost                     // busyHosts holds the hosts with calls that may make a further one in the current pass.
	longCalls           int                               // longCalls counts the hosts with a long call in the current pass.
	examinedWorkers     int                               // examinedWorkers counts how often a worker was looked at in the current pass.
	usableCPU           int64                             // usableCPU is the CPU capacity of the usable workers in thousandths of a core.
	isolatedWorkers     int                               // isolatedWorkers counts the workers with an isolated run, crashed ones included, or kept free for one, in the current pass.
	isolationLimit      int                               // isolationLimit is the maximum of isolatedWorkers in the current pass.
	unexplainedLosses   queueScore                        // unexplainedLosses counts the recent losses of workers that no start explains.
	queueScores         map[string]queueScore             // queueScores holds the scores of the queues whose starts have crashed workers, see crashPenalty.
	quarantined         map[almondcross.StageID]time.Time // quarantined holds the waiting stages that were isolated with their queue, also after the queue is trusted again, and since when.
	reservedCPU         int64                             // reservedCPU is the part of usableCPU that is reserved for gangs in the current pass.
	runTimes            almondcross.RuntimeEstimator      // runTimes learns the run times of tasks, nil for none.
	speeds              almondcross.WorkerSpeeds          // speeds learns the speeds of workers, nil for none.
	trialAt             time.Time                         // trialAt is when a stage last gave tasks to slow workers as trials.
	speedLines          int                               // speedLines counts the log lines on speeds since the last sweep.
	heldWorkers         int                               // heldWorkers counts the workers that are held for gangs in the current pass.
	gangWorkers         []*worker                         // gangWorkers holds the result of the last call of the method of this name.
	waitingStages       []*waitingStage                   // waitingStages holds the stages with tasks to place, in placement order.
	advice              map[almondcross.StageID]*stageAdvice
	queued              map[almondcross.StageID]bool // queued holds the stages that are in waitingStages.
	jobsWithOccurrences map[almondcross.JobID]*job   // jobsWithOccurrences holds the jobs with occurrences still to start.
	placementDue        bool                         // placementDue is set when a placement pass may succeed.
	lastPlacementAt     time.Time                    // lastPlacementAt is when the last placement pass began.
	lastSweepAt         time.Time                    // lastSweepAt is when the workers were last swept.
	waitsLoggedAt       time.Time                    // waitsLoggedAt is when it was last logged what keeps the workers from waiting stages.
	lastTickAt          time.Time                    // lastTickAt is when due occurrences were last started.
	failedShare         float64                      // failedShare is the failed share of the runs on the median of the workers, see updateFailedShare.
	failedAgainShare    float64                      // failedAgainShare is the moving average of the failed share of the runs of stages that have failed on another worker.
	quotas              quotaTable
	shares              shareTable
	roomBounds          map[string]*roomBound // roomBounds holds the bounds on the room of the pools in the current pass.
	crowdedPools        map[string]bool       // crowdedPools holds the results of the method crowded in the current pass.
	allowedShares       map[string]float64    // allowedShares holds the moving average of the share of workers that advice allows, by queue.
}

func (machine *Machine) startLeading(answer almondcross.JournalCommitted) {
	machine.role = roleLeader
	machine.leader = &leader{
		epoch: answer.Commit().Epoch(), sequence: 1, electedAt: machine.now, lastCommitAt: machine.now.Add(-answer.Took()),
		pendingIntake: map[int]int64{}, intakeReadAt: map[int]time.Time{}, workers: map[string]*worker{}, advice: map[almondcross.StageID]*stageAdvice{},
		queued: map[almondcross.StageID]bool{}, unpushedViews: map[almondcross.JobID]almondcross.JobViewChange{}, jobsWithOccurrences: map[almondcross.JobID]*job{}, allowedShares: map[string]float64{}, queueScores: map[string]queueScore{},
		quarantined: map[almondcross.StageID]time.Time{}, roomWaits: roomWaits{}, quotas: newQuotaTable(), roomBounds: map[string]*roomBound{}, crowdedPools: map[string]bool{}, viewRelays: machine.newViewRelays(),
	}
	if machine.config.NewRunTimes != nil {
		machine.leader.runTimes = machine.config.NewRunTimes()
	}
	if machine.config.NewSpeeds != nil {
		machine.leader.speeds = machine.config.NewSpeeds()
	}
	machine.leader.stateLimit = machine.stateLimit()
	machine.endLeadershipsOf(machine.config.Host, machine.config.Address, machine.leader.epoch)
	machine.config.Log.Record("scheduling_started", almondcross.Number("epoch", machine.leader.epoch),
		almondcross.Number("jobs", len(machine.state.jobs)), almondcross.Millis("took_ms", answer.Took()),
		almondcross.Millis("lapse_ms", machine.earlierLeasesExpiredAt().Sub(machine.now)))
	machine.config.Metrics.Elected()
	machine.announceScheduler()
	machine.storePointer()
	for _, linkedHost := range machine.linkedHosts {
		linkedHost.calls, linkedHost.standby, linkedHost.rank, linkedHost.awaitingViews = nil, false, 0, false
		linkedHost.views = viewRoute{format: linkedHost.views.format, dataCentre: linkedHost.views.dataCentre}
	}
	// The first hosts become standbys, so they are taken in an order that is the same in each process.
	for _, name := range slices.Sorted(maps.Keys(machine.linkedHosts)) {
		if name != machine.config.Host {
			machine.hostLinked(machine.linkedHosts[name])
		}
	}
	machine.renewShares()
	machine.restoreAssignments()
	machine.recordForwardedEnds(machine.config.Host, machine.endsToForward())
	machine.settleJobs()
	machine.readWorkers(-1, 0)
	for partition := range machine.config.Partitions {
		machine.readIntake(partition, machine.state.intakeOffsets[partition], 0, 0)
	}
}

// restoreAssignments rebuilds the worker tables from the state. Every run without a recorded end may be on its
// worker.
func (machine *Machine) restoreAssignments() {
	restored, final := 0, 0
	for _, job := range machine.state.unfinishedJobs() {
		for _, stage := range job.stages {
			if stage == nil {
				continue
			}
			if job.ready(stage) {
				stage.readyAt = job.spec.Submitted()
			}
			for index, record := range stage.tasks.known() {
				if !record.Active() {
					continue
				}
				worker := machine.ensureWorker(record.Worker())
				task := almondcross.JobTask{Stage: stage.id, Index: index}
				restoredRun := &assignment{
					suspicion: stage.suspicion(index), missingEnd: almondcross.EndVoid, task: task, run: record.Run(), resources: stage.spec.Resources(), phase: phaseUnknown, stage: stage, job: job,
					placedAt: machine.now,
				}
				worker.assign(restoredRun)
				machine.chargeShare(restoredRun)
				restored++
				if job.state.Final() {
					final++
				}
			}
		}
		machine.enqueueReadyStages(job)
	}
	machine.restoreAddresses()
	machine.config.Log.Record("runs_restored", almondcross.Number("runs", restored), almondcross.Number("of_final_jobs", final))
}

// stopLeading ends the epoch and drops the state, which may contain changes that are not in the journal.
func (machine *Machine) stopLeading(cause string) {
	machine.config.Log.Record("scheduling_ended", almondcross.Number("epoch", machine.leader.epoch), almondcross.Text("reason", cause))
	machine.keepUnrecordedEnds()
	for _, worker := range machine.leader.sortedWorkers {
		machine.emit(ReleaseWorker{Worker: worker.id})
	}
	machine.leader = nil
	machine.config.Metrics.Workspaces(nil) // The next scheduler has the figures.
	machine.config.Metrics.StateHeld(0, 0)
	machine.discoverScheduler()
}

// storePointer publishes this host as the scheduler for hosts in discovery.
func (machine *Machine) storePointer() {
	machine.leader.pointerStoredAt = machine.now
	machine.emit(StorePointer{Pointer: almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{
		Epoch: machine.leader.epoch, Host: machine.config.Host, Address: machine.config.Address,
	})})
}

// runLeader carries out the periodic work of the scheduler.
func (machine *Machine) runLeader() {
	machine.resignIfDue()
	if machine.now.Sub(machine.leader.pointerStoredAt) > pointerStoreInterval {
		machine.storePointer()
	}
	if machine.now.Sub(machine.leader.lastSweepAt) >= sweepInterval {
		machine.leader.lastSweepAt = machine.now
		machine.sweepWorkers()
		machine.logWaits()
		machine.expireAdviceCalls()
		machine.checkEarlierLeaderships()
		machine.leader.roomWaits.update(machine.state.ledger.freed, machine.now)
		machine.config.Metrics.StateHeld(machine.state.ledger.used, machine.leader.stateLimit)
		if machine.strongerStandby() {
			machine.leader.resignCause = "a stronger standby is available"
		}
	}
	if machine.now.Sub(machine.leader.lastTickAt) >= leaderTick {
		machine.leader.lastTickAt = machine.now
		machine.startDueOccurrences()
		machine.leader.placementDue = true // Tickets and backoffs expire without a message.
	}
	if machine.leader.placementDue && machine.leader.resignedAt.IsZero() && machine.now.Sub(machine.leader.lastPlacementAt) >= machine.leader.placementInterval() {
		machine.leader.placementDue, machine.leader.lastPlacementAt = false, machine.now
		machine.placeStages()
	}
	machine.storeUsage()
	machine.runViewRelays()
	machine.appendPending()
}

// resignIfDue resigns if there is a cause, between two appends. While an append is unanswered the store may be down, and leases
// that a resigned scheduler does not extend would expire before it is back.
func (machine *Machine) resignIfDue() {
	leader := machine.leader
	if machine.stopping {
		leader.resignCause = "planned stop"
	}
	if leader.resignCause != "" && leader.resignedAt.IsZero() && leader.inflight == nil {
		machine.resign(leader.resignCause)
	}
}

// resign ends the epoch, so that a standby is elected without waiting for electionTimeout.
func (machine *Machine) resign(cause string) {
	machine.leader.resignedAt, machine.leader.leaseBoundsDue = machine.now, true
	machine.recordLeaseBounds()
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: machine.config.Host, LeaseRemaining: resignationLag})
	machine.afterCommit(func() { machine.stopLeading(cause) })
}
