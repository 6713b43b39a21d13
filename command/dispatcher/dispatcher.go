package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// callTimeout bounds one call to a worker. It is less than the lease, so that an unanswered
	// renewal leaves time to acquire again.
	callTimeout = time.Second
	// usableLease is the part of the lease, counted from the sending of the last answered renewal,
	// in which the dispatcher sends starts; the rest covers clock drift.
	usableLease = almondcross.HolderLease * 9 / 10
)

// Dispatcher is the duty of one target.
type Dispatcher struct {
	config      Config
	counters    counters
	target      almondcross.Target
	messages    *ring.Ring[almondcross.DispatcherMessage]
	wanted      bool // wanted is set between AcquireLease and ReleaseLease.
	holding     bool
	term        almondcross.Term
	usableUntil time.Time
	named       []almondcross.TaskID
	stopListen  context.CancelFunc
	listeners   sync.WaitGroup
}

func newDispatcher(
	config Config, counters counters, target almondcross.Target, messages *ring.Ring[almondcross.DispatcherMessage],
) *Dispatcher {
	return &Dispatcher{config: config, counters: counters, target: target, messages: messages}
}

func (dispatcher *Dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(almondcross.RenewInterval)
	timer.Stop()
	defer timer.Stop()
	defer dispatcher.endTerm()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-dispatcher.messages.Messages():
			if pause, ok := dispatcher.apply(ctx, message); ok {
				timer.Reset(pause)
			}
		case <-timer.C:
			if pause, ok := dispatcher.keepLease(ctx); ok {
				timer.Reset(pause)
			}
		}
	}
}

// apply carries out one message; it returns the time until the lease needs attention when that changed.
func (dispatcher *Dispatcher) apply(ctx context.Context, message almondcross.DispatcherMessage) (time.Duration, bool) {
	switch message := message.(type) {
	case almondcross.AcquireLease:
		dispatcher.wanted = true
		return dispatcher.keepLease(ctx)
	case almondcross.ReleaseLease:
		dispatcher.release(ctx)
	case almondcross.RenewTasks:
		if message.Term() == dispatcher.term {
			dispatcher.named = message.IDs()
		}
	case almondcross.StartTask:
		return dispatcher.start(ctx, message)
	case almondcross.HaltTask:
		return dispatcher.command(ctx, message.Term(), func(ctx context.Context) error {
			return dispatcher.config.Commander.Stop(ctx, dispatcher.target, message.Term(), message.ID(), message.Code())
		})
	case almondcross.CheckpointTask:
		return dispatcher.command(ctx, message.Term(), func(ctx context.Context) error {
			return dispatcher.config.Commander.Checkpoint(ctx, dispatcher.target, message.Term(), message.ID())
		})
	case almondcross.ThrottleTask:
		return dispatcher.command(ctx, message.Term(), func(ctx context.Context) error {
			return dispatcher.config.Commander.Throttle(ctx, dispatcher.target, message.Term(), message.ID(), message.Percent())
		})
	}
	return 0, false
}

// keepLease renews the lease, or tries once to acquire it when there is none; the placer decides
// when to try again.
func (dispatcher *Dispatcher) keepLease(ctx context.Context) (time.Duration, bool) {
	if !dispatcher.wanted {
		return 0, false
	}
	if dispatcher.holding {
		return almondcross.RenewInterval, dispatcher.renew(ctx)
	}
	return almondcross.RenewInterval, dispatcher.acquire(ctx)
}

func (dispatcher *Dispatcher) acquire(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := dispatcher.config.Clock.Now()
	grant, err := dispatcher.config.Commander.Acquire(call, dispatcher.target, dispatcher.config.Members.View().Self().ID())
	if err != nil {
		dispatcher.wanted = false
		dispatcher.put(ctx, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{
			Target: dispatcher.target.Name(), Code: almondcross.CodeTargetLost,
		}))
		return false
	}
	dispatcher.counters.acquired.Inc()
	dispatcher.holding, dispatcher.term = true, grant.Term()
	dispatcher.usableUntil = sent.Add(usableLease)
	dispatcher.named = nil
	dispatcher.put(ctx, almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Target: dispatcher.target, Grant: grant}))
	dispatcher.listen(ctx, grant)
	return true
}

