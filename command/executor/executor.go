package executor

import (
	"context"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// maxAnswersPerMessage is the maximum number of answers in one message.
	maxAnswersPerMessage = 64
	// maxMessageBytes keeps a message below the maximum size of a frame, over which a link ends. After an outage, 64
	// workers may report 500 ends each.
	maxMessageBytes = 768 << 10
	// rowOverheadBytes is an upper bound of the size of an answer or of one of its rows without their strings.
	rowOverheadBytes = 80
)

// Request is a message to the executor's duty.
type Request struct {
	link    int64
	relayed almondcross.OrdersRelayed
	reply   func(answered almondcross.OrdersAnswered)
	abandon bool // abandon is set if the link has ended.
}

// Config holds the dependencies of an executor.
type Config struct {
	Requests *ring.Ring[Request]
	Answers  *ring.Ring[almondcross.SchedulerMessage] // Answers receives the answers of the workers.
	// NewManager returns a manager whose duties end with the context and which puts its answers on Answers.
	NewManager func(ctx context.Context) almondcross.WorkerManager
}

// Executor implements almondcross.OrderExecutor.
type Executor struct {
	config Config
	// manager sends the orders of the current link; cancel ends its duties.
	manager almondcross.WorkerManager
	cancel  context.CancelFunc
	link    int64
	reply   func(answered almondcross.OrdersAnswered)
}

// New returns an executor that is not running; call Run to start it.
func New(config Config) *Executor { return &Executor{config: config, cancel: func() {}} }

// Execute queues orders and reports false when the ring is full.
func (executor *Executor) Execute(link int64, relayed almondcross.OrdersRelayed, reply func(answered almondcross.OrdersAnswered)) bool {
	return executor.config.Requests.Offer(Request{link: link, relayed: relayed, reply: reply})
}

// Abandon gives up the orders of a link. If the ring is full, they stay subject to their own timeouts.
func (executor *Executor) Abandon(link int64) {
	executor.config.Requests.Offer(Request{link: link, abandon: true})
}

// Run executes orders until the context ends.
func (executor *Executor) Run(ctx context.Context) error {
	defer func() { executor.cancel() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-executor.config.Requests.Messages():
			executor.serve(ctx, request)
		case answer := <-executor.config.Answers.Messages():
			executor.returnAnswers(answer)
		}
	}
}

func (executor *Executor) serve(ctx context.Context, request Request) {
	switch {
	case request.abandon && request.link != executor.link:
		return // A newer link has replaced it.
	case request.abandon:
		executor.cancel()
		executor.manager, executor.reply = nil, nil
		return
	case executor.manager == nil || request.link != executor.link:
		executor.cancel()
		managerCtx, cancel := context.WithCancel(ctx)
		executor.manager, executor.cancel = executor.config.NewManager(managerCtx), cancel
	}
	executor.link, executor.reply = request.link, request.reply
	var refused []almondcross.RelayedAnswer
	for _, order := range request.relayed.Orders() {
		if !executor.send(order) {
			refused = append(refused, almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{
				Number: order.Number(), Result: almondcross.OrderNotSent,
			}))
		}
	}
	if len(refused) > 0 {
		executor.reply(almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{Answers: refused}))
	}
}

// send passes an order to the duties of its worker and reports false when it cannot be queued.
func (executor *Executor) send(order almondcross.RelayedOrder) bool {
	executor.manager.Manage(order.Worker())
	switch order.Kind() {
	case almondcross.OrderLease:
		return executor.manager.Lease(order.Lease(), order.Pause())
	case almondcross.OrderStart:
		return executor.manager.Start(order.Start())
	case almondcross.OrderStop:
		return executor.manager.Stop(order.Stop())
	}
	return false
}

// returnAnswers sends an answer, together with those that wait, to the scheduler.
func (executor *Executor) returnAnswers(first almondcross.SchedulerMessage) {
	answers := []almondcross.RelayedAnswer{newAnswer(first)}
	size := maxAnswerBytes(answers[0])
	waiting := executor.config.Answers.Messages()
	for len(answers) < maxAnswersPerMessage && len(waiting) > 0 {
		next := newAnswer(<-waiting)
		if size += maxAnswerBytes(next); size > maxMessageBytes {
			executor.sendAnswers(answers)
			answers, size = nil, maxAnswerBytes(next)
		}
		answers = append(answers, next)
	}
	executor.sendAnswers(answers)
}

func (executor *Executor) sendAnswers(answers []almondcross.RelayedAnswer) {
	if executor.reply != nil {
		executor.reply(almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{Answers: answers}))
	}
}

// maxAnswerBytes returns an upper bound of the size of an answer in a message.
func maxAnswerBytes(answer almondcross.RelayedAnswer) int {
	report := answer.Report()
	size := rowOverheadBytes + len(report.ID())
	for _, running := range report.Running() {
		size += rowOverheadBytes + len(running.Task().Stage.Job) + len(running.Checkpoint())
	}
	for _, ended := range report.Ended() {
		size += rowOverheadBytes + len(ended.Task().Stage.Job) + len(ended.Kind()) + len(ended.Checkpoint())
	}
	return size
}

// newAnswer returns the answer with the number of its order. A worker manager sends no other messages.
func newAnswer(message almondcross.SchedulerMessage) almondcross.RelayedAnswer {
	var config almondcross.RelayedAnswerConfig
	switch message := message.(type) {
	case almondcross.LeaseAnswered:
		config.Number, config.Result, config.Report = message.Order().Number(), message.Result(), message.Report()
	case almondcross.StartOrderAnswered:
		config.Number, config.Result = message.Order().Number(), message.Result()
		config.Report = almondcross.NewWorkerReport(almondcross.WorkerReportConfig{Incarnation: message.Incarnation()})
	case almondcross.StopOrderAnswered:
		config.Number, config.Result = message.Order().Number(), message.Result()
	}
	return almondcross.NewRelayedAnswer(config)
}
