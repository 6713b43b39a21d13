package scheduler

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

func newJob(id almondcross.JobID, steps ...almondcross.StepConfig) almondcross.Job {
	config := almondcross.JobConfig{ID: id, Queue: "q"}
	for _, step := range steps {
		config.Steps = append(config.Steps, almondcross.NewStep(step))
	}
	return almondcross.NewJob(config)
}

func newBatch(epoch int64, changes ...almondcross.ChangeConfig) almondcross.JournalBatch {
	config := almondcross.JournalBatchConfig{Epoch: epoch, At: time.Unix(1767225600, 0)}
	for _, change := range changes {
		config.Changes = append(config.Changes, almondcross.NewChange(change))
	}
	return almondcross.NewJournalBatch(config)
}

func snapshotOf(next, epoch int64, stages ...almondcross.StageRecordConfig) almondcross.StateSnapshot {
	job := almondcross.JobRecordConfig{Job: newJob("j", almondcross.StepConfig{Count: 1}), State: almondcross.JobQueued, StartedOccurrences: len(stages)}
	for _, stage := range stages {
		job.Stages = append(job.Stages, almondcross.NewStageRecord(stage))
	}
	return almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{
		Next: next, Epoch: epoch, SchedulerEpoch: epoch, Jobs: []almondcross.JobRecord{almondcross.NewJobRecord(job)},
	})
}

// applyRecord decodes a value of each kind from a record and applies what can be decoded.
func applyRecord(codec encoder.Codec, record []byte) error {
	now := time.Unix(1767225600, 0)
	state := newState(time.Minute)
	state.admitJob(newJob("j", almondcross.StepConfig{Count: 2, Gang: true}), almondcross.QueueSettings{})
	batch, batchErr := codec.DecodeBatch(record)
	if batchErr == nil {
		state.applyBatch(batch, now)
	}
	var intakeErr error
	intakes, _ := codec.DecodeIntakes([][]byte{record}, func(_ int, err error) { intakeErr = err })
	for _, intake := range intakes {
		state.admitJob(intake.Job(), intake.Settings())
	}
	snapshot, found, _ := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: record})})
	if found {
		restored := restore(snapshot, time.Minute, now, nil)
		restored.applyBatch(newBatch(1, almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf("j", 0, 0), Run: 1}), now)
	}
	if batchErr == nil || intakeErr == nil || found {
		return nil
	}
	return encoder.ErrMalformed
}

// Guards against a record of another writer that ends the process of each host that reads it, or that it applies as far
// as it goes.
func TestRecordsThatNoSchedulerWritesAreMalformed(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	admit := func(steps ...almondcross.StepConfig) []byte {
		record, err := codec.EncodeBatch(newBatch(1, almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: newJob("new", steps...)}))
		require.NoError(t, err)
		return record
	}
	intake := func(steps ...almondcross.StepConfig) []byte {
		records, err := codec.EncodeIntake(almondcross.NewIntake(almondcross.IntakeConfig{Job: newJob("new", steps...)}))
		require.NoError(t, err)
		return records[0]
	}
	batch := func(epoch int64, changes ...almondcross.ChangeConfig) []byte {
		record, err := codec.EncodeBatch(newBatch(epoch, changes...))
		require.NoError(t, err)
		return record
	}
	snapshot := func(snapshot almondcross.StateSnapshot) []byte {
		parts, err := codec.EncodeSnapshot(snapshot, 1<<20)
		require.NoError(t, err)
		return parts[0]
	}
	negative, err := codec.EncodeSnapshot(almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{Jobs: []almondcross.JobRecord{
		almondcross.NewJobRecord(almondcross.JobRecordConfig{Job: newJob("j"), StartedOccurrences: math.MinInt64}),
	}}), 1<<20)
	require.NoError(t, err)
	one := make([]almondcross.TaskRecord, 1)
	require.NoError(t, applyRecord(codec, admit(almondcross.StepConfig{Count: 1})))
	require.NoError(t, applyRecord(codec, intake(almondcross.StepConfig{Count: 1})))
	require.NoError(t, applyRecord(codec, snapshot(snapshotOf(1, 1, almondcross.StageRecordConfig{Tasks: one}))))
	for name, record := range map[string][]byte{
		"empty": {}, "not CBOR": []byte(`{"epoch":1}`),
		"assigned task with a negative index": batch(1, almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf("j", 0, -1), Run: 1}),
		"ended task with a negative index":    batch(1, almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: taskOf("j", 0, -1)}),
		"negative number of tasks":            admit(almondcross.StepConfig{Count: -1}),
		"enormous number of tasks":            admit(almondcross.StepConfig{Count: 1}, almondcross.StepConfig{Count: math.MaxInt64}),
		"stored job with negative tasks":      intake(almondcross.StepConfig{Count: -1}),
		"step after itself":                   intake(almondcross.StepConfig{Count: 1, After: []int{0}}),
		"step after a step twice":             intake(almondcross.StepConfig{Count: 1}, almondcross.StepConfig{Count: 1, After: []int{0, 0}}),
		"negative number of occurrences":      negative[0],
		"negative epoch":                      batch(-1 << 12),
		"epoch beyond the fencing tokens":     batch(math.MaxInt64),
		"snapshot of a negative epoch":        snapshot(snapshotOf(1, -1<<12)),
		"snapshot of a negative offset":       snapshot(snapshotOf(-1, 1)),
		"snapshot with a negative step":       snapshot(snapshotOf(1, 1, almondcross.StageRecordConfig{Step: -1, Tasks: one})),
		"snapshot of unknown occurrences":     snapshot(snapshotOf(1, 1, almondcross.StageRecordConfig{Tasks: one}, almondcross.StageRecordConfig{Occurrence: 1, Tasks: one})),
		"admitted job without steps":          admit(),
		"stored job without steps":            intake(),
		"snapshot with an unknown task":       snapshot(snapshotOf(1, 1, almondcross.StageRecordConfig{Tasks: make([]almondcross.TaskRecord, 2)})),
	} {
		t.Run(name, func(t *testing.T) { require.Error(t, applyRecord(codec, record)) })
	}
}

