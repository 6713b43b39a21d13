package encoder

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// wireOrder is one relayed order. The wire types of orders are encoded as arrays, because they are most of the
// traffic between hosts; fields must keep their order and new ones are only appended.
type wireOrder struct {
	_                           struct{} `cbor:",toarray"`
	Number                      int64
	Kind                        almondcross.OrderKind
	Worker, Address             string
	Fence                       int64
	Task                        *wireJobTask // Task is nil for a lease order.
	Run                         int
	UntilMS                     int64 // UntilMS is the end of the lease on the worker's clock.
	Payload, Checkpoint, Ticket string
	Acknowledged                int64
	WaitMS, PauseMS             int64
	ListOnly                    bool
}

type wireOrders struct {
	_      struct{} `cbor:",toarray"`
	Orders []wireOrder
}

// incarnationsOf returns the incarnations that the orders are for. They are part of the envelope: earlier versions ignore what they do
// not know there, and reject an order with a further element.
func incarnationsOf(relayed almondcross.OrdersRelayed) []int64 {
	incarnations := make([]int64, len(relayed.Orders()))
	for index, order := range relayed.Orders() {
		incarnations[index] = order.Incarnation()
	}
	return incarnations
}

type wireRunningTask struct {
	_           struct{} `cbor:",toarray"`
	Task        wireJobTask
	Run         int
	Checkpoint  string
	Progress    int
	Measurement float64
}

type wireEndedTask struct {
	_                struct{} `cbor:",toarray"`
	Sequence         int64
	Task             wireJobTask
	Run              int
	Kind, Checkpoint string
}

type wireOrderAnswer struct {
	_           struct{} `cbor:",toarray"`
	Number      int64
	Result      almondcross.OrderResult
	Worker      string
	Incarnation int64
	ClockUS     int64
	Running     []wireRunningTask
	Ended       []wireEndedTask
}

type wireOrderAnswers struct {
	_       struct{} `cbor:",toarray"`
	Answers []wireOrderAnswer
}

func toJobTask(task almondcross.JobTask) wireJobTask {
	return wireJobTask{Job: string(task.Stage.Job), Occurrence: task.Stage.Occurrence, Step: task.Stage.Step, Index: task.Index}
}

func (wirejobtask wireJobTask) value() almondcross.JobTask {
	return almondcross.JobTask{
		Stage: almondcross.StageID{Job: almondcross.JobID(wirejobtask.Job), Occurrence: wirejobtask.Occurrence, Step: wirejobtask.Step},
		Index: wirejobtask.Index,
	}
}

func toOrders(relayed almondcross.OrdersRelayed) wireOrders {
	wire := wireOrders{Orders: make([]wireOrder, len(relayed.Orders()))}
	for index, order := range relayed.Orders() {
		wire.Orders[index] = toOrder(order)
	}
	return wire
}

// encodeOrders is the part of EncodeLink for relayed orders.
func (codec Codec) encodeOrders(relayed almondcross.OrdersRelayed) ([]byte, error) {
	body, err := codec.encoding.Marshal(toOrders(relayed))
	if err != nil {
		return nil, errors.Annotatef(err, "encoding %s", linkOrders)
	}
	return codec.marshalEnvelope(wireEnvelope{Type: linkOrders, Body: body, Incarnations: incarnationsOf(relayed)})
}

func toOrder(relayed almondcross.RelayedOrder) wireOrder {
	wire := wireOrder{Number: relayed.Number(), Kind: relayed.Kind(), Worker: relayed.Worker().ID(), Address: relayed.Worker().Address()}
	switch relayed.Kind() {
	case almondcross.OrderLease:
		order := relayed.Lease()
		wire.Fence, wire.UntilMS, wire.Acknowledged, wire.ListOnly = order.Fence(), order.Until().Milliseconds(), order.Acknowledged(), order.ListOnly()
		wire.WaitMS, wire.PauseMS = order.Wait().Milliseconds(), relayed.Pause().Milliseconds()
	case almondcross.OrderStart:
		order := relayed.Start()
		task := toJobTask(order.Task())
		wire.Task, wire.Run, wire.Fence, wire.UntilMS = &task, order.Run(), order.Fence(), order.Until().Milliseconds()
		wire.Payload, wire.Checkpoint, wire.Ticket = order.Payload(), order.Checkpoint(), order.Ticket()
	case almondcross.OrderStop:
		order := relayed.Stop()
		task := toJobTask(order.Task())
		wire.Task, wire.Run, wire.Fence = &task, order.Run(), order.Fence()
	}
	return wire
}

