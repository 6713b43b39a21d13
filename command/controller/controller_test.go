package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/controller"
	"github.com/almondcross/almondcross/ring"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type quiet struct{}

func (quiet) Record(string, ...almondcross.LogField) {}
func (quiet) Ordered(string, time.Duration)          {}

// farWorker answers each order after the way to another region and back.
type farWorker struct {
	way   time.Duration
	calls chan string // calls takes the orders as they arrive; it holds all of a test.
}

func (farworker *farWorker) call(name string) almondcross.OrderResult {
	farworker.calls <- name
	<-time.After(farworker.way)
	return almondcross.OrderDone
}

func (farworker *farWorker) Start(_ context.Context, order almondcross.StartOrder) (almondcross.OrderResult, error) {
	return farworker.call("start " + order.Task().String()), nil
}

func (farworker *farWorker) Stop(_ context.Context, order almondcross.StopOrder) (almondcross.OrderResult, error) {
	return farworker.call("stop " + order.Task().String()), nil
}

func (farworker *farWorker) Lease(context.Context, almondcross.LeaseOrder) (almondcross.WorkerList, almondcross.OrderResult, error) {
	return almondcross.WorkerList{}, farworker.call("lease"), nil
}

// Guards against tasks of a wide job that wait for each other's answers from a worker in another region: with one
// order at a time, 27 starts and their stops kept the jobs behind them waiting for five seconds (MIXED on
// trinacria-sched trouble-3). Also against a stop that overtakes the start before it.
func TestOrdersToAFarWorkerOverlap(t *testing.T) {
	const tasks, way = 24, 40 * time.Millisecond
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: "w-1", Address: "10.0.0.1:1"})
	far := &farWorker{way: way, calls: make(chan string, 2*tasks)}
	answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 4 * tasks})
	orders := controller.New(t.Context(), controller.Config{Orderer: far, Sink: answers, Clock: clock{}, Log: quiet{}, Meters: quiet{}})
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
	require.Less(t, time.Since(started), 2*tasks*way*2/3, "two thirds of the time of one order after another")
	stopped := map[string]bool{}
	close(far.calls)
	for call := range far.calls {
		if name, isStop := call[len("stop "):], call[:4] == "stop"; isStop {
			stopped[name] = true
		} else {
			require.False(t, stopped[call[len("start "):]], "the stop came first")
		}
	}
	require.Len(t, stopped, tasks)
}
