package encoder_test

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/executor"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

var orderedTask = almondcross.JobTask{Stage: almondcross.StageID{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2}, Index: 3}

// Guards against an order or an outcome that arrives with other contents than it was sent with.
func TestRelayedOrdersKeepTheirContents(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: "w-1", Address: "10.0.0.1:1"})
	messages := []almondcross.LinkMessage{
		almondcross.NewOrdersRelayed(almondcross.OrdersRelayedConfig{Orders: []almondcross.RelayedOrder{
			almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
				Number: 1, Kind: almondcross.OrderLease, Pause: 25 * time.Millisecond, Lease: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
					Number: 1, Worker: worker, Incarnation: 5, Fence: 7, Acknowledged: 8, Until: 9 * time.Second, Wait: 600 * time.Millisecond, ListOnly: true,
				}),
			}),
			almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
				Number: 2, Kind: almondcross.OrderStart, Start: almondcross.NewStartOrder(almondcross.StartOrderConfig{
					Number: 2, Worker: worker, Incarnation: 6, Task: orderedTask, Run: 4, Payload: "p", Checkpoint: "c", Ticket: "t", Fence: 7, Until: 9 * time.Second,
				}),
			}),
			almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
				Number: 3, Kind: almondcross.OrderStop, Stop: almondcross.NewStopOrder(almondcross.StopOrderConfig{
					Number: 3, Worker: worker, Incarnation: 7, Task: orderedTask, Run: 4, Fence: 7,
				}),
			}),
		}}),
		almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{Answers: []almondcross.RelayedAnswer{
			almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{
				Number: 1, Result: almondcross.OrderDone, Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{
					ID: "w-1", Incarnation: 5, Clock: 1500 * time.Microsecond,
					Running: []almondcross.RunningTask{almondcross.NewRunningTask(almondcross.RunningTaskConfig{
						Task: orderedTask, Run: 4, Checkpoint: "c", Progress: 41, Measurement: 0.5,
					})},
					Ended: []almondcross.EndedTask{almondcross.NewEndedTask(almondcross.EndedTaskConfig{
						Sequence: 6, Task: orderedTask, Run: 3, Kind: almondcross.EndDone, Checkpoint: "d",
					})},
				}),
			}),
		}}),
	}
	for _, message := range messages {
		frame, err := codec.EncodeLink(message)
		require.NoError(t, err)
		decoded, err := codec.DecodeLink(frame)
		require.NoError(t, err)
		require.Equal(t, message, decoded)
		_, err = codec.DecodeLink(frame[:len(frame)-1])
		require.Error(t, err, "a truncated frame is refused as a whole")
	}
}

// Guards against a link that breaks between hosts of two versions of which one does not know the incarnations of orders.
func TestOrdersOfEarlierVersionsAreForAnyIncarnation(t *testing.T) {
	codec := newCodec(t)
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: "w-1", Address: "10.0.0.1:1"})
	order := almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Number: 1, Worker: worker, Incarnation: 5, Fence: 7})
	frame, err := codec.EncodeLink(almondcross.NewOrdersRelayed(almondcross.OrdersRelayedConfig{Orders: []almondcross.RelayedOrder{
		almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{Number: 1, Kind: almondcross.OrderLease, Lease: order}),
	}}))
	require.NoError(t, err)
	var earlier struct {
		Type string          `cbor:"type"`
		Body cbor.RawMessage `cbor:"body"`
	}
	require.NoError(t, cbor.Unmarshal(frame, &earlier), "an earlier version ignores the incarnations")
	frame, err = cbor.Marshal(earlier)
	require.NoError(t, err)
	decoded, err := codec.DecodeLink(frame)
	require.NoError(t, err)
	relayed, ok := decoded.(almondcross.OrdersRelayed)
	require.True(t, ok)
	require.Equal(t, order.WithIncarnation(0), relayed.Orders()[0].Lease())

	frame, err = cbor.Marshal(map[string]any{"type": earlier.Type, "body": earlier.Body, "incarnations": []int64{5, 6}})
	require.NoError(t, err)
	_, err = codec.DecodeLink(frame)
	require.ErrorIs(t, err, encoder.ErrMalformed, "two incarnations for one order")
}

// Guards against a message with the reports of many workers that is too large to encode, which would end the link and
// leave all orders of the host without an outcome.
func TestReportsOfManyWorkersFitInMessages(t *testing.T) {
	const workers, ends = 64, 500
	codec := newCodec(t)
	var ended []almondcross.EndedTask
	for index := range ends {
		ended = append(ended, almondcross.NewEndedTask(almondcross.EndedTaskConfig{
			Sequence: int64(index + 1), Run: 1, Kind: almondcross.EndDone, Checkpoint: "00000bb87a21d94b",
			Task: almondcross.JobTask{Stage: almondcross.StageID{Job: "5c0e7a21d94b36f8", Step: 1}, Index: index},
		}))
	}
	report := almondcross.NewWorkerReport(almondcross.WorkerReportConfig{Ended: ended})
	answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "order_answers", Capacity: workers})
	requests := ring.New[executor.Request](ring.Config{Name: "orders", Capacity: 1})
	duty := executor.New(executor.Config{Requests: requests, Answers: answers, NewManager: func(context.Context) almondcross.WorkerManager {
		for range workers {
			answers.Offer(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{Result: almondcross.OrderDone, Report: report}))
		}
		return nil // No order uses it.
	}})
	received := make(chan almondcross.OrdersAnswered, workers)
	require.True(t, duty.Execute(1, almondcross.OrdersRelayed{}, func(answered almondcross.OrdersAnswered) { received <- answered }))
	go func() { _ = duty.Run(t.Context()) }()
	for answered := 0; answered < workers; {
		message := <-received
		_, err := codec.EncodeLink(message)
		require.NoError(t, err)
		answered += len(message.Answers())
	}
}