// value returns the order, or ErrMalformed when the kind is unknown or the task is missing.
func (wireorder wireOrder) value(incarnation int64) (almondcross.RelayedOrder, error) {
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: wireorder.Worker, Address: wireorder.Address})
	config := almondcross.RelayedOrderConfig{Number: wireorder.Number, Kind: wireorder.Kind}
	until := milliseconds(wireorder.UntilMS)
	switch {
	case wireorder.Kind == almondcross.OrderLease:
		config.Pause = milliseconds(wireorder.PauseMS)
		config.Lease = almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
			Number: wireorder.Number, Worker: worker, Incarnation: incarnation, Fence: wireorder.Fence, Acknowledged: wireorder.Acknowledged, Until: until,
			Wait: milliseconds(wireorder.WaitMS), ListOnly: wireorder.ListOnly,
		})
	case wireorder.Task == nil:
		return almondcross.RelayedOrder{}, errors.Annotatef(ErrMalformed, "order %d of kind %q has no task", wireorder.Number, wireorder.Kind)
	case wireorder.Kind == almondcross.OrderStart:
		config.Start = almondcross.NewStartOrder(almondcross.StartOrderConfig{
			Number: wireorder.Number, Worker: worker, Incarnation: incarnation, Task: wireorder.Task.value(), Run: wireorder.Run, Payload: wireorder.Payload,
			Checkpoint: wireorder.Checkpoint, Ticket: wireorder.Ticket, Fence: wireorder.Fence, Until: until,
		})
	case wireorder.Kind == almondcross.OrderStop:
		config.Stop = almondcross.NewStopOrder(almondcross.StopOrderConfig{
			Number: wireorder.Number, Worker: worker, Incarnation: incarnation, Task: wireorder.Task.value(), Run: wireorder.Run, Fence: wireorder.Fence,
		})
	default:
		return almondcross.RelayedOrder{}, errors.Annotatef(ErrMalformed, "order %d has the unknown kind %q", wireorder.Number, wireorder.Kind)
	}
	return almondcross.NewRelayedOrder(config), nil
}

func toOrderAnswers(answered almondcross.OrdersAnswered) wireOrderAnswers {
	wire := wireOrderAnswers{Answers: make([]wireOrderAnswer, len(answered.Answers()))}
	for index, answer := range answered.Answers() {
		wire.Answers[index] = toOrderAnswer(answer)
	}
	return wire
}

func toOrderAnswer(answer almondcross.RelayedAnswer) wireOrderAnswer {
	report := answer.Report()
	wire := wireOrderAnswer{
		Number: answer.Number(), Result: answer.Result(), Worker: report.ID(), Incarnation: report.Incarnation(), ClockUS: report.Clock().Microseconds(),
	}
	for _, running := range report.Running() {
		wire.Running = append(wire.Running, wireRunningTask{
			Task: toJobTask(running.Task()), Run: running.Run(), Checkpoint: running.Checkpoint(), Progress: running.Progress(),
			Measurement: running.Measurement(),
		})
	}
	for _, ended := range report.Ended() {
		wire.Ended = append(wire.Ended, wireEndedTask{
			Sequence: ended.Sequence(), Task: toJobTask(ended.Task()), Run: ended.Run(), Kind: string(ended.Kind()), Checkpoint: ended.Checkpoint(),
		})
	}
	return wire
}

func (wireorderanswer wireOrderAnswer) value() almondcross.RelayedAnswer {
	report := almondcross.WorkerReportConfig{
		ID: wireorderanswer.Worker, Incarnation: wireorderanswer.Incarnation, Clock: microseconds(wireorderanswer.ClockUS),
	}
	for _, running := range wireorderanswer.Running {
		report.Running = append(report.Running, almondcross.NewRunningTask(almondcross.RunningTaskConfig{
			Task: running.Task.value(), Run: running.Run, Checkpoint: running.Checkpoint, Progress: running.Progress, Measurement: running.Measurement,
		}))
	}
	for _, ended := range wireorderanswer.Ended {
		report.Ended = append(report.Ended, almondcross.NewEndedTask(almondcross.EndedTaskConfig{
			Sequence: ended.Sequence, Task: ended.Task.value(), Run: ended.Run, Kind: almondcross.EndKind(ended.Kind), Checkpoint: ended.Checkpoint,
		}))
	}
	return almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{
		Number: wireorderanswer.Number, Result: wireorderanswer.Result, Report: almondcross.NewWorkerReport(report),
	})
}

// decodeOrders is the part of DecodeLink for relayed orders and their answers.
func (codec Codec) decodeOrders(envelope wireEnvelope) (almondcross.LinkMessage, error) {
	if envelope.Type == linkOrderAnswers {
		var wire wireOrderAnswers
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		answers := make([]almondcross.RelayedAnswer, len(wire.Answers))
		for index, answer := range wire.Answers {
			answers[index] = answer.value()
		}
		return almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{Answers: answers}), nil
	}
	var wire wireOrders
	if err := codec.decodeBody(envelope, &wire); err != nil {
		return nil, err
	}
	if len(envelope.Incarnations) != 0 && len(envelope.Incarnations) != len(wire.Orders) {
		return nil, errors.Annotatef(ErrMalformed, "%d orders with %d incarnations", len(wire.Orders), len(envelope.Incarnations))
	}
	orders := make([]almondcross.RelayedOrder, len(wire.Orders))
	for index, order := range wire.Orders {
		incarnation := int64(0)
		if len(envelope.Incarnations) != 0 {
			incarnation = envelope.Incarnations[index]
		}
		var err error
		if orders[index], err = order.value(incarnation); err != nil {
			return nil, err
		}
	}
	return almondcross.NewOrdersRelayed(almondcross.OrdersRelayedConfig{Orders: orders}), nil
}
