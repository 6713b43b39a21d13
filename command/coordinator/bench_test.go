package coordinator_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/coordinator"
)

const (
	// hostMemory is the memory budget of a host in bytes (docs/design.md 1.2); the coordinator may use half of it.
	hostMemory = 128 << 20
	// maxOutcomes is the number of outcomes that the machine keeps.
	maxOutcomes = 50_000
	// maxRequests is the capacity of the coordinator's ring; this number of requests in progress may use a
	// quarter of the memory budget.
	maxRequests = coordinator.RingCapacity
)

type discardReplier struct{}

func (discardReplier) Reply(almondcross.Outcome) {}

// singleHost is the coordinator machine of a host without peers; it counts the messages received and sent.
type singleHost struct {
	machine     *coordinator.Machine
	now         time.Time
	submissions int
	messages    int
}

func newSingleHost() *singleHost {
	now := time.Unix(1_000_000_000, 0)
	self := almondcross.NewMember(almondcross.MemberConfig{
		ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-1", Incarnation: 1}), DataCentre: "d0",
	})
	entry := almondcross.NewEntry(almondcross.EntryConfig{
		Name: "lookup", Owner: "counters", Class: almondcross.ClassBatch, Share: 1, Repeatable: true,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 100, MemoryMB: 100}), Timeout: time.Minute,
	})
	return &singleHost{now: now, machine: coordinator.NewMachine(coordinator.MachineConfig{
		Start: now, Catalogue: almondcross.NewCatalogueOf(1, []almondcross.Entry{entry}),
		View: almondcross.NewView(almondcross.ViewConfig{
			Self: self, ReadyAt: now, ValidUntil: now.Add(24 * time.Hour), JoinedWall: now.Add(-time.Hour),
		}),
	})}
}

func (singlehost *singleHost) apply(message almondcross.CoordinatorMessage) (tasks []almondcross.Task, replies int) {
	singlehost.messages++
	for _, effect := range singlehost.machine.Apply(message, singlehost.now) {
		switch effect := effect.(type) {
		case coordinator.NotifyPlacer:
			singlehost.messages++
			if place, ok := effect.Message.(almondcross.PlaceTask); ok {
				tasks = append(tasks, place.Task())
			}
		case coordinator.Reply:
			singlehost.messages++
			replies++
		}
	}
	return tasks, replies
}

// submit sends one request and returns its tasks.
func (singlehost *singleHost) submit() []almondcross.Task {
	singlehost.submissions++
	request := almondcross.NewRequest(almondcross.RequestConfig{
		Key:   almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "d0", Name: fmt.Sprintf("key-%d", singlehost.submissions)}),
		Entry: "lookup", Payload: []byte("4711"), IssuedAt: singlehost.now, Timeout: time.Minute,
	})
	tasks, _ := singlehost.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{Request: request, Replier: discardReplier{}}))
	return tasks
}

// runRequest processes one request until its task has ended and reports whether the caller got one reply.
func (singlehost *singleHost) runRequest() bool {
	tasks := singlehost.submit()
	if len(tasks) != 1 {
		return false
	}
	coordinatorID := tasks[0].Coordinator()
	singlehost.apply(almondcross.NewTaskStarted(almondcross.TaskStartedConfig{
		ID: tasks[0].ID(), Attempt: tasks[0].Attempt(), Holder: coordinatorID, Target: "worker-1",
	}))
	_, replies := singlehost.apply(almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Holder: coordinatorID, Target: "worker-1", Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
			ID: tasks[0].ID(), Attempt: tasks[0].Attempt(), Answer: []byte("100"), Ran: time.Millisecond,
		}),
	}))
	return replies == 1
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkRequest measures the cost of one request for several sizes of the key table.
func BenchmarkRequest(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before, host := heapBytes(), newSingleHost()
			for range keys {
				require.True(b, host.runRequest())
			}
			size := (heapBytes() - before) / float64(keys)
			host.messages = 0
			b.ReportAllocs()
			for b.Loop() {
				host.runRequest()
			}
			b.ReportMetric(size, "heap_bytes/key")
			b.ReportMetric(float64(host.messages)/float64(b.N), "messages/op")
		})
	}
}

// Guards against requests in progress that use more than a quarter of a node's memory budget.
func TestRequestsInProgressFitTheBudget(t *testing.T) {
	before, host := heapBytes(), newSingleHost()
	for range maxRequests {
		host.submit()
	}
	size := heapBytes() - before
	runtime.KeepAlive(host)
	t.Logf("%.0f bytes for a request in progress", size/maxRequests)
	require.LessOrEqual(t, size, float64(hostMemory/4))
}

// Guards against a table of ended keys that uses more than half of a node's memory budget.
func TestKeysFitTheBudget(t *testing.T) {
	const keys = 20_000
	before, host := heapBytes(), newSingleHost()
	for range keys {
		require.True(t, host.runRequest())
	}
	size := (heapBytes() - before) / keys
	runtime.KeepAlive(host)
	t.Logf("%.0f bytes for a key", size)
	require.LessOrEqual(t, size*maxOutcomes, float64(hostMemory/2))
}
