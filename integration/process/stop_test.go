package process_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/encoder"
)

const (
	// stopGrace is the stop_grace of the hosts; stopMargin is the additional time that assembler/stop.go allows.
	stopGrace  = 5 * time.Second
	stopMargin = 15 * time.Second
)

// startBalancedLoad starts a load behind a load balancer that sends requests to ready hosts only. Both the
// attempt timeout and the drain time exceed requestTimeout, so an attempt without a response was cut off.
func startBalancedLoad(cell *cell, prefix string, payments int, balancer *balancer) load {
	return cell.startLoad(loadConfig{
		prefix: prefix, interval: 15 * time.Millisecond, paymentPercent: payments, longMS: 3000, longPercent: 3,
		drainTime: 21 * time.Second, attemptTimeout: time.Minute, pick: balancer.pick,
	})
}

// TestPlannedStop guards against requests that are cut off or get a wrong response when a host is stopped
// with short and long work in flight, both with the log up and with the log down.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	load := startBalancedLoad(cell, "stop", 15, newBalancer(ctx, cell))
	<-time.After(time.Second)
	victim := cell.random.IntN(len(cell.hosts))
	cell.stops = append(cell.stops, cell.hosts[victim].stop())
	cell.injectedFaults["SIGTERM"]++
	cell.hosts[victim].start()
	cell.awaitReady(cell.hosts[victim])

	cell.setLogFaults(encoder.PlatformFaults{Down: true})
	<-time.After(500 * time.Millisecond)
	cell.stops = append(cell.stops, cell.hosts[(victim+1)%len(cell.hosts)].stop())
	cell.injectedFaults["SIGTERM with the log down"]++
	cell.setLogFaults(encoder.PlatformFaults{})
	results := load.end()
	cell.requireFinalOutcomes(cell.verifyGuarantees(results), results)
}

// TestRollingRestart guards against requests that are cut off or get a wrong response when all hosts of the
// data centre are restarted one by one under load.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	load := startBalancedLoad(cell, "roll", 15, newBalancer(ctx, cell))
	for _, host := range cell.hosts {
		stop := host.stop()
		cell.stops = append(cell.stops, stop)
		t.Logf("figures: the planned stop of %s took %s", host.name, stop.Ended.Sub(stop.Started))
		require.Less(t, stop.Ended.Sub(stop.Started), stopGrace+stopMargin, "the planned stop of %s took too long", host.name)
		cell.injectedFaults["SIGTERM"]++
		host.start()
		cell.awaitReady(host)
	}
	results := load.end()
	cell.requireFinalOutcomes(cell.verifyGuarantees(results), results)
}
