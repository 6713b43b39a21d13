package limiter

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

type eventLog struct{ events []string }

func (eventlog *eventLog) Record(event string, _ ...almondcross.LogField) {
	eventlog.events = append(eventlog.events, event)
}

func newChanges() *ring.Ring[*Limiter] {
	return ring.New[*Limiter](ring.Config{Name: "limits", Capacity: 1})
}

// Guards against limits that leave the process or its calls no room, and against a server without connections.
func TestPlanLeavesRoomForTheProcess(t *testing.T) {
	for _, memoryMB := range []int64{32, 48, 64, 184, 256, 536, 1 << 20} {
		for _, descriptors := range []int{0, 256, 512, 4100, 8192, 1 << 24} {
			memory := memoryMB << 20
			plan := Plan(almondcross.NewHostCapacity(almondcross.HostCapacityConfig{MemoryBytes: memory, Descriptors: descriptors}))
			connections := plan.CallerConnections() + plan.LinkConnections() + 2*plan.CheckConnections()
			require.Positive(t, plan.BodyBytes())
			require.Positive(t, plan.HeaderBytes())
			require.Positive(t, plan.LinkBytes())
			require.GreaterOrEqual(t, plan.CallerConnections(), minCallers)
			clients := plan.BodyBytes() + plan.HeaderBytes() + plan.LinkBytes() + plan.StateBytes() + int64(plan.CallerConnections())*connectionBytes
			require.LessOrEqual(t, clients, memory-min(processBytes, memory/2))
			require.Positive(t, plan.StateBytes())
			require.Positive(t, plan.IntakeBytes())
			if descriptors >= 256 {
				require.LessOrEqual(t, connections, (descriptors-fileDescriptors)/clientFraction, "%d MB, %d descriptors", memoryMB, descriptors)
			}
		}
	}
}

// Guards against a limit that is exceeded, a large request that takes the part for small ones, and a legal request that is
// refused although no other client holds anything.
func TestLimitIsDividedAmongClients(t *testing.T) {
	share := share{limit: 100, small: 10, reserve: 25}
	for _, row := range []struct {
		used, held, more int64
		allowed          bool
	}{
		{0, 0, 1000, true}, // A client that is alone.
		{60, 60, 1000, true},
		{50, 0, 25, true},
		{50, 0, 26, false},
		{70, 8, 3, true},
		{75, 8, 3, false}, // It is no longer small.
		{90, 0, 10, true},
		{91, 0, 10, false},
	} {
		require.Equal(t, row.allowed, share.allows(row.used, row.held, row.more), row)
	}
}

// Guards against an amount that concurrent clients take beyond the limit, or that is not returned.
func TestConcurrentClientsStayWithinTheLimit(t *testing.T) {
	limiter := New(Config{Name: "test", Limit: 100, Small: 1, Changes: newChanges()})
	var group sync.WaitGroup
	exceeded := make(chan int64, 8)
	for range 8 {
		group.Go(func() {
			for range 2000 {
				if !limiter.Take(0, 30) {
					continue
				}
				if used := limiter.used.Load(); used > 100 {
					exceeded <- used
					return
				}
				limiter.Return(30)
			}
		})
	}
	group.Wait()
	require.Empty(t, exceeded)
	require.Zero(t, limiter.used.Load())
}

// Guards against a change of state that is not reported, and against lines for each request near the limit.
func TestChangesOfStateAreReportedOnce(t *testing.T) {
	changes, log := newChanges(), &eventLog{}
	limiter := New(Config{Name: "test", Limit: 8, Small: 1, Changes: changes})
	var states []bool
	watcher := NewWatcher(WatcherConfig{Changes: changes, Log: log, OnChange: func(_ string, reached bool) { states = append(states, reached) }})
	deliver := func() {
		for changes.Depth() > 0 {
			watcher.handle(context.Background(), <-changes.Messages())
		}
	}
	for range 8 {
		require.True(t, limiter.Take(0, 1))
		deliver()
	}
	for range 5 {
		require.False(t, limiter.Take(0, 1))
		limiter.Return(1)
		require.True(t, limiter.Take(0, 1))
		deliver()
	}
	limiter.Return(8)
	deliver()
	require.Equal(t, []string{"limit_reached", "limit_relaxed"}, log.events)
	require.Equal(t, []bool{true, false}, states)
}
