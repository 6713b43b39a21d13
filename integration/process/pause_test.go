package process_test

import (
	"context"
	"testing"
	"time"
)

// TestPausedHost guards against a paused entry host that acts on leases, links or claims that
// expired during its pause. It pauses one host for less and for more than the worker lease, and then two
// hosts one after the other.
func TestPausedHost(t *testing.T) {
	t.Parallel()
	checkPausedHosts(t, 40*time.Millisecond)
}

// TestPausedHostBacklog guards against callers that get no response after the pauses because the backlog
// of requests waits at a host without targets, which forwards it too slowly.
func TestPausedHostBacklog(t *testing.T) {
	t.Parallel()
	checkPausedHosts(t, 15*time.Millisecond)
}

func checkPausedHosts(t *testing.T, interval time.Duration) {
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	load := cell.startLoad(loadConfig{
		prefix: "pause", interval: interval, paymentPercent: 20, longMS: 3000, longPercent: 10, drainTime: 20 * time.Second, pick: cell.roundRobin,
	})
	hostOrder := cell.random.Perm(len(cell.hosts))
	for _, pause := range []struct {
		host   int
		length time.Duration
	}{{hostOrder[0], 2200 * time.Millisecond}, {hostOrder[0], 6 * time.Second}, {hostOrder[1], 2200 * time.Millisecond}, {hostOrder[2], 2200 * time.Millisecond}} {
		host := cell.hosts[pause.host]
		<-time.After(time.Duration(200+cell.random.IntN(400)) * time.Millisecond)
		host.pause(pause.length)
		cell.injectedFaults["SIGSTOP of "+pause.length.String()]++
	}
	for _, host := range cell.hosts {
		cell.awaitReady(host)
	}
	results := load.end()
	cell.requireFinalOutcomes(cell.verifyGuarantees(results), results)
}
