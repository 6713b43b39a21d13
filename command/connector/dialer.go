package connector

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/asker"
	"github.com/almondcross/almondcross/ring"
)

const (
	// dialLimit bounds the opening of a connection.
	dialLimit = time.Second
	// redialPause is the pause after a connection that failed.
	redialPause = 250 * time.Millisecond
)

// Scheduler is the host to link to; an empty address links to none.
type Scheduler struct {
	Host, Address string
	Strength      int // Strength is how well this host could schedule, up to 100.
}

// DialerConfig holds what a dialer needs.
type DialerConfig struct {
	Host    string // Host is the name of this host.
	Address string // Address is the one on which this host accepts links.
	Codec   almondcross.LinkCodec
	Queries almondcross.Sink[asker.Request] // Queries takes the queries of the scheduler.
	Sink    almondcross.Sink[almondcross.SchedulerMessage]
	Stored  func(stored almondcross.IntakeStored) // Stored takes the answers to forwarded intakes.
	Log     almondcross.EventLog
	Clock   almondcross.Clock
}

// Dialer keeps the link to the scheduler's host.
type Dialer struct {
	config  DialerConfig
	current atomic.Pointer[session]
	pushed  moment // pushed is when batches last came over the link.
}

// NewDialer returns a dialer.
func NewDialer(config DialerConfig) *Dialer { return &Dialer{config: config} }

// Run keeps a link to the newest scheduler until the context ends.
func (dialer *Dialer) Run(ctx context.Context, schedulers *ring.Ring[Scheduler]) error {
	var cancel context.CancelFunc = func() {}
	for {
		select {
		case <-ctx.Done():
			cancel()
			return nil
		case scheduler := <-schedulers.Messages():
			cancel()
			var linked context.Context
			linked, cancel = context.WithCancel(ctx)
			if scheduler.Address != "" && scheduler.Host != dialer.config.Host {
				go dialer.keep(linked, scheduler)
			}
		}
	}
}

// keep dials again after each failure until the context ends.
func (dialer *Dialer) keep(ctx context.Context, scheduler Scheduler) {
	for ctx.Err() == nil {
		if err := dialer.link(ctx, scheduler); err != nil && ctx.Err() == nil {
			dialer.config.Log.Record("link_lost", almondcross.Text("scheduler", scheduler.Host), almondcross.Text("reason", err.Error()))
			_ = dialer.config.Sink.Put(ctx, almondcross.NewLinkLost(almondcross.LinkLostConfig{Scheduler: scheduler.Host})) // Put fails only when the context has ended.
		}
		ring.Pause(ctx, redialPause)
	}
}

func (dialer *Dialer) link(ctx context.Context, scheduler Scheduler) error {
	limited, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	client := websocket.Dialer{HandshakeTimeout: dialLimit, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	connection, response, err := client.DialContext(limited, "ws://"+scheduler.Address+Path, nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // An upgraded connection has no body.
	opened := newSession(connection, dialer.config.Codec)
	opened.offer(almondcross.NewAdviserHello(almondcross.AdviserHelloConfig{
		Host: dialer.config.Host, Strength: scheduler.Strength, Address: dialer.config.Address,
	}))
	dialer.current.Store(opened)
	defer dialer.current.CompareAndSwap(opened, nil)
	return opened.run(ctx, func(message almondcross.LinkMessage) {
		switch message := message.(type) {
		case almondcross.AdviceQuery:
			dialer.ask(ctx, opened, message)
		case almondcross.JournalPushed:
			dialer.pushed.set(dialer.config.Clock.Now())
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.ViewsPushed:
			dialer.pushed.set(dialer.config.Clock.Now())
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.PeersKnown:
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.Assigned:
			_ = dialer.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
		case almondcross.IntakeStored:
			dialer.config.Stored(message)
		}
	})
}

func (dialer *Dialer) ask(ctx context.Context, opened *session, query almondcross.AdviceQuery) {
	reply := func(_ context.Context, answer almondcross.AdviceAnswered) { opened.offer(answer) }
	if !dialer.config.Queries.Offer(asker.Request{Query: query, Reply: reply}) {
		reply(ctx, almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{Query: query, Err: almondcross.ErrStoreRefused}))
	}
}
