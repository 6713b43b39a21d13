package relayer_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/relayer"
	"github.com/almondcross/almondcross/policy/delegator"
	"github.com/almondcross/almondcross/ring"
)

const (
	dataCentre  = "a"
	workerCount = 20
)

// cell holds a relayer whose links and direct calls are recorded instead of carried out.
type cell struct {
	t       *testing.T
	relayer *relayer.Relayer
	inbox   *ring.Ring[almondcross.RelayMessage]
	answers *ring.Ring[almondcross.SchedulerMessage]
	relayed map[int64]almondcross.RelayedOrder // relayed holds the orders passed to hosts, by number.
	hostOf  map[int64]string
	sentTo  []string // sentTo holds the host of each message in the order in which they were sent.
	direct  int
	refuse  bool // refuse is set while the links take no messages.
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

func (cell *cell) SendOrders(host string, relayed almondcross.OrdersRelayed) bool {
	if cell.refuse {
		return false
	}
	cell.sentTo = append(cell.sentTo, host)
	for _, order := range relayed.Orders() {
		cell.relayed[order.Number()], cell.hostOf[order.Number()] = order, host
	}
	return true
}

func (cell *cell) Manage(almondcross.Worker) {}
func (cell *cell) Release(string)            {}
func (cell *cell) Retire(string)             {}

func (cell *cell) Lease(almondcross.LeaseOrder, time.Duration) bool {
	cell.direct++
	return true
}

func (cell *cell) Start(almondcross.StartOrder) bool {
	cell.direct++
	return true
}

func (cell *cell) Stop(almondcross.StopOrder) bool {
	cell.direct++
	return true
}

func (*cell) Record(string, ...almondcross.LogField) {}
func (*cell) Relayed(int)                            {}
func (*cell) SentDirectly()                          {}
func (*cell) RelayFailed(int)                        {}

// newCell returns a cell whose relayer is not running.
func newCell(t *testing.T, maxDirectWorkers int) *cell {
	t.Helper()
	cell := &cell{
		t: t, inbox: ring.New[almondcross.RelayMessage](ring.Config{Name: "relayed", Capacity: 1024}),
		answers: ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1024}),
		relayed: map[int64]almondcross.RelayedOrder{}, hostOf: map[int64]string{},
	}
	cell.relayer = relayer.New(relayer.Config{
		Ring: cell.inbox, Direct: cell, Links: cell, Chooser: delegator.ByDataCentre{}, Sink: cell.answers, Clock: clock{}, Log: cell,
		Metrics: cell, MaxDirectWorkers: maxDirectWorkers,
	})
	return cell
}

// run runs a test in virtual time with two linked hosts.
func run(t *testing.T, maxDirectWorkers int, test func(cell *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cell := newCell(t, maxDirectWorkers)
		go func() { _ = cell.relayer.Run(ctx) }()
		for index := range 2 {
			cell.setLinked(fmt.Sprintf("h-%d", index), true)
		}
		test(cell)
		cancel()
	})
}

func (cell *cell) setLinked(host string, present bool) {
	require.True(cell.t, cell.inbox.Offer(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
		Host: host, Present: present, Strength: 100, DataCentre: dataCentre,
	})))
	synctest.Wait()
}

// startAll sends a start order to each worker and returns the numbers of the orders that were relayed.
func (cell *cell) startAll() []int64 {
	cell.relayed, cell.hostOf, cell.direct = map[int64]almondcross.RelayedOrder{}, map[int64]string{}, 0
	for index := range workerCount {
		worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: fmt.Sprintf("w-%d", index), Zone: dataCentre})
		require.True(cell.t, cell.relayer.Start(almondcross.NewStartOrder(almondcross.StartOrderConfig{Worker: worker, Run: index + 1})))
	}
	synctest.Wait()
	var numbers []int64
	for number := range cell.relayed {
		numbers = append(numbers, number)
	}
	return numbers
}

