package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/orderer"
	"github.com/almondcross/almondcross/policy/picker"
	"github.com/almondcross/almondcross/policy/sharer"
	"github.com/almondcross/almondcross/query/jobfinder"
)

type noopRecorder struct{}

func (noopRecorder) Record(string, ...almondcross.LogField)  {}
func (noopRecorder) Elected()                                {}
func (noopRecorder) CommitRepeated()                         {}
func (noopRecorder) JobRepeated()                            {}
func (noopRecorder) Admitted(string)                         {}
func (noopRecorder) Finished(string, almondcross.JobState)   {}
func (noopRecorder) StartAnswered(almondcross.OrderResult)   {}
func (noopRecorder) StopSent(string)                         {}
func (noopRecorder) Ended(almondcross.EndKind)               {}
func (noopRecorder) Advised(string, int, int)                {}
func (noopRecorder) RoomRefused(string)                      {}
func (noopRecorder) StateHeld(int64, int64)                  {}
func (noopRecorder) StateTooLarge()                          {}
func (noopRecorder) Examined(int)                            {}
func (noopRecorder) FormatUnknown()                          {}
func (noopRecorder) Workspaces([]almondcross.WorkspaceUsage) {}
func (noopRecorder) WorkerPaced(bool)                        {}

// testingT is the common part of testing.T and rapid.T.
type testingT interface {
	require.TestingT
	Helper()
}

// harness drives one machine step by step and collects its effects.
type harness struct {
	t          testingT
	machine    *Machine
	now        time.Time
	effects    []Effect
	journalEnd int64 // journalEnd is the end of the journal.
	batches    []almondcross.JournalBatch
	standby    *harness // standby follows the journal of this harness, nil for none.
}

const (
	workerID    = "w-1"
	hostAddress = "10.0.0.9:1"
)

var poolWorker = almondcross.NewWorker(almondcross.WorkerConfig{
	ID: workerID, Pool: "pool", Address: "10.0.0.1:1", Rack: "r1-1",
	Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 4000, MemoryMB: 4000}),
})

func newHarness(t testingT) *harness {
	t.Helper()
	return newHarnessOf(t, "h-1")
}

// newHarnessOf returns the harness of a host with a name.
func newHarnessOf(t testingT, host string) *harness {
	t.Helper()
	harness := &harness{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	harness.machine = NewMachine(Config{
		Host: host, Address: hostAddress, Partitions: 1, Retention: time.Minute, MaxLease: 10 * time.Second, SnapshotInterval: time.Hour, RecordBytes: 256 << 10, BatchesPerAppend: 8,
		Strength: 100, Random: rand.New(rand.NewPCG(1, 1)), Publisher: jobfinder.New(), Picker: picker.BestFit{}, Order: orderer.BySlack{}, NewShares: func() almondcross.SharePolicy { return sharer.New() }, Log: noopRecorder{}, Metrics: noopRecorder{},
	})
	return harness
}

func (harness *harness) advance(after time.Duration) {
	harness.now = harness.now.Add(after)
	harness.effects = append(harness.effects, harness.machine.Advance(harness.now)...)
}

func (harness *harness) apply(message almondcross.SchedulerMessage) {
	harness.machine.Apply(message, harness.now)
	harness.advance(0)
}

// takeEffect removes and returns the first effect of a type.
func takeEffect[E Effect](harness *harness) (E, bool) {
	for index, effect := range harness.effects {
		if found, ok := effect.(E); ok {
			harness.effects = append(harness.effects[:index:index], harness.effects[index+1:]...)
			return found, true
		}
	}
	var none E
	return none, false
}

func requireEffect[E Effect](harness *harness) E {
	harness.t.Helper()
	found, ok := takeEffect[E](harness)
	require.True(harness.t, ok, "no %T among %d effects", found, len(harness.effects))
	return found
}

// answerCommit answers the pending append with success.
func (harness *harness) answerCommit() almondcross.JournalCommit {
	harness.t.Helper()
	harness.pendingCommit()
	request := requireEffect[Commit](harness).Request
	offset := harness.journalEnd
	harness.journalEnd += int64(len(request.Batches()))
	harness.batches = append(harness.batches, request.Batches()...)
	harness.standby.replicate(request.Batches(), harness.now)
	harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
		Commit: request, Appended: almondcross.NewStoreAppended(almondcross.StoreAppendedConfig{Offset: offset, End: harness.journalEnd}),
	}))
	return request
}

// awaitElection gives the machine an empty journal to follow and waits until it stands for election.
func (harness *harness) awaitElection() {
	harness.t.Helper()
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{}))
	for range 60 {
		if _, found := harness.pendingCommit(); found {
			return
		}
		harness.advance(20 * time.Millisecond)
		harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{}))
	}
	require.Fail(harness.t, "the machine did not stand for election")
}

// becomeScheduler elects the machine and announces a worker.
func (harness *harness) becomeScheduler() {
	harness.t.Helper()
	queue := almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool", MaxAttempts: 2})
	harness.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{
		Table: almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 1, Queues: []almondcross.Queue{queue}}),
	}))
	harness.awaitElection()
	require.True(harness.t, harness.answerCommit().Election())
	require.True(harness.t, harness.answerCommit().Election())
	require.True(harness.t, harness.machine.Leads())
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true, Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker}),
	}}))
	harness.answerLease(almondcross.WorkerReportConfig{})
}

// pendingCommit returns the pending append, or the next one sent after the pause between two appends.
func (harness *harness) pendingCommit() (Commit, bool) {
	for range 2 {
		for _, effect := range harness.effects {
			if commit, ok := effect.(Commit); ok {
				return commit, true
			}
		}
		harness.advance(minAppendInterval)
	}
	return Commit{}, false
}

// answerLease answers the pending lease order with a report, on the worker's clock unless the report has a time.
func (harness *harness) answerLease(config almondcross.WorkerReportConfig) almondcross.LeaseOrder {
	harness.t.Helper()
	order := requireEffect[SendLease](harness).Order
	sent := harness.now
	harness.advance(10 * time.Millisecond)
	config.ID, config.Incarnation = workerID, 1
	if config.Clock == 0 {
		config.Clock = harness.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	}
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderDone, Report: almondcross.NewWorkerReport(config), Sent: sent, Received: harness.now,
	}))
	return order
}

func (harness *harness) submitJob(id almondcross.JobID, steps ...almondcross.StepConfig) {
	config := almondcross.JobConfig{ID: id, Queue: "q", Payload: "p", Submitted: harness.now}
	for _, step := range steps {
		step.Resources = almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000, MemoryMB: 100})
		config.Steps = append(config.Steps, almondcross.NewStep(step))
	}
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
		Host: "h-2", Number: 1, Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: almondcross.NewJob(config)}),
	}))
	harness.advance(minPlacementInterval)
}

func taskOf(id almondcross.JobID, step, index int) almondcross.JobTask {
	return almondcross.JobTask{Stage: almondcross.StageID{Job: id, Step: step}, Index: index}
}

// answerStart answers a start order with success.
func (harness *harness) answerStart() almondcross.StartOrder {
	harness.t.Helper()
	order := requireEffect[SendStart](harness).Order
	harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Incarnation: order.Incarnation(), Result: almondcross.OrderDone, Received: harness.now}))
	return order
}
