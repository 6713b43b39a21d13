package process_test

import (
	"context"
	"testing"
	"time"
)

// TestPausedHost guards against a paused entry host that acts on leases, links or claims that
// expired during its pause: it pauses one host for less and for more than the worker lease, and two
// hosts one after the other.
func TestPausedHost(t *testing.T) {
	t.Parallel()
	pauseHosts(t, 40*time.Millisecond)
}

// TestPausedHostBacklog guards against callers that get no answer after the pauses because the
// requests that were held back wait at a host without targets, which passes them on too slowly.
func TestPausedHostBacklog(t *testing.T) {
	t.Parallel()
	pauseHosts(t, 15*time.Millisecond)
}

func pauseHosts(t *testing.T, gap time.Duration) {
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	flow := cell.send(traffic{
		prefix: "pause", gap: gap, payments: 20, longMS: 3000, longShare: 10, patience: 20 * time.Second, pick: cell.roundRobin,
	})
	order := cell.random.Perm(len(cell.hosts))
	for _, pause := range []struct {
		host   int
		length time.Duration
	}{{order[0], 2200 * time.Millisecond}, {order[0], 6 * time.Second}, {order[1], 2200 * time.Millisecond}, {order[2], 2200 * time.Millisecond}} {
		host := cell.hosts[pause.host]
		<-time.After(time.Duration(200+cell.random.IntN(400)) * time.Millisecond)
		host.pause(pause.length)
		cell.injected["SIGSTOP of "+pause.length.String()]++
	}
	for _, host := range cell.hosts {
		cell.awaitReady(host)
	}
	results := flow.end()
	cell.requireFinal(cell.verify(results), results)
}
