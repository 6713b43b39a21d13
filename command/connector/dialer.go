package connector

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/websocket"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/asker"
	"github.com/almondcross/almondcross/ring"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// redialDelay is the minimum time between the starts of two attempts to connect.
	redialDelay = 250 * time.Millisecond
)

// Scheduler is the scheduler's host that a dialer connects to; with an empty address it connects to none.
type Scheduler struct {
	Host, Address string
	Epoch         int64                // Epoch is the epoch of the scheduler.
	Ends          []almondcross.Change // Ends holds the ends of runs that the dialer's own host has read as scheduler and may not have recorded.
	Strength      int                  // Strength rates the suitability of the dialer's own host as scheduler, up to 100.
}

// DialerConfig holds the dependencies and settings of a dialer.
type DialerConfig struct {
	Host       string // Host is the name of this host.
	DataCentre string // DataCentre is the data centre of this host.
	Address    string // Address is the address on which this host accepts links.
	Format     int    // Format is the highest number of a format of the journal that this host reads.
	StateBytes int64  // StateBytes is the memory in bytes that the jobs of the state may take on this host.
	Codec      almondcross.LinkCodec
	Queries    almondcross.Sink[asker.Request] // Queries receives the queries of the scheduler.
	Executor   almondcross.OrderExecutor       // Executor executes the scheduler's orders.
	Sink       almondcross.Sink[almondcross.SchedulerMessage]
	Routes     almondcross.Sink[almondcross.RoutesMessage] // Routes receives what replicates the configuration, and the links for it.
	Stored     func(stored almondcross.IntakeStored)       // Stored is called with each answer to a forwarded intake.
	Log        almondcross.EventLog
	Clock      almondcross.Clock
	Meter      almondcross.LinkMeter // Meter counts the messages on links, nil for no counting.
}

// Dialer is the duty that keeps a link to the scheduler's host open.
type Dialer struct {
	config   DialerConfig
	current  atomic.Pointer[session]
	lastPush timestamp // lastPush is when the link last delivered batches or views.
	lastLink atomic.Int64
	peers    atomic.Int64 // peers is the number of other hosts that the scheduler has told this one of.
}

// NewDialer returns a dialer.
func NewDialer(config DialerConfig) *Dialer { return &Dialer{config: config} }

// Run keeps a link to the last received scheduler open until the context ends.
func (dialer *Dialer) Run(ctx context.Context, schedulers *ring.Ring[Scheduler]) error {
	var cancel context.CancelFunc = func() {}
	for {
		select {
		case <-ctx.Done():
			cancel()
			return nil
		case scheduler := <-schedulers.Messages():
			cancel()
			var linkCtx context.Context
			linkCtx, cancel = context.WithCancel(ctx)
			if scheduler.Address != "" && scheduler.Host != dialer.config.Host {
				go dialer.maintain(linkCtx, scheduler)
			}
		}
	}
}

// maintain connects to a scheduler, and reconnects after each failure, until the context ends. The first attempt after the loss of
// a link comes at once: if it is refused, the scheduler's process has ended.
func (dialer *Dialer) maintain(ctx context.Context, scheduler Scheduler) {
	for ctx.Err() == nil {
		dialedAt := dialer.config.Clock.Now()
		if err := dialer.connect(ctx, scheduler); err != nil && ctx.Err() == nil {
			dialer.config.Log.Record("link_lost", almondcross.Text("scheduler", scheduler.Host), almondcross.Text("reason", err.Error()))
			_ = dialer.config.Sink.Put(ctx, almondcross.NewLinkLost(almondcross.LinkLostConfig{
				Scheduler: scheduler.Host, Refused: errors.Is(err, syscall.ECONNREFUSED),
			})) // Put fails only when the context has ended.
		}
		if pause := redialDelay - dialer.config.Clock.Now().Sub(dialedAt); pause > 0 {
			ring.Pause(ctx, pause)
		}
	}
}

// connect opens a link to a scheduler and carries messages over it until it is lost.
func (dialer *Dialer) connect(ctx context.Context, scheduler Scheduler) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := websocket.Dialer{HandshakeTimeout: dialTimeout, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	connection, response, err := client.DialContext(dialCtx, "ws://"+scheduler.Address+Path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	_ = response.Body.Close() // An upgraded connection has no body.
	link := dialer.lastLink.Add(1)
	session := newSession(connection, dialer.config.Codec, nil, dialer.config.Meter)
	session.number = link
	session.offer(almondcross.NewHostHello(almondcross.HostHelloConfig{
		Host: dialer.config.Host, Strength: scheduler.Strength, Address: dialer.config.Address, DataCentre: dialer.config.DataCentre,
		ViewFormat: almondcross.ViewFormat, RoutesFormat: almondcross.RoutesFormat, SchedulerEpoch: scheduler.Epoch, Format: dialer.config.Format, StateBytes: dialer.config.StateBytes, Ends: scheduler.Ends,
	}))
	defer dialer.config.Executor.Abandon(link)
	dialer.current.Store(session)
	defer dialer.current.CompareAndSwap(session, nil)
	end := almondcross.LinkEnd{Host: scheduler.Host, Uplink: link}
	defer offerRoutesLinkEnd(dialer.config.Routes, end)
	return session.run(ctx, func(message almondcross.LinkMessage) {
		if passRoutes(ctx, dialer.config.Routes, end, message) {
			return
		}
		switch message := message.(type) {
		case almondcross.AdviceQuery:
			dialer.enqueueQuery(ctx, session, message)
		case almondcross.OrdersRelayed:
			dialer.execute(link, session, message)
		case almondcross.JournalPushed:
			dialer.lastPush.set(dialer.config.Clock.Now())
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.ViewsPushed:
			dialer.lastPush.set(dialer.config.Clock.Now())
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.PeersKnown:
			dialer.peers.Store(int64(len(message.Addresses())))
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.RoleAssigned:
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.ViewsAssigned:
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.ViewsNumbered:
			dialer.lastPush.set(dialer.config.Clock.Now())
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.IntakeStored:
			dialer.config.Stored(message)
		}
	})
}

// enqueueQuery passes a query to the asker. If the asker's ring is full, it answers the query with ErrStoreRefused, which
// here means that the advice service was not called.
func (dialer *Dialer) enqueueQuery(ctx context.Context, session *session, query almondcross.AdviceQuery) {
	reply := func(_ context.Context, answer almondcross.AdviceAnswered) { session.offer(answer) }
	if !dialer.config.Queries.Offer(asker.Request{Query: query, Reply: reply}) {
		reply(ctx, almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{Query: query, Err: almondcross.ErrStoreRefused}))
	}
}

// execute passes orders to the executor. If too many wait there, none is sent to its worker.
func (dialer *Dialer) execute(link int64, session *session, relayed almondcross.OrdersRelayed) {
	reply := func(answered almondcross.OrdersAnswered) {
		if !session.offer(answered) {
			// The scheduler treats the orders of a closed link as unknown; a lost answer it would await for longer.
			_ = session.connection.Close()
		}
	}
	if dialer.config.Executor.Execute(link, relayed, reply) {
		return
	}
	answers := make([]almondcross.RelayedAnswer, len(relayed.Orders()))
	for index, order := range relayed.Orders() {
		answers[index] = almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{Number: order.Number(), Result: almondcross.OrderNotSent})
	}
	reply(almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{Answers: answers}))
}