// Guards against a snapshot that the store refuses, or that no host can decode, for as long as one large job is open: hosts
// that start meanwhile would lose the jobs whose records the journal no longer holds.
func TestLargeJobsAreDividedOverTheParts(t *testing.T) {
	const size = 64 << 10
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	state := newState(time.Minute)
	for _, id := range []almondcross.JobID{"a-small", "b-large", "c-large", "d-small"} {
		count := map[bool]int{true: 10_000, false: 1}[strings.HasSuffix(string(id), "large")]
		state.admitJob(newJob(id, almondcross.StepConfig{Count: count}), almondcross.QueueSettings{})
		for index := range count {
			state.apply(almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf(id, 0, index), Run: 1, Worker: workerID}))
		}
	}
	state.admitJob(almondcross.NewJob(almondcross.JobConfig{ID: "e-often", Runs: maxJobRuns, Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1})}}), almondcross.QueueSettings{})
	for range maxJobRuns {
		state.jobs["e-often"].startOccurrence()
	}
	before := state.snapshot(7, time.Unix(1767225600, 0))
	parts, err := codec.EncodeSnapshot(before, size)
	require.NoError(t, err)
	var records []almondcross.KeyedRecord
	for _, part := range parts {
		require.LessOrEqual(t, len(part), size)
		records = append(records, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: part}))
	}
	after, found, err := codec.DecodeSnapshot(records)
	require.NoError(t, err)
	require.True(t, found)
	restored := restore(after, time.Minute, time.Unix(1767225600, 0), nil)
	require.Len(t, restored.jobs, 5)
	require.Equal(t, 10_000, restored.jobs["c-large"].activeTasks)
	require.Len(t, restored.jobs["e-often"].stages, maxJobRuns)
}

// maxJobRuns is the maximum number of occurrences of a job with one step.
const maxJobRuns = 100_000

// Guards against a host that loads no state although the store holds a snapshot, because a newer record of another writer
// looks like a snapshot.
func TestOlderSnapshotReplacesAMalformedOne(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	record := func(snapshot almondcross.StateSnapshot) almondcross.KeyedRecord {
		parts, err := codec.EncodeSnapshot(snapshot, 1<<20)
		require.NoError(t, err)
		return almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: strconv.FormatInt(snapshot.Next(), 10), Value: parts[0]})
	}
	one := almondcross.StageRecordConfig{Tasks: make([]almondcross.TaskRecord, 1)}
	snapshot, found, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{
		record(snapshotOf(9, 1, almondcross.StageRecordConfig{Step: 4})), record(snapshotOf(5, 1, one)), record(snapshotOf(3, 1, one)),
	})
	require.ErrorIs(t, err, encoder.ErrMalformed)
	require.True(t, found)
	require.Equal(t, int64(5), snapshot.Next())
}

