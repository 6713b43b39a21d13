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
	// callTimeout bounds one call to a worker. It is shorter than the lease, so that after a renewal
	// without an answer there is time to acquire the lease again.
	callTimeout = time.Second
	// usableLease is how long the dispatcher sends commands after it sent the last successful acquisition
	// or renewal; the rest of the lease covers clock drift.
	usableLease = almondcross.HolderLease * 9 / 10
)

// Dispatcher is the duty of one target; all its fields belong to that duty.
type Dispatcher struct {
	config         Config
	counters       counters
	target         almondcross.Target
	messages       *ring.Ring[almondcross.DispatcherMessage]
	leaseWanted    bool // leaseWanted is set by AcquireLease and cleared when the lease is released or lost.
	leaseHeld      bool
	term           almondcross.Term
	usableUntil    time.Time
	tasksToRenew   []almondcross.TaskID
	cancelListener context.CancelFunc
	listeners      sync.WaitGroup
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

// apply executes one message. It returns true and the time until the next renewal if the timer must be reset.
func (dispatcher *Dispatcher) apply(ctx context.Context, message almondcross.DispatcherMessage) (time.Duration, bool) {
	switch message := message.(type) {
	case almondcross.AcquireLease:
		dispatcher.leaseWanted = true
		return dispatcher.keepLease(ctx)
	case almondcross.ReleaseLease:
		dispatcher.releaseLease(ctx)
	case almondcross.RenewTasks:
		if message.Term() == dispatcher.term {
			dispatcher.tasksToRenew = message.IDs()
		}
	case almondcross.StartTask:
		return dispatcher.startTask(ctx, message)
	case almondcross.HaltTask:
		return dispatcher.sendCommand(ctx, message.Term(), func(ctx context.Context) error {
			return dispatcher.config.Commander.Stop(ctx, dispatcher.target, message.Term(), message.ID(), message.Code())
		})
	case almondcross.CheckpointTask:
		return dispatcher.sendCommand(ctx, message.Term(), func(ctx context.Context) error {
			return dispatcher.config.Commander.Checkpoint(ctx, dispatcher.target, message.Term(), message.ID())
		})
	case almondcross.ThrottleTask:
		return dispatcher.sendCommand(ctx, message.Term(), func(ctx context.Context) error {
			return dispatcher.config.Commander.Throttle(ctx, dispatcher.target, message.Term(), message.ID(), message.Percent())
		})
	}
	return 0, false
}

// keepLease renews the lease, or tries once to acquire it when there is none. After a failure the placer
// decides when to try again.
func (dispatcher *Dispatcher) keepLease(ctx context.Context) (time.Duration, bool) {
	if !dispatcher.leaseWanted {
		return 0, false
	}
	if dispatcher.leaseHeld {
		return almondcross.RenewInterval, dispatcher.renewLease(ctx)
	}
	return almondcross.RenewInterval, dispatcher.acquireLease(ctx)
}

func (dispatcher *Dispatcher) acquireLease(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := dispatcher.config.Clock.Now()
	grant, err := dispatcher.config.Commander.Acquire(callCtx, dispatcher.target, dispatcher.config.Members.View().Self().ID())
	if err != nil {
		dispatcher.leaseWanted = false
		dispatcher.report(ctx, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{
			Target: dispatcher.target.Name(), Code: almondcross.CodeTargetLost,
		}))
		return false
	}
	dispatcher.counters.acquired.Inc()
	dispatcher.leaseHeld, dispatcher.term = true, grant.Term()
	dispatcher.usableUntil = sent.Add(usableLease)
	dispatcher.tasksToRenew = nil
	dispatcher.report(ctx, almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Target: dispatcher.target, Grant: grant}))
	dispatcher.startListener(ctx, grant)
	return true
}

// renewLease reports whether the lease was extended. After a failed renewal no other one is sent
// under the same term, so that at most one renewal can reach the worker late.
func (dispatcher *Dispatcher) renewLease(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := dispatcher.config.Clock.Now()
	renewal, err := dispatcher.config.Commander.Renew(callCtx, dispatcher.target, dispatcher.term, dispatcher.tasksToRenew)
	if err != nil {
		dispatcher.loseLease(ctx, err)
		return false
	}
	dispatcher.counters.renewed.Inc()
	dispatcher.usableUntil = sent.Add(usableLease)
	dispatcher.report(ctx, almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
		Target: dispatcher.target.Name(), Term: dispatcher.term, Renewal: renewal, RenewedTasks: dispatcher.tasksToRenew,
	}))
	return true
}

