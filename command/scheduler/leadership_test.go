package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// lostRunEndsAfter leaves the worker unanswered until the scheduler ends its run, and returns how long that took since a time.
func (harness *harness) lostRunEndsAfter(since time.Time) time.Duration {
	harness.t.Helper()
	for harness.recordedEnd() == "" && harness.now.Sub(since) < time.Minute {
		harness.dropLeaseAnswers(leaderTick)
	}
	return harness.now.Sub(since)
}

// requireOneLease requires that the run of a lost worker ended when a lease extended at a time had expired, and not later.
func requireOneLease(t *testing.T, waited time.Duration) {
	t.Helper()
	lease := leaseDuration*100/98 + lastOrderMargin // A worker's clock may be 2% slow.
	require.GreaterOrEqual(t, waited, lease)
	require.Less(t, waited, lease+2*sweepInterval)
}

// linkHost links a host that names an epoch as that of the scheduler.
func (harness *harness) linkHost(host, address string, epoch int64) {
	harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
		Host: host, Present: true, Address: address, SchedulerEpoch: epoch,
	}))
}

// Guards against a task that waits for 10 s when a worker leaves and the scheduler is stopped or replaced as planned: on days
// with nothing but planned changes, a gang stood still until the end of the day (LOST).
func TestLeasesAreCountedFromTheResignation(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.apply(almondcross.StopScheduling{})
	harness.answerCommits()
	require.False(t, harness.machine.Leads())
	resignedAt := harness.now
	requireOneLease(t, harness.electStandby().lostRunEndsAfter(resignedAt))
}

// Guards against the same wait behind two schedulers that resigned, on a host that loads the journal after them.
func TestLoadedJournalHasAllResignations(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.apply(almondcross.StopScheduling{})
	harness.answerCommits()
	harness = harness.electStandby()
	harness.apply(almondcross.StopScheduling{})
	harness.answerCommits()
	require.False(t, harness.machine.Leads())
	third := newHarnessOf(t, "h-3")
	third.now, third.journalEnd, third.batches = harness.now, harness.journalEnd, harness.batches
	third.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	third.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	third.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Batches: third.batches, Next: third.journalEnd, End: third.journalEnd}))
	loadedAt := third.now
	harness.standby = third
	harness.electStandby()
	requireOneLease(t, third.lostRunEndsAfter(loadedAt))
}

// Guards against runs that are presumed lost while their lease is valid: a scheduler of an earlier version extends leases until
// its resignation is acknowledged, and does not say for how long.
func TestResignationOfAnEarlierVersionBoundsNoLease(t *testing.T) {
	harness := newHarnessWithRun(t)
	lostAt := harness.now
	epoch := harness.machine.leader.epoch
	harness.standby.replicate([]almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{
		Epoch: epoch, At: harness.now, Changes: []almondcross.Change{
			almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: "h-1"}),
		},
	})}, harness.now)
	require.GreaterOrEqual(t, harness.electStandby().lostRunEndsAfter(lostAt), leadershipTimeout+leaseDuration)
}

// Guards against leases that a resigned scheduler extends while the answer to its last append is awaited, and against starts
// that extend them: its successor counts the leases from the resignation.
func TestResignedSchedulerExtendsNoLease(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.submitJob("k", almondcross.StepConfig{Count: 1})
	harness.apply(almondcross.StopScheduling{})
	harness.answerCommit() // The next append has the assignment and the resignation.
	require.False(t, harness.machine.leader.resignedAt.IsZero())
	running := almondcross.WorkerReportConfig{Running: []almondcross.RunningTask{
		almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("j", 0, 0), Run: 1}),
	}}
	harness.answerLease(running)
	require.Zero(t, requireEffect[SendLease](harness).Order.Until())
	harness.answerCommits()
	_, started := takeEffect[SendStart](harness)
	require.False(t, started)
}