// renew reports whether the lease was extended. After a renewal without an answer none is sent
// under the same term, so that at most one renewal can reach the worker late.
func (dispatcher *Dispatcher) renew(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := dispatcher.config.Clock.Now()
	renewal, err := dispatcher.config.Commander.Renew(call, dispatcher.target, dispatcher.term, dispatcher.named)
	if err != nil {
		dispatcher.lose(ctx, err)
		return false
	}
	dispatcher.counters.renewed.Inc()
	dispatcher.usableUntil = sent.Add(usableLease)
	dispatcher.put(ctx, almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
		Target: dispatcher.target.Name(), Term: dispatcher.term, Renewal: renewal, Named: dispatcher.named,
	}))
	return true
}

func (dispatcher *Dispatcher) start(ctx context.Context, message almondcross.StartTask) (time.Duration, bool) {
	answer := almondcross.StartAnsweredConfig{
		Target: dispatcher.target.Name(), Term: message.Term(),
		ID: message.Task().ID(), Attempt: message.Task().Attempt(), Accepted: true,
	}
	if message.Term() != dispatcher.term || !dispatcher.holding {
		// The placer was told of the end of that term and knows that the start was not answered.
		return 0, false
	}
	if !dispatcher.usable(message.Term()) {
		dispatcher.lose(ctx, almondcross.ErrTermStale)
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := dispatcher.config.Commander.Start(call, dispatcher.target, message.Term(), message.Task())
	switch {
	case err == nil:
		dispatcher.counters.started.Inc()
	case errors.Is(err, almondcross.ErrTargetRefused), errors.Is(err, almondcross.ErrTargetLeaving):
		dispatcher.counters.refused.Inc()
		answer.Accepted, answer.Code = false, refusalCode(err)
	default:
		// The term ended, or whether the task runs is not known; the inventory of the next grant tells.
		dispatcher.lose(ctx, err)
		return 0, false
	}
	dispatcher.put(ctx, almondcross.NewStartAnswered(answer))
	return 0, false
}

func refusalCode(err error) almondcross.Code {
	if errors.Is(err, almondcross.ErrTargetLeaving) {
		return almondcross.CodeStopping
	}
	return almondcross.CodeTaskFailed
}

// command sends a command to a running task; without an answer the term ends.
func (dispatcher *Dispatcher) command(
	ctx context.Context, term almondcross.Term, call func(context.Context) error,
) (time.Duration, bool) {
	if !dispatcher.usable(term) {
		return 0, false
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := call(limited)
	if err == nil || errors.Is(err, almondcross.ErrTargetRefused) {
		return 0, false
	}
	dispatcher.lose(ctx, err)
	return 0, false
}

func (dispatcher *Dispatcher) usable(term almondcross.Term) bool {
	return dispatcher.holding && term == dispatcher.term && dispatcher.config.Clock.Now().Before(dispatcher.usableUntil)
}

// lose ends the current term without the worker's consent.
func (dispatcher *Dispatcher) lose(ctx context.Context, err error) {
	if !dispatcher.holding || ctx.Err() != nil {
		return
	}
	dispatcher.counters.lapsed.Inc()
	dispatcher.config.Logger.WithFields(logrus.Fields{"target": dispatcher.target.Name()}).WithError(err).Warn("lease lost")
	dispatcher.report(ctx, almondcross.CodeTargetLost)
}

func (dispatcher *Dispatcher) release(ctx context.Context) {
	dispatcher.wanted = false
	if !dispatcher.holding {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := dispatcher.config.Commander.Release(call, dispatcher.target, dispatcher.term); err != nil {
		dispatcher.config.Logger.WithField("target", dispatcher.target.Name()).WithError(err).Warn("lease not released, it will expire")
	}
	dispatcher.report(ctx, almondcross.CodeNone)
}

// report tells the placer that the term ended.
func (dispatcher *Dispatcher) report(ctx context.Context, code almondcross.Code) {
	term := dispatcher.term
	dispatcher.wanted = false
	dispatcher.endTerm()
	dispatcher.put(ctx, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{
		Target: dispatcher.target.Name(), Term: term, Code: code,
	}))
}

// endTerm stops the listener and waits for it, so that no event of an old term follows its end.
func (dispatcher *Dispatcher) endTerm() {
	dispatcher.holding, dispatcher.named = false, nil
	if dispatcher.stopListen != nil {
		dispatcher.stopListen()
		dispatcher.listeners.Wait()
		dispatcher.stopListen = nil
	}
}

// put waits for room in the placer's ring: a report must not be lost.
func (dispatcher *Dispatcher) put(ctx context.Context, message almondcross.PlacerMessage) {
	if err := dispatcher.config.Placer.Put(ctx, message); err != nil && ctx.Err() == nil {
		dispatcher.config.Logger.WithError(err).Error("report to the placer lost")
	}
}