func (cell *cell) answer(host string, number int64) {
	require.True(cell.t, cell.inbox.Offer(almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{
		Host: host, Answers: []almondcross.RelayedAnswer{almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{
			Number: number, Result: almondcross.OrderDone,
		})},
	})))
	synctest.Wait()
}

// takeAnswers returns how many orders were answered to the scheduler with each result.
func (cell *cell) takeAnswers() map[almondcross.OrderResult]int {
	results := map[almondcross.OrderResult]int{}
	for cell.answers.Depth() > 0 {
		answered, ok := (<-cell.answers.Messages()).(almondcross.StartOrderAnswered)
		require.True(cell.t, ok)
		results[answered.Result()]++
	}
	return results
}

// Guards against the detour through other hosts in a cell that the scheduler's host can serve by itself.
func TestSmallCellIsOrderedDirectly(t *testing.T) {
	run(t, workerCount, func(cell *cell) {
		require.Empty(t, cell.startAll())
		require.Equal(t, workerCount, cell.direct)
	})
}

// Guards against an outcome that reaches the scheduler for another order than its own, twice, or from another host than
// the one that got the order.
func TestOutcomesReachTheSchedulerOnce(t *testing.T) {
	run(t, 1, func(cell *cell) {
		numbers := cell.startAll()
		require.Len(t, numbers, workerCount-1, "the first worker alone is few enough for the scheduler's host")
		number := numbers[0]
		other := map[string]string{"h-0": "h-1", "h-1": "h-0"}[cell.hostOf[number]]
		cell.answer(other, number)
		require.Empty(t, cell.takeAnswers())
		cell.answer(cell.hostOf[number], number)
		answered, ok := (<-cell.answers.Messages()).(almondcross.StartOrderAnswered)
		require.True(t, ok)
		require.Equal(t, almondcross.OrderDone, answered.Result())
		require.Equal(t, cell.relayed[number].Start().Run(), answered.Order().Run())
		cell.answer(cell.hostOf[number], number)
		require.Empty(t, cell.takeAnswers())
	})
}

// Guards against orders that stay without an outcome, and workers without orders, when the host that relays is lost.
func TestOrdersOfALostHostAreUnknownAndMoveToTheOther(t *testing.T) {
	run(t, 1, func(cell *cell) {
		lost := 0
		for _, number := range cell.startAll() {
			if cell.hostOf[number] == "h-1" {
				lost++
			}
		}
		require.Positive(t, lost)
		cell.setLinked("h-1", false)
		require.Equal(t, map[almondcross.OrderResult]int{almondcross.OrderUnknown: lost}, cell.takeAnswers())
		for _, number := range cell.startAll() {
			require.Equal(t, "h-0", cell.hostOf[number])
		}
		cell.setLinked("h-0", false)
		require.Empty(t, cell.startAll())
		require.Equal(t, workerCount, cell.direct)
	})
}

// Guards against a scheduler that calls all workers of a large cell at once while no host is linked, for instance right
// after its election: with 3,000 workers it was silent for so long that the next host was elected, which did the same.
// It also guards against one without other hosts that never calls some workers.
func TestWorkersAreCalledDirectlyBitByBitWhileNoHostIsLinked(t *testing.T) {
	const workers, startsPerSecond = 540, 200
	run(t, 1, func(cell *cell) {
		cell.setLinked("h-0", false)
		cell.setLinked("h-1", false)
		for second := 1; second <= 3; second++ {
			cell.direct = 0
			for index := range workers {
				worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: fmt.Sprintf("w-%d", index), Zone: dataCentre})
				require.True(t, cell.relayer.Start(almondcross.NewStartOrder(almondcross.StartOrderConfig{Worker: worker})))
			}
			synctest.Wait()
			called := min(workers, second*startsPerSecond)
			require.Equal(t, called, cell.direct)
			require.Equal(t, workers-called, cell.takeAnswers()[almondcross.OrderNotSent])
			<-time.After(time.Second)
		}
		cell.setLinked("h-0", true)
		require.Len(t, cell.startAll(), workerCount)
		require.Zero(t, cell.direct)
	})
}