// Guards against leases that expire while the store is down: a scheduler that is stopped resigns only between two appends, and
// extends leases until then.
func TestSchedulerDoesNotResignWhileAnAppendIsUnanswered(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.submitJob("k", almondcross.StepConfig{Count: 1})
	_, pending := harness.pendingCommit()
	require.True(t, pending)
	harness.apply(almondcross.StopScheduling{})
	harness.advance(time.Second)
	require.True(t, harness.machine.leader.resignedAt.IsZero())
	harness.answerLease(almondcross.WorkerReportConfig{})
	require.Positive(t, requireEffect[SendLease](harness).Order.Until())
	harness.answerCommits()
	require.False(t, harness.machine.Leads())
}

// Guards against a wait of 10 s for a worker that was lost together with the scheduler, when the former scheduler's host has
// linked to the new one: its process is no longer the scheduler. Only a link to a scheduler of a later epoch shows that.
func TestLeasesAreCountedFromTheLinkOfTheFormerScheduler(t *testing.T) {
	for name, test := range map[string]struct {
		host, address string
		epoch         func(former, current int64) int64
		ended         bool
	}{
		"linked to this scheduler":     {"h-1", hostAddress, func(_, current int64) int64 { return current }, true},
		"linked before it led":         {"h-1", hostAddress, func(former, _ int64) int64 { return former }, false},
		"of an earlier version":        {"h-1", hostAddress, func(int64, int64) int64 { return 0 }, false},
		"replaced at another address":  {"h-1", "10.0.0.8:1", func(_, current int64) int64 { return current }, false},
		"another host at this address": {"h-9", hostAddress, func(_, current int64) int64 { return current }, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWithRun(t)
			former, lostAt := harness.machine.leader.epoch, harness.now
			harness = harness.electStandby()
			linkedAt := harness.now
			harness.linkHost(test.host, test.address, test.epoch(former, harness.machine.leader.epoch))
			if test.ended {
				requireOneLease(t, harness.lostRunEndsAfter(linkedAt))
			} else {
				require.GreaterOrEqual(t, harness.lostRunEndsAfter(lostAt), leadershipTimeout+leaseDuration)
			}
		})
	}
}

// Guards against a host that treats the schedulers before its snapshot as ended: they may extend leases for leadershipTimeout,
// unless a scheduler has recorded an earlier end.
func TestSnapshotHasNoEarlierLeaderships(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := newState(time.Minute)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 4096, At: now, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1", Address: hostAddress}),
	}}), now)
	later := now.Add(time.Minute)
	restored := restore(state.snapshot(1, later), time.Minute, later, nil)
	require.Equal(t, later.Add(leadershipTimeout), restored.earlierLeadershipsEnd(4096))
	restored.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 4096, At: later, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeLeadershipsEnded, LeaseRemaining: time.Second}),
	}}), later)
	require.Equal(t, later.Add(time.Second), restored.earlierLeadershipsEnd(4096))
	require.Equal(t, later.Add(leadershipTimeout), restored.earlierLeadershipsEnd(8192), "the scheduler itself goes on")
}

// Guards against batches behind a resignation that count as a sign that the scheduler still extends leases: its last append may
// have several.
func TestBatchesBehindAResignationExtendNoLeadership(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := newState(time.Minute)
	apply := func(at time.Time, changes ...almondcross.ChangeConfig) {
		batch := almondcross.JournalBatchConfig{Epoch: 4096, At: at}
		for _, change := range changes {
			batch.Changes = append(batch.Changes, almondcross.NewChange(change))
		}
		state.applyBatch(almondcross.NewJournalBatch(batch), at)
	}
	apply(now, almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1", Address: hostAddress})
	apply(now, almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: "h-1", LeaseRemaining: resignationLag})
	apply(now.Add(time.Second))
	require.Equal(t, now.Add(resignationLag), state.earlierLeadershipsEnd(8192))
}

// Guards against runs that a scheduler presumes lost as soon as it is elected after a long outage: their leases have expired,
// but their workers may still report how they ended.
func TestNewSchedulerTriesToReachWorkersAfterAnOutage(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.standby.advance(time.Minute)
	harness = harness.electStandby()
	require.GreaterOrEqual(t, harness.lostRunEndsAfter(harness.machine.leader.electedAt), firstContactTimeout)
}

