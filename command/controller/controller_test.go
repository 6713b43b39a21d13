package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/controller"
	"github.com/almondcross/almondcross/ring"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type discard struct{}

func (discard) Record(string, ...almondcross.LogField) {}
func (discard) Ordered(string, time.Duration)          {}

// remoteWorker answers each order after a round trip to another region.
type remoteWorker struct {
	roundTrip time.Duration
	calls     chan string // calls receives the orders as they arrive; its capacity holds all orders of a test.
}

func (remoteworker *remoteWorker) call(name string) almondcross.OrderResult {
	remoteworker.calls <- name
	<-time.After(remoteworker.roundTrip)
	return almondcross.OrderDone
}

func (remoteworker *remoteWorker) Start(_ context.Context, order almondcross.StartOrder) (almondcross.OrderResult, error) {
	return remoteworker.call("start " + order.Task().String()), nil
}

func (remoteworker *remoteWorker) Stop(_ context.Context, order almondcross.StopOrder) (almondcross.OrderResult, error) {
	return remoteworker.call("stop " + order.Task().String()), nil
}

func (remoteworker *remoteWorker) Lease(context.Context, almondcross.LeaseOrder) (almondcross.WorkerReport, almondcross.OrderResult, error) {
	return almondcross.WorkerReport{}, remoteworker.call("lease"), nil
}

// Guards against sending orders to a worker in another region one at a time: 27 starts of a wide job and their stops
// once delayed the next jobs by five seconds. Also guards against a stop that overtakes the start before it.
func TestOrdersToRemoteWorkerOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // The bound is on time that only the worker takes.
		const tasks, roundTrip = 24, 40 * time.Millisecond
		worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: "w-1", Address: "10.0.0.1:1"})
		remote := &remoteWorker{roundTrip: roundTrip, calls: make(chan string, 2*tasks)}
		answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 4 * tasks})
		orders := controller.New(t.Context(), controller.Config{Orderer: remote, Sink: answers, Clock: clock{}, Log: discard{}, Metrics: discard{}})
		orders.Manage(worker)
		started := time.Now()
		for index := range tasks {
			task := almondcross.JobTask{Stage: almondcross.StageID{Job: "j"}, Index: index}
			require.True(t, orders.Start(almondcross.NewStartOrder(almondcross.StartOrderConfig{Worker: worker, Task: task, Run: 1})))
			require.True(t, orders.Stop(almondcross.NewStopOrder(almondcross.StopOrderConfig{Worker: worker, Task: task, Run: 1})))
		}
		for range 2 * tasks {
			<-answers.Messages()
		}
		require.Less(t, time.Since(started), 2*tasks*roundTrip*2/3, "less than two thirds of the time of sequential orders")
		stopped := map[string]bool{}
		close(remote.calls)
		for call := range remote.calls {
			if name, isStop := call[len("stop "):], call[:4] == "stop"; isStop {
				stopped[name] = true
			} else {
				require.False(t, stopped[call[len("start "):]], "the stop arrived before the start")
			}
		}
		require.Len(t, stopped, tasks)
	})
}

// Guards against orders without an outcome when another host takes over the orders to a worker: the scheduler would
// await the answer to its lease order for good.
func TestRetiredWorkerAnswersItsOrders(t *testing.T) {
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: "w-1", Address: "10.0.0.1:1"})
	remote := &remoteWorker{roundTrip: 20 * time.Millisecond, calls: make(chan string, 8)}
	answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 8})
	orders := controller.New(t.Context(), controller.Config{Orderer: remote, Sink: answers, Clock: clock{}, Log: discard{}, Metrics: discard{}})
	orders.Manage(worker)
	lease := almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Worker: worker})
	require.True(t, orders.Lease(lease, 0))
	require.True(t, orders.Lease(lease, 0))
	require.True(t, orders.Start(almondcross.NewStartOrder(almondcross.StartOrderConfig{Worker: worker, Run: 1})))
	orders.Retire("w-1")
	require.False(t, orders.Lease(lease, 0))
	for range 3 {
		<-answers.Messages()
	}
}

// Guards against a wait for the longest lease of a worker although it is known which incarnation a start can have reached.
func TestAnswerTellsTheIncarnationOfAStart(t *testing.T) {
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: "w-1", Address: "10.0.0.1:1"})
	answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1})
	orders := controller.New(t.Context(), controller.Config{
		Orderer: &remoteWorker{calls: make(chan string, 1)}, Sink: answers, Clock: clock{}, Log: discard{}, Metrics: discard{},
	})
	orders.Manage(worker)
	order := almondcross.NewStartOrder(almondcross.StartOrderConfig{Number: 7, Worker: worker, Incarnation: 5, Run: 1})
	require.True(t, orders.Start(order))
	answered, ok := (<-answers.Messages()).(almondcross.StartOrderAnswered)
	require.True(t, ok)
	require.Equal(t, int64(5), answered.Incarnation())

	relayed := almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{Number: 7, Kind: almondcross.OrderStart, Start: order})
	answer := almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{
		Number: 7, Result: almondcross.OrderDone, Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{Incarnation: 5}),
	})
	answered, ok = relayed.Answer(answer, time.Time{}, time.Time{}).(almondcross.StartOrderAnswered)
	require.True(t, ok)
	require.Equal(t, int64(5), answered.Incarnation(), "another host has sent the order")
}
