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
	// resignTimeout bounds the wait until the end of this host's epoch is in the journal.
	resignTimeout = time.Second
	// balancerFraction is the fraction of the grace period in which the host still accepts requests while the
	// load balancer detects that it is not ready.
	balancerFraction = 0.5
	// exitReserve is the time at the end of the grace period that is reserved for the exit of the process.
	exitReserve = 700 * time.Millisecond
	// logFlushTimeout bounds the time for writing the last log lines.
	logFlushTimeout = 300 * time.Millisecond
)

// stop shuts the host down gracefully: the host resigns as scheduler at once, continues to serve requests while the
// load balancer takes it out of rotation, and then closes its connections once they are idle.
func (schedulerhost schedulerHost) stop(ctx context.Context) error {
	grace := schedulerhost.Settings.StopGrace()
	startTime := time.Now()
	schedulerhost.Servers.stopping.Store(true)
	schedulerhost.Log.Record("stopping", almondcross.Millis("grace_ms", grace))
	_ = schedulerhost.Rings.messages.Put(ctx, almondcross.StopScheduling{}) // If it fails, the other hosts detect by timeout that this one no longer schedules.
	wait(ctx, resignTimeout, schedulerhost.Scheduler.Resigned())
	schedulerhost.Servers.callers.SetKeepAlivesEnabled(false)
	wait(ctx, time.Duration(float64(grace)*balancerFraction)-time.Since(startTime), nil)
	shutdownCtx, cancel := context.WithTimeout(ctx, grace-exitReserve-time.Since(startTime))
	defer cancel()
	err := schedulerhost.Servers.callers.Shutdown(shutdownCtx)
	schedulerhost.Log.Record("stopped", almondcross.Millis("after_ms", time.Since(startTime)), almondcross.Text("reason", errorText(err)))
	for _, server := range []*http.Server{schedulerhost.Servers.ready, schedulerhost.Servers.metrics, schedulerhost.Servers.links} {
		_ = server.Close() // The process exits next, so an error has no effect.
	}
	schedulerhost.Duties.Stop(logFlushTimeout)
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// watchSettings checks the settings file on SIGHUP and logs whether it is valid and unchanged. The process reads
// the addresses and limits only at its start, so a change takes effect with the next start.
func (schedulerhost schedulerHost) watchSettings(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			reloaded, err := configurator.LoadScheduler(string(schedulerhost.Path))
			same := "no"
			if err == nil && reloaded == schedulerhost.Settings {
				same = "yes"
			}
			schedulerhost.Log.Record("settings_reloaded", almondcross.Text("same", same), almondcross.Text("reason", errorText(err)))
		}
	}
}