// Guards against a snapshot behind which no record states when the earlier schedulers cease to extend leases.
func TestSchedulerRecordsEarlierLeadershipsBehindASnapshot(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.SnapshotInterval = 0
	harness.becomeScheduler()
	harness.advance(snapshotDelay)
	harness.answerCommits()
	harness.advance(heartbeatInterval)
	harness.answerCommits()
	var kinds []almondcross.ChangeKind
	for _, batch := range harness.batches {
		for _, change := range batch.Changes() {
			kinds = append(kinds, change.Kind())
		}
	}
	require.Contains(t, kinds, almondcross.ChangeLeadershipsEnded)
}

// Guards against a weak scheduler that does not hand over for seconds, because it resigns only between two appends and one
// follows the other: its sweep, ten times a second, seldom came between two.
func TestWeakSchedulerWithConstantAppendsHandsOver(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.Strength = 40
	harness.becomeScheduler()
	harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "h-2", Present: true, Strength: 100, Address: "h-2:1"}))
	const appendTime = 3 // ticks
	for tick := 0; harness.machine.Leads() && tick < int((handoverDelay+500*time.Millisecond)/leaderTick); tick++ {
		harness.machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerListed, Worker: "w-2"})
		harness.advance(leaderTick)
		if tick%appendTime == 0 {
			harness.answerCommit()
		}
	}
	require.False(t, harness.machine.Leads())
}

// Guards against a run that is started on another worker while its own, which is cut off, still works on it (TWICE): the worker
// had restarted and got a lease order whose end is a time on the clock of its previous incarnation, which it shortens to the
// longest lease. Only the scheduler that resigned has seen the restart.
func TestSuccessorOfResignedSchedulerWaitsForTheLeaseOfARestartedWorker(t *testing.T) {
	harness := newHarnessWithRun(t)
	incarnation := harness.now.UnixMilli() + 1
	harness.answerLeaseAs(incarnation)
	leaseEndsAt := harness.now.Add(harness.machine.config.MaxLease) // The worker carried out the last order just before its report.
	harness.announceLife(incarnation)
	harness.answerLeaseAs(incarnation)
	harness.answerCommits()
	restarted := harness.answerStart()
	require.Equal(t, 2, restarted.Run())
	require.False(t, harness.machine.leaseExpiredAt(harness.machine.leader.workers[workerID]).Before(leaseEndsAt), "the scheduler itself knows")
	harness.apply(almondcross.StopScheduling{})
	harness.answerCommits()
	require.False(t, harness.machine.Leads())
	harness = harness.electStandby()
	for harness.machine.state.jobs["j"].stages[0].tasks.at(0).Active() && harness.now.Before(leaseEndsAt.Add(time.Minute)) {
		harness.dropLeaseAnswers(leaderTick)
	}
	require.False(t, harness.now.Before(leaseEndsAt), "%s before the end of the lease", leaseEndsAt.Sub(harness.now))
}

// Guards against a wait of 10 s for a worker that was lost together with the scheduler, when the former scheduler's host links
// to the new one only after the silence of the worker was recorded: a process that restarts takes about two seconds.
func TestLinkOfTheFormerSchedulerCountsAfterTheSilenceIsRecorded(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness = harness.electStandby()
	harness.dropLeaseAnswers(maxExtensionAge + 2*sweepInterval)
	require.Contains(t, harness.machine.state.silentWorkers, workerID)
	linkedAt := harness.now
	harness.linkHost("h-1", hostAddress, harness.machine.leader.epoch)
	requireOneLease(t, harness.lostRunEndsAfter(linkedAt))
}

// Guards against a scheduler that was elected in a gap of the journal and is treated as ended 5 s after the gap, however long it
// continues: its batches renew no leadership that this host knows.
func TestSchedulerElectedInAGapExtendsLeases(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := newState(time.Minute)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 4096, At: now, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1", Address: hostAddress}),
	}}), now)
	state.restoreLeaderships(now)
	state.electionsMissed = true // The election of epoch 8192 is in the gap.
	later := now.Add(time.Minute)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 8192, At: later}), later)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 12288, At: later, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-3", Address: hostAddress}),
	}}), later)
	require.False(t, state.earlierLeadershipsEnd(12288).Before(later.Add(leadershipTimeout)))
}