// Guards against an unreadable record of the journal that shifts the offsets of the batches after it, so that a follower
// leaves out one of them, and against counting such a record as a sign of life of the scheduler.
func TestUnreadableJournalRecordKeepsItsOffset(t *testing.T) {
	harness := newHarness(t)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	admit := func(id almondcross.JobID) almondcross.JournalBatch {
		return newBatch(5, almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: newJob(id, almondcross.StepConfig{Count: 1})})
	}
	harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{Batches: []almondcross.JournalBatch{{}, admit("a")}}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 3, End: 3, Batches: []almondcross.JournalBatch{{}, admit("a"), admit("b")}}))
	require.Contains(t, harness.machine.state.jobs, almondcross.JobID("b"))
	lastBatchAt := harness.machine.follower.lastBatchAt
	harness.advance(followerTick)
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 3, Next: 4, End: 4, Batches: make([]almondcross.JournalBatch, 1)}))
	require.Equal(t, int64(4), harness.machine.follower.nextOffset)
	require.Equal(t, lastBatchAt, harness.machine.follower.lastBatchAt)
}

// Guards against a record of another writer that makes a host panic when it decodes or applies the record.
func FuzzRecords(f *testing.F) {
	codec, err := encoder.NewCodec()
	require.NoError(f, err)
	batch, err := codec.EncodeBatch(newBatch(
		1, almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: newJob("new", almondcross.StepConfig{Count: 2})},
		almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf("j", 0, 1), Run: 1},
		almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: taskOf("j", 0, 1), Run: 1, End: almondcross.EndDone},
	))
	require.NoError(f, err)
	intake, err := codec.EncodeIntake(almondcross.NewIntake(almondcross.IntakeConfig{
		Job: newJob("new", almondcross.StepConfig{Count: 1}), Settings: settings(1, "q"),
	}))
	require.NoError(f, err)
	parts, err := codec.EncodeSnapshot(snapshotOf(1, 1, almondcross.StageRecordConfig{Tasks: make([]almondcross.TaskRecord, 1)}), 1<<20)
	require.NoError(f, err)
	f.Add(batch)
	f.Add(intake[0])
	f.Add(intake[1])
	f.Add(parts[0])
	f.Fuzz(func(_ *testing.T, record []byte) { _ = applyRecord(codec, record) })
}

// Guards against losing the runs of a worker whose entry another writer makes unreadable, against giving it new work, and
// against a worker that stays unlisted when its entry can be read again.
func TestWorkerWithUnreadableEntryIsUnlistedAndKeepsItsRuns(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommit()
	if _, found := harness.pendingCommit(); found {
		harness.answerCommit()
	}
	harness.answerStart()
	running := almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("j", 0, 0), Run: 1})
	listing := func(change almondcross.WorkerChangeConfig) {
		change.ID = workerID
		harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{almondcross.NewWorkerChange(change)}}))
	}
	listing(almondcross.WorkerChangeConfig{})
	harness.submitJob("k", almondcross.StepConfig{Count: 1})
	for range 20 {
		progress := almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: running.Task(), Run: 1, Progress: int(harness.now.Unix() % 90)})
		order := harness.answerLease(almondcross.WorkerReportConfig{Running: []almondcross.RunningTask{progress}})
		require.Positive(t, order.Until(), "the lease is extended")
		harness.advance(time.Second)
		if _, found := harness.pendingCommit(); found {
			harness.answerCommit()
		}
	}
	require.True(t, harness.machine.state.jobs["j"].stages[0].tasks.at(0).Active())
	require.False(t, harness.machine.state.jobs["k"].stages[0].tasks.at(0).Active())
	listing(almondcross.WorkerChangeConfig{Present: true, Worker: poolWorker})
	harness.advance(minPlacementInterval)
	require.True(t, harness.machine.state.jobs["k"].stages[0].tasks.at(0).Active())
}

