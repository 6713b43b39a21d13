package assembler

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/accountant"
	"github.com/almondcross/almondcross/command/cataloguer"
	"github.com/almondcross/almondcross/command/claimer"
	"github.com/almondcross/almondcross/command/coordinator"
	"github.com/almondcross/almondcross/command/dispatcher"
	"github.com/almondcross/almondcross/command/linker"
	"github.com/almondcross/almondcross/command/placer"
	"github.com/almondcross/almondcross/command/registrar"
	"github.com/almondcross/almondcross/command/roller"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/query/inspector"
	"github.com/almondcross/almondcross/query/retriever"
	"github.com/almondcross/almondcross/query/watcher"
)

const (
	startTimeout = 15 * time.Second
	// stopMargin is the time for a graceful shutdown in addition to the grace period for requests.
	stopMargin = 15 * time.Second
	// responseMargin is the time for answering the remaining callers after the grace period.
	responseMargin = 2 * time.Second
	// balancerDelay is the time for the load balancer to detect that the host is not ready. Requests
	// that arrive in this time are served.
	balancerDelay = time.Second
	// drainTimeout bounds each wait of a shutdown: for the transfer of keys, the release of targets and the delivery of messages.
	drainTimeout = 3 * time.Second
	// pollInterval is the interval at which a shutdown checks for leased targets and undelivered messages.
	pollInterval = 20 * time.Millisecond
	// dutiesTimeout bounds the wait for the duties to stop.
	dutiesTimeout = 3 * time.Second
)

// entryHost holds the components of an entry host that are started and stopped.
type entryHost struct {
	fx.In

	Settings    configurator.EntrySettings
	Logger      logrus.FieldLogger
	Duties      *Duties
	Rings       Rings
	Appenders   Appenders
	Linker      *linker.Linker
	Registrar   *registrar.Registrar
	Manager     *dispatcher.Manager
	Placer      *placer.Placer
	Coordinator *coordinator.Coordinator
	Cataloguer  *cataloguer.Duty
	Loader      *cataloguer.Loader
	Claimer     *claimer.Duty
	ClaimTail   *claimer.Tail
	Accountant  *accountant.Duty
	Retriever   *retriever.Retriever
	Roller      *roller.Roller
	Watcher     *watcher.Watcher
	Inspector   *inspector.Inspector
	Servers     *Servers
}

func runEntry(lifecycle fx.Lifecycle, host entryHost) {
	lifecycle.Append(fx.Hook{OnStart: host.start, OnStop: host.stop})
}

func (entryhost entryHost) start(ctx context.Context) error {
	serverDuties, err := entryhost.Servers.Listen(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for _, appender := range entryhost.Appenders.all() {
		entryhost.Duties.Start(NamedDuty{Name: "appender", Duty: appender})
	}
	entryhost.Duties.Start(
		NamedDuty{"linker", entryhost.Linker}, NamedDuty{"registrar", entryhost.Registrar},
		NamedDuty{"placer", entryhost.Placer}, NamedDuty{"coordinator", entryhost.Coordinator},
		NamedDuty{"cataloguer", entryhost.Cataloguer}, NamedDuty{"catalogue loader", entryhost.Loader},
		NamedDuty{"claimer", entryhost.Claimer}, NamedDuty{"claim tail", entryhost.ClaimTail},
		NamedDuty{"accountant", entryhost.Accountant}, NamedDuty{"retriever", entryhost.Retriever}, NamedDuty{"roller", entryhost.Roller},
		NamedDuty{"live-list watcher", entryhost.Watcher},
	)
	entryhost.Duties.Start(serverDuties...)
	entryhost.Logger.WithField("listen", entryhost.Settings.Listen()).Info("entry host started")
	return nil
}

// stop shuts the host down gracefully, as docs/design.md 3.8 describes. No step depends on the log.
func (entryhost entryHost) stop(ctx context.Context) error {
	entryhost.Logger.Info("graceful shutdown started")
	entryhost.Inspector.SetStopping()
	entryhost.leaveView(ctx, false)
	_ = entryhost.Rings.Coordinator.Put(ctx, almondcross.DrainCoordinator{})
	wait(ctx, balancerDelay, nil)
	entryhost.Servers.StopCallers(entryhost.Settings.StopGrace())
	wait(ctx, drainTimeout, entryhost.Coordinator.Drained())
	_ = entryhost.Rings.Placer.Put(ctx, almondcross.DrainPlacer{})
	entryhost.waitUntil(ctx, func() bool { return len(entryhost.Placer.HeldTargets()) == 0 })
	// Only this host has the task results that it has read from workers.
	entryhost.waitUntil(ctx, func() bool { return entryhost.Linker.Undelivered() == 0 })
	entryhost.leaveView(ctx, true)
	// Gives the duties time to send the message before they are stopped.
	wait(ctx, responseMargin/4, nil)
	entryhost.Duties.Stop(dutiesTimeout)
	entryhost.Manager.Wait()
	entryhost.Logger.Info("graceful shutdown complete")
	return nil
}

// leaveView announces a graceful shutdown to the peers. If final is set, the peers remove this host from their views.
func (entryhost entryHost) leaveView(ctx context.Context, final bool) {
	message := almondcross.NewLeaveView(almondcross.LeaveViewConfig{Final: final})
	_ = entryhost.Rings.Registrar.Put(ctx, message)
}

// waitUntil polls a condition until it holds, drainTimeout is over or the context ends. The conditions are that all
// targets are released, so that peers can lease them at once, and that all messages are delivered.
func (entryhost entryHost) waitUntil(ctx context.Context, condition func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// wait returns after the timeout, or earlier when done is closed or the context ends.
func wait(ctx context.Context, timeout time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-ctx.Done():
	}
}
