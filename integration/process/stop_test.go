package process_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/encoder"
)

const (
	// stopGrace is the stop_grace of the hosts; stopMargin is what assembler/stop.go allows beside it.
	stopGrace  = 5 * time.Second
	stopMargin = 15 * time.Second
)

// plannedTraffic is load behind a balancer that sends requests to ready hosts. Callers wait for each
// attempt as long as they have patience, so an attempt without an answer was cut.
func plannedTraffic(cell *cell, prefix string, payments int, balancer *balancer) flow {
	return cell.send(traffic{
		prefix: prefix, gap: 15 * time.Millisecond, payments: payments, longMS: 3000, longShare: 3,
		patience: 21 * time.Second, limit: time.Minute, pick: balancer.pick,
	})
}

// TestPlannedStop guards against requests that are cut or answered wrongly when a host is stopped
// with short and long work in flight, with the log up and with the log down.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	flow := plannedTraffic(cell, "stop", 15, newBalancer(ctx, cell))
	<-time.After(time.Second)
	victim := cell.random.IntN(len(cell.hosts))
	cell.stops = append(cell.stops, cell.hosts[victim].stop())
	cell.injected["SIGTERM"]++
	cell.hosts[victim].start()
	cell.awaitReady(cell.hosts[victim])

	cell.switchLog(encoder.PlatformSwitches{Down: true})
	<-time.After(500 * time.Millisecond)
	cell.stops = append(cell.stops, cell.hosts[(victim+1)%len(cell.hosts)].stop())
	cell.injected["SIGTERM with the log down"]++
	cell.switchLog(encoder.PlatformSwitches{})
	results := flow.end()
	cell.requireFinal(cell.verify(results), results)
}

// TestRollingReplacement guards against cut or wrongly answered requests when all hosts of the data
// centre are replaced one by one under load.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	flow := plannedTraffic(cell, "roll", 15, newBalancer(ctx, cell))
	for _, host := range cell.hosts {
		stop := host.stop()
		cell.stops = append(cell.stops, stop)
		t.Logf("figures: the planned stop of %s took %s", host.name, stop.Done.Sub(stop.Begun))
		require.Less(t, stop.Done.Sub(stop.Begun), stopGrace+stopMargin, "the planned stop of %s took too long", host.name)
		cell.injected["SIGTERM"]++
		host.start()
		cell.awaitReady(host)
	}
	results := flow.end()
	cell.requireFinal(cell.verify(results), results)
}