// Guards against a worker whose reports fill the log and the queue of its orders with runs that nobody started.
func TestUnknownRunsOfAReportAreStoppedInParts(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	var running []almondcross.RunningTask
	for index := range 10_000 {
		running = append(running, almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("unknown", 0, index), Run: 1}))
	}
	harness.answerLease(almondcross.WorkerReportConfig{Running: running})
	stops := 0
	for _, found := takeEffect[SendStop](harness); found; _, found = takeEffect[SendStop](harness) {
		stops++
	}
	require.Equal(t, maxUnknownStops, stops)
}

// Guards against a message of another host that makes the scheduler, a standby or a viewer panic.
func FuzzLinkMessages(f *testing.F) {
	codec, err := encoder.NewCodec()
	require.NoError(f, err)
	query := almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{Stage: taskOf("j", 0, 0).Stage, Workers: []string{workerID}})
	job := newJob("new", almondcross.StepConfig{Count: 1, Gang: true})
	for _, message := range []almondcross.LinkMessage{
		almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: 1, Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: job})}),
		almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: job, Cancel: true})}),
		almondcross.NewJournalPushed(almondcross.JournalPushedConfig{Batches: []almondcross.JournalBatch{
			newBatch(1, almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: job}, almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerSilent, Worker: workerID}),
		}}),
		almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{Query: query, Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{
			Tickets: []almondcross.Ticket{almondcross.NewTicket(almondcross.TicketConfig{Worker: workerID, Secret: "t"})},
		})}),
		almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Changes: []almondcross.JobViewChange{
			almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "j", Known: true}), almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "k"}),
		}}),
		almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}),
		almondcross.NewPeersKnown(almondcross.PeersKnownConfig{Addresses: []string{"h-2:1"}}),
		almondcross.NewHostHello(almondcross.HostHelloConfig{
			Host: "h-2", Strength: 90, Address: "h-2:1", SchedulerEpoch: 8192, Ends: []almondcross.Change{almondcross.NewChange(almondcross.ChangeConfig{
				Kind: almondcross.ChangeEnd, Task: taskOf("j", 0, 0), Run: 1, Worker: workerID, End: almondcross.EndDone,
			})},
		}),
		almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{Answers: []almondcross.RelayedAnswer{
			almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{Number: 1, Result: almondcross.OrderDone, Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{
				ID: workerID, Incarnation: 1, Clock: time.Second,
				Running: []almondcross.RunningTask{almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("j", 0, 0), Run: 1})},
				Ended:   []almondcross.EndedTask{almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: taskOf("j", 0, 0), Run: 1, Kind: almondcross.EndFailed})},
			})}),
		}}),
	} {
		frame, err := codec.EncodeLink(message)
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, err := codec.DecodeLink(frame)
		if err != nil {
			return
		}
		leader, follower := newHarness(t), newHarness(t)
		leader.becomeScheduler()
		leader.submitJob("j", almondcross.StepConfig{Count: 1})
		follower.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
		follower.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
		for _, harness := range []*harness{leader, follower, newHarness(t)} {
			harness.receive(message)
			harness.advance(time.Second)
		}
	})
}

// receive applies a message that arrived over a link.
func (harness *harness) receive(message almondcross.LinkMessage) {
	switch message := message.(type) {
	case almondcross.OrdersAnswered:
		lease := almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{Kind: almondcross.OrderLease, Lease: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
			Worker: poolWorker, Fence: firstFence(harness.machine.state.schedulerEpoch),
		})})
		for _, answer := range message.Answers() {
			harness.apply(lease.Answer(answer, harness.now, harness.now))
		}
	case almondcross.HostHello:
		harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
			Host: message.Host(), Present: true, Strength: message.Strength(), Address: message.Address(),
			SchedulerEpoch: message.SchedulerEpoch(), Ends: message.Ends(),
		}))
	case almondcross.SchedulerMessage:
		harness.apply(message)
	}
}

// Guards against a scheduler that resigns again and again in favour of a host with a strength that no host can have.
func TestStrengthOfAHostIsBounded(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "h-2", Present: true, Strength: math.MaxInt}))
	for range 40 {
		harness.advance(100 * time.Millisecond)
		if _, found := harness.pendingCommit(); found {
			harness.answerCommit()
		}
	}
	require.True(t, harness.machine.Leads())
}