func (dispatcher *Dispatcher) startTask(ctx context.Context, message almondcross.StartTask) (time.Duration, bool) {
	answer := almondcross.StartAnsweredConfig{
		Target: dispatcher.target.Name(), Term: message.Term(),
		ID: message.Task().ID(), Attempt: message.Task().Attempt(), Accepted: true,
	}
	if message.Term() != dispatcher.term || !dispatcher.leaseHeld {
		// The end of that term was reported to the placer, which knows that the start was not answered.
		return 0, false
	}
	if !dispatcher.usable(message.Term()) {
		dispatcher.loseLease(ctx, almondcross.ErrTermStale)
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := dispatcher.config.Commander.Start(callCtx, dispatcher.target, message.Term(), message.Task())
	switch {
	case err == nil:
		dispatcher.counters.started.Inc()
	case errors.Is(err, almondcross.ErrTargetRefused), errors.Is(err, almondcross.ErrTargetLeaving):
		dispatcher.counters.refused.Inc()
		answer.Accepted, answer.Code = false, refusalCode(err)
	default:
		// The term ended, or it is unknown whether the task runs; the inventory of the next grant shows it.
		dispatcher.loseLease(ctx, err)
		return 0, false
	}
	dispatcher.report(ctx, almondcross.NewStartAnswered(answer))
	return 0, false
}

func refusalCode(err error) almondcross.Code {
	if errors.Is(err, almondcross.ErrTargetLeaving) {
		return almondcross.CodeStopping
	}
	return almondcross.CodeTaskFailed
}

// sendCommand sends a command for a task. Any error but a refusal by the worker ends the term.
func (dispatcher *Dispatcher) sendCommand(
	ctx context.Context, term almondcross.Term, call func(context.Context) error,
) (time.Duration, bool) {
	if !dispatcher.usable(term) {
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := call(callCtx)
	if err == nil || errors.Is(err, almondcross.ErrTargetRefused) {
		return 0, false
	}
	dispatcher.loseLease(ctx, err)
	return 0, false
}

func (dispatcher *Dispatcher) usable(term almondcross.Term) bool {
	return dispatcher.leaseHeld && term == dispatcher.term && dispatcher.config.Clock.Now().Before(dispatcher.usableUntil)
}

// loseLease ends the current term after a failed call and reports it to the placer.
func (dispatcher *Dispatcher) loseLease(ctx context.Context, err error) {
	if !dispatcher.leaseHeld || ctx.Err() != nil {
		return
	}
	dispatcher.counters.lost.Inc()
	dispatcher.config.Logger.WithFields(logrus.Fields{"target": dispatcher.target.Name()}).WithError(err).Warn("lease lost")
	dispatcher.reportReleased(ctx, almondcross.CodeTargetLost)
}

func (dispatcher *Dispatcher) releaseLease(ctx context.Context) {
	dispatcher.leaseWanted = false
	if !dispatcher.leaseHeld {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := dispatcher.config.Commander.Release(callCtx, dispatcher.target, dispatcher.term); err != nil {
		dispatcher.config.Logger.WithField("target", dispatcher.target.Name()).WithError(err).Warn("lease was not released and will expire")
	}
	dispatcher.reportReleased(ctx, almondcross.CodeNone)
}

// reportReleased ends the term and reports that to the placer.
func (dispatcher *Dispatcher) reportReleased(ctx context.Context, code almondcross.Code) {
	term := dispatcher.term
	dispatcher.leaseWanted = false
	dispatcher.endTerm()
	dispatcher.report(ctx, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{
		Target: dispatcher.target.Name(), Term: term, Code: code,
	}))
}

// endTerm stops the listener and waits for it, so that no event of the term is reported after its end.
func (dispatcher *Dispatcher) endTerm() {
	dispatcher.leaseHeld, dispatcher.tasksToRenew = false, nil
	if dispatcher.cancelListener != nil {
		dispatcher.cancelListener()
		dispatcher.listeners.Wait()
		dispatcher.cancelListener = nil
	}
}

// report waits until the placer's ring has space, because a report must not be lost.
func (dispatcher *Dispatcher) report(ctx context.Context, message almondcross.PlacerMessage) {
	if err := dispatcher.config.Placer.Put(ctx, message); err != nil && ctx.Err() == nil {
		dispatcher.config.Logger.WithError(err).Error("report was not delivered to the placer")
	}
}
