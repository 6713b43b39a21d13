package assembler

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/configurator"
)

const (
	// resignLimit bounds the wait for the end of the epoch in the journal.
	resignLimit = time.Second
	// balancerPart is the part of the grace in which the balancer sees that the host is not ready, and
	// in which it goes on taking requests.
	balancerPart = 0.5
	// stopReserve is kept of the grace for the end of the process.
	stopReserve = 700 * time.Millisecond
	// logDrain is the time in which the last lines are written.
	logDrain = 300 * time.Millisecond
)

// stop is the planned stop: the host resigns as scheduler at once, goes on answering while the balancer
// takes it out of rotation, and then ends the connections that are idle.
func (schedulerparts schedulerParts) stop(ctx context.Context) error {
	grace := schedulerparts.Settings.StopGrace()
	began := time.Now()
	schedulerparts.Servers.stopping.Store(true)
	schedulerparts.Log.Record("stopping", almondcross.Millis("grace_ms", grace))
	_ = schedulerparts.Rings.messages.Put(ctx, almondcross.StopScheduling{}) // Without it the others notice the silence.
	wait(ctx, resignLimit, schedulerparts.Scheduler.Resigned())
	schedulerparts.Servers.callers.SetKeepAlivesEnabled(false)
	wait(ctx, time.Duration(float64(grace)*balancerPart)-time.Since(began), nil)
	limited, cancel := context.WithTimeout(ctx, grace-stopReserve-time.Since(began))
	defer cancel()
	err := schedulerparts.Servers.callers.Shutdown(limited)
	schedulerparts.Log.Record("stopped", almondcross.Millis("after_ms", time.Since(began)), almondcross.Text("reason", failure(err)))
	for _, server := range []*http.Server{schedulerparts.Servers.ready, schedulerparts.Servers.metrics, schedulerparts.Servers.links} {
		_ = server.Close() // The process ends next.
	}
	schedulerparts.Duties.Stop(logDrain)
	return nil
}

func failure(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// watchSettings checks the settings file when the process is told that it has changed. The addresses and
// limits in it are used from the start of the process, so a change takes effect with the next start.
func (schedulerparts schedulerParts) watchSettings(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			changed, err := configurator.LoadScheduler(string(schedulerparts.Path))
			same := "no"
			if err == nil && changed == schedulerparts.Settings {
				same = "yes"
			}
			schedulerparts.Log.Record("settings_reloaded", almondcross.Text("same", same), almondcross.Text("reason", failure(err)))
		}
	}
}
