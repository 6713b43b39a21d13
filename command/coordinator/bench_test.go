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
	// budgetMemory is the memory of a node in docs/design.md 1.2; the coordinator may take half of it.
	budgetMemory = 128 << 20
	// mostKeys is the number of outcomes that the machine keeps.
	mostKeys = 50_000
	// mostWaiting is the capacity of the coordinator's ring; as many requests in progress may take a quarter.
	mostWaiting = coordinator.RingCapacity
)

type discard struct{}

func (discard) Reply(almondcross.Outcome) {}

// alone is a coordinator machine of a host without peers and the messages that it gets and sends.
type alone struct {
	machine  *coordinator.Machine
	now      time.Time
	next     int
	messages int
}

func newAlone() *alone {
	now := time.Unix(1_000_000_000, 0)
	self := almondcross.NewMember(almondcross.MemberConfig{
		ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-1", Incarnation: 1}), DataCentre: "d0",
	})
	entry := almondcross.NewEntry(almondcross.EntryConfig{
		Name: "lookup", Owner: "counters", Class: almondcross.ClassBatch, Share: 1, Repeatable: true,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 100, MemoryMB: 100}), Timeout: time.Minute,
	})
	return &alone{now: now, machine: coordinator.NewMachine(coordinator.MachineConfig{
		Start: now, Catalogue: almondcross.NewCatalogueOf(1, []almondcross.Entry{entry}),
		View: almondcross.NewView(almondcross.ViewConfig{
			Self: self, ReadyAt: now, ValidUntil: now.Add(24 * time.Hour), JoinedWall: now.Add(-time.Hour),
		}),
	})}
}

func (alone *alone) apply(message almondcross.CoordinatorMessage) (tasks []almondcross.Task, replies int) {
	alone.messages++
	for _, effect := range alone.machine.Apply(message, alone.now) {
		switch effect := effect.(type) {
		case coordinator.Place:
			alone.messages++
			if place, ok := effect.Message.(almondcross.PlaceTask); ok {
				tasks = append(tasks, place.Task())
			}
		case coordinator.Reply:
			alone.messages++
			replies++
		}
	}
	return tasks, replies
}

// submit sends one request and returns its tasks.
func (alone *alone) submit() []almondcross.Task {
	alone.next++
	request := almondcross.NewRequest(almondcross.RequestConfig{
		Key:   almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "d0", Name: fmt.Sprintf("key-%d", alone.next)}),
		Entry: "lookup", Payload: []byte("4711"), IssuedAt: alone.now, Timeout: time.Minute,
	})
	tasks, _ := alone.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{Request: request, Replier: discard{}}))
	return tasks
}

// request runs one request to its end and reports whether it was answered.
func (alone *alone) request() bool {
	tasks := alone.submit()
	if len(tasks) != 1 {
		return false
	}
	holder := tasks[0].Coordinator()
	alone.apply(almondcross.NewTaskStarted(almondcross.TaskStartedConfig{
		ID: tasks[0].ID(), Attempt: tasks[0].Attempt(), Holder: holder, Target: "worker-1",
	}))
	_, replies := alone.apply(almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Holder: holder, Target: "worker-1", Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
			ID: tasks[0].ID(), Attempt: tasks[0].Attempt(), Answer: []byte("100"), Ran: time.Millisecond,
		}),
	}))
	return replies == 1
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkRequest reports the cost of one request with a number of keys in the table.
func BenchmarkRequest(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before, cell := heap(), newAlone()
			for range keys {
				require.True(b, cell.request())
			}
			size := (heap() - before) / float64(keys)
			cell.messages = 0
			b.ReportAllocs()
			for b.Loop() {
				cell.request()
			}
			b.ReportMetric(size, "heap_bytes/key")
			b.ReportMetric(float64(cell.messages)/float64(b.N), "messages/op")
		})
	}
}

// Guards against requests in progress that outgrow their quarter of the memory of a node.
func TestRequestsInProgressFitTheBudget(t *testing.T) {
	before, cell := heap(), newAlone()
	for range mostWaiting {
		cell.submit()
	}
	size := heap() - before
	runtime.KeepAlive(cell)
	t.Logf("%.0f bytes for a request in progress", size/mostWaiting)
	require.LessOrEqual(t, size, float64(budgetMemory/4))
}

// Guards against a table of ended keys that outgrows its half of the memory of a node.
func TestKeysFitTheBudget(t *testing.T) {
	const keys = 20_000
	before, cell := heap(), newAlone()
	for range keys {
		require.True(t, cell.request())
	}
	size := (heap() - before) / keys
	runtime.KeepAlive(cell)
	t.Logf("%.0f bytes for a key", size)
	require.LessOrEqual(t, size*mostKeys, float64(budgetMemory/2))
}