// Guards against runs that are presumed lost while their lease is valid: the answer to an append was lost, and its repeat got the
// first answer again. The scheduler counts its leadership from the repeat, which its successor has not seen.
func TestLeadershipIsNotProlongedByARepeatedAppend(t *testing.T) {
	for name, outage := range map[string]time.Duration{"two lost answers": 900 * time.Millisecond, "outage of the store": 9 * time.Second} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWithRun(t)
			harness.advance(heartbeatInterval)
			harness.pendingCommit()
			request := requireEffect[Commit](harness).Request
			offset := harness.journalEnd
			harness.journalEnd += int64(len(request.Batches()))
			harness.batches = append(harness.batches, request.Batches()...)
			harness.standby.replicate(request.Batches(), harness.now)
			harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{Commit: request, Err: almondcross.ErrStoreRefused}))
			harness.standby.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: harness.journalEnd, Err: almondcross.ErrStoreRefused}))
			harness.advance(outage)
			harness.standby.advance(outage)
			repeated := requireEffect[Commit](harness).Request
			require.Equal(t, request.Sequence(), repeated.Sequence())
			harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
				Commit: repeated, Appended: almondcross.NewStoreAppended(almondcross.StoreAppendedConfig{Offset: offset, End: harness.journalEnd}),
			}))
			if inflight := harness.machine.leader.inflight; inflight != nil {
				require.Greater(t, inflight.commit.Sequence(), request.Sequence(), "the next append is under way")
			}
			mayExtendUntil := harness.machine.leader.lastCommitAt.Add(leadershipTimeout)
			successor := harness.electStandby()
			presumedAt := successor.machine.earlierLeasesExpiredAt()
			require.False(t, presumedAt.Before(mayExtendUntil.Add(leaseDuration)), "presumed lost %s before the end of the last lease", mayExtendUntil.Add(leaseDuration).Sub(presumedAt))
		})
	}
}

// Guards against runs that are presumed lost while their lease is valid (TWICE): the leadership of a scheduler that has led for
// long, and was lost without a resignation, counted from its election.
func TestEachBatchExtendsTheLeadership(t *testing.T) {
	harness := newHarnessWithRun(t)
	for range 100 {
		harness.advance(heartbeatInterval)
		harness.answerCommits()
	}
	lostAt := harness.now
	successor := harness.electStandby()
	require.GreaterOrEqual(t, successor.lostRunEndsAfter(lostAt), leadershipTimeout+leaseDuration)
}

// Guards against a wait for the lease from the election instead of from the last batch of the scheduler: an election writes its
// epoch before it ends that of the scheduler, and may fail after that.
func TestFailedElectionProlongsNoLeadership(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := newState(time.Minute)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 4096, At: now, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1", Address: hostAddress}),
	}}), now)
	later := now.Add(time.Second)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 8192, At: later}), later)
	require.Equal(t, now.Add(leadershipTimeout), state.earlierLeadershipsEnd(12288))
}

// Guards against runs that are presumed lost while their lease is valid (TWICE): the resignation of a scheduler says nothing of
// the one before it, which was lost and may go on.
func TestResignationEndsNoEarlierLeadership(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := newState(time.Minute)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 4096, At: now, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1", Address: hostAddress}),
	}}), now)
	later := now.Add(time.Second)
	state.applyBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 8192, At: later, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-2", Address: hostAddress}),
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: "h-2", LeaseRemaining: resignationLag}),
	}}), later)
	require.Equal(t, now.Add(leadershipTimeout), state.earlierLeadershipsEnd(12288))
}