// Guards against a scheduler that spins: it repeats a lease order as soon as it is told that it was not sent, so with
// 2,800 workers that could not be called yet it did nothing else.
func TestLeaseOrdersAreHeldUntilTheyCanBeSent(t *testing.T) {
	const workers, startsPerSecond = 540, 200
	run(t, 1, func(cell *cell) {
		cell.setLinked("h-0", false)
		cell.setLinked("h-1", false)
		for index := range workers {
			worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: fmt.Sprintf("w-%d", index), Zone: dataCentre})
			require.True(t, cell.relayer.Lease(almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Worker: worker}), 0))
		}
		synctest.Wait()
		require.Equal(t, startsPerSecond, cell.direct)
		require.Zero(t, cell.answers.Depth(), "nothing is answered before its time")
		<-time.After(500 * time.Millisecond)
		cell.setLinked("h-0", true)
		<-time.After(100 * time.Millisecond)
		synctest.Wait()
		require.Len(t, cell.relayed, workers-startsPerSecond, "the held orders go through the host that has linked")
	})
	run(t, 1, func(cell *cell) {
		cell.setLinked("h-0", false)
		cell.setLinked("h-1", false)
		for index := range 3 * startsPerSecond {
			worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: fmt.Sprintf("w-%d", index), Zone: dataCentre})
			require.True(t, cell.relayer.Lease(almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Worker: worker}), 0))
		}
		<-time.After(2 * time.Second)
		synctest.Wait()
		require.Equal(t, 2*startsPerSecond, cell.direct)
		require.Equal(t, startsPerSecond, cell.answers.Depth(), "the others count as not sent after a second")
	})
}

// Guards against workers that are cut off by a host that is frozen while its link stays open.
func TestSilentHostGetsNoOrdersUntilItAnswers(t *testing.T) {
	run(t, 1, func(cell *cell) {
		numbers := cell.startAll()
		var silent []int64
		for _, number := range numbers {
			if cell.hostOf[number] == "h-1" {
				silent = append(silent, number)
			} else {
				cell.answer("h-0", number)
			}
		}
		cell.takeAnswers()
		<-time.After(1200 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, map[almondcross.OrderResult]int{almondcross.OrderUnknown: len(silent)}, cell.takeAnswers())
		for _, number := range cell.startAll() {
			require.Equal(t, "h-0", cell.hostOf[number])
		}
		cell.answer("h-1", silent[0])
		require.Empty(t, cell.takeAnswers(), "the order was reported as unknown before")
		hosts := map[string]int{}
		for _, number := range cell.startAll() {
			hosts[cell.hostOf[number]]++
		}
		require.Len(t, hosts, 2)
	})
}

// Guards against orders that are lost because the link to a host is congested.
func TestOrdersThatALinkDoesNotTakeGoDirectly(t *testing.T) {
	run(t, 1, func(cell *cell) {
		cell.refuse = true
		require.Empty(t, cell.startAll())
		require.Equal(t, workerCount, cell.direct)
	})
}

// runsAt returns the runs of the orders that each of some hosts got, in the order of their numbers.
func (cell *cell) runsAt(hosts ...string) []int {
	var runs []int
	for _, host := range hosts {
		for _, number := range slices.Sorted(maps.Keys(cell.hostOf)) {
			if cell.hostOf[number] == host {
				runs = append(runs, cell.relayed[number].Start().Run())
			}
		}
	}
	return runs
}

// answeredRuns returns the runs of the orders that were answered to the scheduler, in the order of the answers.
func (cell *cell) answeredRuns() []int {
	var runs []int
	for cell.answers.Depth() > 0 {
		answered, ok := (<-cell.answers.Messages()).(almondcross.StartOrderAnswered)
		require.True(cell.t, ok)
		runs = append(runs, answered.Order().Run())
	}
	return runs
}

