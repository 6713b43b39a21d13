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
	// stopMargin is the time that a planned stop takes beside the grace for requests.
	stopMargin = 15 * time.Second
	// answerMargin is the time in which callers are answered after the grace.
	answerMargin = 2 * time.Second
	// balancerDelay is the time in which the balancer sees that the host is not ready; requests
	// that arrive meanwhile are served.
	balancerDelay = time.Second
	// drainLimit bounds the wait for handed-over keys and released targets.
	drainLimit = 3 * time.Second
	// pollInterval is the time between two looks at the targets still held during a stop.
	pollInterval = 20 * time.Millisecond
	// dutiesLimit bounds the wait for the duties to end.
	dutiesLimit = 3 * time.Second
)

// entryParts are the parts of an entry host that run.
type entryParts struct {
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

func runEntry(lifecycle fx.Lifecycle, parts entryParts) {
	lifecycle.Append(fx.Hook{OnStart: parts.start, OnStop: parts.stop})
}

func (entryparts entryParts) start(ctx context.Context) error {
	servers, err := entryparts.Servers.Listen(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for _, appender := range entryparts.Appenders.all() {
		entryparts.Duties.Start(NamedDuty{Name: "appender", Duty: appender})
	}
	entryparts.Duties.Start(
		NamedDuty{"linker", entryparts.Linker}, NamedDuty{"registrar", entryparts.Registrar},
		NamedDuty{"placer", entryparts.Placer}, NamedDuty{"coordinator", entryparts.Coordinator},
		NamedDuty{"cataloguer", entryparts.Cataloguer}, NamedDuty{"catalogue loader", entryparts.Loader},
		NamedDuty{"claimer", entryparts.Claimer}, NamedDuty{"claim tail", entryparts.ClaimTail},
		NamedDuty{"accountant", entryparts.Accountant}, NamedDuty{"retriever", entryparts.Retriever}, NamedDuty{"roller", entryparts.Roller},
		NamedDuty{"live-list watcher", entryparts.Watcher},
	)
	entryparts.Duties.Start(servers...)
	entryparts.Logger.WithField("listen", entryparts.Settings.Listen()).Info("entry host started")
	return nil
}

// stop is the planned stop of docs/design.md 3.8; no step needs the log.
func (entryparts entryParts) stop(ctx context.Context) error {
	entryparts.Logger.Info("planned stop begins")
	entryparts.Inspector.SetStopping()
	entryparts.leave(ctx, false)
	_ = entryparts.Rings.Coordinator.Put(ctx, almondcross.DrainCoordinator{})
	wait(ctx, balancerDelay, nil)
	entryparts.Servers.StopPublic(entryparts.Settings.StopGrace())
	wait(ctx, drainLimit, entryparts.Coordinator.Drained())
	_ = entryparts.Rings.Placer.Put(ctx, almondcross.DrainPlacer{})
	entryparts.await(ctx, func() bool { return len(entryparts.Placer.HeldTargets()) == 0 })
	// The ends of tasks that this host has read from workers exist nowhere else.
	entryparts.await(ctx, func() bool { return entryparts.Linker.Undelivered() == 0 })
	entryparts.leave(ctx, true)
	wait(ctx, answerMargin/4, nil)
	entryparts.Duties.Stop(dutiesLimit)
	entryparts.Manager.Wait()
	entryparts.Logger.Info("planned stop complete")
	return nil
}

func (entryparts entryParts) leave(ctx context.Context, final bool) {
	message := almondcross.NewLeaveView(almondcross.LeaveViewConfig{Final: final})
	_ = entryparts.Rings.Registrar.Put(ctx, message)
}

// await waits until a condition holds, up to the drain limit: no target is held, so that peers can
// acquire them at once, or nothing is left to deliver.
func (entryparts entryParts) await(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	limit := time.NewTimer(drainLimit)
	defer limit.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// wait returns after a time, or earlier when done is closed or the context ends.
func wait(ctx context.Context, length time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	case <-ctx.Done():
	}
}
