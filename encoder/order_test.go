package encoder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
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
					Number: 1, Worker: worker, Fence: 7, Acknowledged: 8, Until: 9 * time.Second, Wait: 600 * time.Millisecond, ListOnly: true,
				}),
			}),
			almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
				Number: 2, Kind: almondcross.OrderStart, Start: almondcross.NewStartOrder(almondcross.StartOrderConfig{
					Number: 2, Worker: worker, Task: orderedTask, Run: 4, Payload: "p", Checkpoint: "c", Ticket: "t", Fence: 7, Until: 9 * time.Second,
				}),
			}),
			almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{
				Number: 3, Kind: almondcross.OrderStop, Stop: almondcross.NewStopOrder(almondcross.StopOrderConfig{
					Number: 3, Worker: worker, Task: orderedTask, Run: 4, Fence: 7,
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
