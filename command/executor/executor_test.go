package executor_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/executor"
	"github.com/almondcross/almondcross/ring"
)

// echoManager answers every order at once; ctx shows whether it has been abandoned.
type echoManager struct {
	ctx     context.Context //nolint:containedctx // The test observes its end.
	answers *ring.Ring[almondcross.SchedulerMessage]
}

func (echomanager *echoManager) Manage(almondcross.Worker) {}
func (echomanager *echoManager) Release(string)            {}
func (echomanager *echoManager) Retire(string)             {}

func (echomanager *echoManager) Lease(order almondcross.LeaseOrder, _ time.Duration) bool {
	return echomanager.answers.Offer(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{Order: order, Result: almondcross.OrderDone}))
}

func (echomanager *echoManager) Start(order almondcross.StartOrder) bool {
	return echomanager.answers.Offer(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Result: almondcross.OrderDone, Incarnation: order.Incarnation()}))
}

func (echomanager *echoManager) Stop(almondcross.StopOrder) bool { return false }

func newOrders(number int64) almondcross.OrdersRelayed {
	return almondcross.NewOrdersRelayed(almondcross.OrdersRelayedConfig{Orders: []almondcross.RelayedOrder{
		almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
			Number: number, Kind: almondcross.OrderLease, Lease: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Number: number}),
		}),
		almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
			Number: number + 1, Kind: almondcross.OrderStart, Start: almondcross.NewStartOrder(almondcross.StartOrderConfig{Number: number + 1, Incarnation: 5}),
		}),
		almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
			Number: number + 2, Kind: almondcross.OrderStop, Stop: almondcross.NewStopOrder(almondcross.StopOrderConfig{Number: number + 2}),
		}),
	}})
}

// Guards against orders without an outcome, orders of a closed link that are still sent to workers, and the late end of
// an old link that abandons the orders of the new one.
func TestEveryOrderIsAnsweredOnItsOwnLink(t *testing.T) {
	answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "order_answers", Capacity: 16})
	managers := make(chan *echoManager, 4)
	duty := executor.New(executor.Config{
		Requests: ring.New[executor.Request](ring.Config{Name: "orders", Capacity: 16}), Answers: answers,
		NewManager: func(ctx context.Context) almondcross.WorkerManager {
			manager := &echoManager{ctx: ctx, answers: answers}
			managers <- manager
			return manager
		},
	})
	go func() { _ = duty.Run(t.Context()) }()
	received := make(chan almondcross.RelayedAnswer, 16)
	reply := func(answered almondcross.OrdersAnswered) {
		for _, answer := range answered.Answers() {
			received <- answer
		}
	}
	results := func() map[int64]almondcross.OrderResult {
		collected := map[int64]almondcross.OrderResult{}
		for range 3 {
			answer := <-received
			collected[answer.Number()] = answer.Result()
			if answer.Number()%10 == 1 {
				require.Equal(t, int64(5), answer.Report().Incarnation(), "the scheduler learns which incarnation a start can have reached")
			}
		}
		return collected
	}
	require.True(t, duty.Execute(1, newOrders(10), reply))
	require.Equal(t, map[int64]almondcross.OrderResult{10: almondcross.OrderDone, 11: almondcross.OrderDone, 12: almondcross.OrderNotSent}, results())
	first := <-managers
	require.True(t, duty.Execute(2, newOrders(20), reply))
	require.Equal(t, map[int64]almondcross.OrderResult{20: almondcross.OrderDone, 21: almondcross.OrderDone, 22: almondcross.OrderNotSent}, results())
	second := <-managers
	<-first.ctx.Done()
	duty.Abandon(1)
	require.True(t, duty.Execute(2, newOrders(30), reply))
	results()
	require.NoError(t, second.ctx.Err(), "the end of the earlier link concerns only its orders")
	duty.Abandon(2)
	<-second.ctx.Done()
}