// Guards against runs that are presumed lost while their lease is valid (TWICE): a host that continues without a part of the
// journal knows nothing of the schedulers in it.
func TestSchedulersInAGapAreAssumedToExtendLeases(t *testing.T) {
	harness, store, events := newGapHarness(t)
	for events.count("state_lost") == 0 && harness.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)) < 2*stateLossTimeout {
		store.serve(harness, followerTick)
	}
	require.Equal(t, 1, events.count("state_lost"))
	require.Equal(t, harness.now.Add(leadershipTimeout), harness.machine.state.earlierLeadershipsEnd(almondcross.MaxEpoch))
}

// Guards against a wait of 10 s behind a scheduler that was lost and whose host is elected again: the process that led has ended.
func TestHostThatIsElectedAgainEndsItsEarlierLeadership(t *testing.T) {
	harness := newHarnessWithRun(t)
	restarted := newHarnessOf(t, "h-1")
	restarted.now, restarted.journalEnd, restarted.batches = harness.now, harness.journalEnd, harness.batches
	restarted.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	restarted.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	restarted.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Batches: restarted.batches, Next: restarted.journalEnd, End: restarted.journalEnd}))
	harness.standby = restarted
	harness.electStandby()
	electedAt := restarted.now
	requireOneLease(t, restarted.lostRunEndsAfter(electedAt))
}

// Guards against leases that expire while the store is down: a scheduler whose fencing tokens are used up resigned while an append
// was unanswered.
func TestSchedulerWithoutTokensDoesNotResignWhileAnAppendIsUnanswered(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.submitJob("k", almondcross.StepConfig{Count: 1})
	_, pending := harness.pendingCommit()
	require.True(t, pending)
	worker := harness.machine.leader.workers[workerID]
	worker.fence = lastFence(harness.machine.leader.epoch)
	worker.reportedFence, worker.unansweredFence = worker.fence, worker.fence
	harness.answerLease(almondcross.WorkerReportConfig{Running: []almondcross.RunningTask{
		almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("j", 0, 0), Run: 1}),
	}})
	require.Positive(t, requireEffect[SendLease](harness).Order.Until())
}

// loadAfter elects a host that loads the journal a minute later, and returns its harness and the time at which it loaded.
func (harness *harness) loadAfter() (*harness, time.Time) {
	harness.t.Helper()
	loaded := newHarnessOf(harness.t, "h-9")
	loaded.now, loaded.journalEnd, loaded.batches = harness.now.Add(time.Minute), harness.journalEnd, harness.batches
	loaded.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	loaded.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	loaded.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Batches: loaded.batches, Next: loaded.journalEnd, End: loaded.journalEnd}))
	loadedAt := loaded.now
	harness.standby = loaded
	harness.electStandby()
	return loaded, loadedAt
}

// Guards against a wait of 10 s, counted from when a host loads the state (LOST): a scheduler was deposed without a resignation, and
// only the one after it knows that it extends no more leases.
func TestLoadedJournalHasTheEndOfADeposedScheduler(t *testing.T) {
	second := newHarnessWithRun(t).electStandby()
	second.linkHost("h-1", hostAddress, second.machine.leader.epoch)
	second.apply(almondcross.StopScheduling{})
	second.answerCommits()
	require.False(t, second.machine.Leads())
	loaded, loadedAt := second.loadAfter()
	requireOneLease(t, loaded.lostRunEndsAfter(loadedAt))
}

// Guards against the same wait if the scheduler that knew it was lost itself, without a resignation.
func TestSchedulerRecordsThatTheEarlierLeadershipsHaveEnded(t *testing.T) {
	second := newHarnessWithRun(t).electStandby()
	epoch := second.machine.leader.epoch
	running := almondcross.WorkerReportConfig{Running: []almondcross.RunningTask{
		almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("j", 0, 0), Run: 1}),
	}}
	for until := second.now.Add(leadershipTimeout + heartbeatInterval); second.now.Before(until); second.answerCommits() {
		second.answerLease(running)
		second.advance(sweepInterval)
	}
	loaded, loadedAt := second.loadAfter()
	require.False(t, loaded.machine.state.earlierLeadershipsEnd(epoch).After(loadedAt))
}