// Guards against outcomes that reach the scheduler in the order of a map, so that it decides otherwise on the same events in
// each process: those of a lost host, those of hosts that fall silent together, and those of orders that wait for too long.
func TestOrdersWithoutAnAnswerAreUnknownInTheirOrder(t *testing.T) {
	run(t, 1, func(cell *cell) {
		cell.startAll()
		expected := cell.runsAt("h-1")
		cell.setLinked("h-1", false)
		require.Equal(t, expected, cell.answeredRuns())
	})
	for range 5 { // Two hosts are in the right order in half of the cases.
		run(t, 1, func(cell *cell) {
			cell.startAll()
			expected := cell.runsAt("h-0", "h-1")
			<-time.After(1200 * time.Millisecond)
			synctest.Wait()
			require.Equal(t, expected, cell.answeredRuns())
		})
	}
	run(t, 1, func(cell *cell) {
		cell.startAll()
		var expected []int
		for _, number := range slices.Sorted(maps.Keys(cell.relayed)) {
			expected = append(expected, cell.relayed[number].Start().Run())
		}
		for range 12 {
			cell.answer("h-0", 0) // An answer to no order shows that the host is not silent.
			cell.answer("h-1", 0)
			<-time.After(500 * time.Millisecond)
		}
		synctest.Wait()
		require.Equal(t, expected, cell.answeredRuns())
	})
}

// Guards against messages to hosts, and numbers of orders, that follow the order of a map.
func TestMessagesAreSentInTheOrderOfTheirFirstOrders(t *testing.T) {
	for range 5 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			cell := newCell(t, 0)
			hosts := []almondcross.RelayHost{}
			for index := range 6 {
				name := fmt.Sprintf("h-%d", index)
				hosts = append(hosts, almondcross.NewRelayHost(almondcross.RelayHostConfig{Name: name, DataCentre: dataCentre, Strength: 100}))
				require.True(t, cell.inbox.Offer(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: name, Present: true, Strength: 100, DataCentre: dataCentre})))
			}
			var expected []string
			for index := range workerCount {
				worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: fmt.Sprintf("w-%d", index), Zone: dataCentre})
				require.True(t, cell.relayer.Start(almondcross.NewStartOrder(almondcross.StartOrderConfig{Worker: worker})))
				if host, _ := (delegator.ByDataCentre{}).Choose(worker, hosts); !slices.Contains(expected, host) {
					expected = append(expected, host)
				}
			}
			go func() { _ = cell.relayer.Run(ctx) }()
			synctest.Wait()
			require.Greater(t, len(expected), 3)
			require.Equal(t, expected, cell.sentTo)
		})
	}
}

// leaseAll sends a lease order to each worker, the first of which leave, and forgets the earlier orders.
func (cell *cell) leaseAll(leaving int) {
	cell.relayed, cell.hostOf, cell.direct = map[int64]almondcross.RelayedOrder{}, map[int64]string{}, 0
	for index := range workerCount {
		worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: fmt.Sprintf("w-%d", index), Zone: dataCentre, Draining: index < leaving})
		require.True(cell.t, cell.relayer.Lease(almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Worker: worker}), 0))
	}
	synctest.Wait()
}

// Guards against ends that nobody reads (LOST): a host that relays the orders to a leaving worker freezes, and the worker has left
// before the orders are given up.
func TestLeavingWorkersAreCalledDirectly(t *testing.T) {
	const maxDirect = 5
	run(t, maxDirect, func(cell *cell) {
		cell.leaseAll(0)
		cell.leaseAll(0)
		require.Len(t, cell.relayed, workerCount)
		cell.leaseAll(maxDirect - 1)
		require.Equal(t, maxDirect-1, cell.direct)
		cell.leaseAll(workerCount)
		require.Equal(t, maxDirect, cell.direct, "this host serves no more workers by itself")
		require.True(t, cell.inbox.Offer(almondcross.NewWorkerReleased(almondcross.WorkerReleasedConfig{ID: "w-0"})))
		cell.leaseAll(workerCount)
		require.Equal(t, maxDirect, cell.direct, "the next one takes the place of a worker that has left")
		cell.leaseAll(0)
		require.Len(t, cell.relayed, workerCount, "a worker that stays is called through the other hosts again")
	})
}
