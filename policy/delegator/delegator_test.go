package delegator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/delegator"
)

const workersPerDataCentre = 90

func hosts(removed string) []almondcross.RelayHost {
	var hosts []almondcross.RelayHost
	for _, dataCentre := range []string{"a", "b"} {
		for index := range 16 {
			strength := 20
			if index < 3 {
				strength = 100
			}
			name := fmt.Sprintf("front-%s-%d", dataCentre, index)
			if name != removed {
				hosts = append(hosts, almondcross.NewRelayHost(almondcross.RelayHostConfig{Name: name, DataCentre: dataCentre, Strength: strength}))
			}
		}
	}
	return hosts
}

func choose(t *testing.T, index int, hosts []almondcross.RelayHost) string {
	t.Helper()
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: fmt.Sprintf("w-%d", index), Zone: "a"})
	host, found := delegator.ByDataCentre{}.Choose(worker, hosts)
	require.True(t, found)
	return host
}

// Guards against the load of a large fleet on one host: a share of the workers far above the mean, on a weak host, or
// on a host in another data centre.
func TestWorkersAreSpreadOverTheStrongestHostsOfTheirDataCentre(t *testing.T) {
	counts := map[string]int{}
	for index := range workersPerDataCentre {
		counts[choose(t, index, hosts(""))]++
	}
	require.Len(t, counts, 3)
	for host, count := range counts {
		require.Contains(t, []string{"front-a-0", "front-a-1", "front-a-2"}, host)
		require.LessOrEqual(t, count, 2*workersPerDataCentre/3)
	}
}

// Guards against moving workers between hosts that stay when a host is lost.
func TestOnlyTheWorkersOfALostHostMove(t *testing.T) {
	for index := range workersPerDataCentre {
		before, after := choose(t, index, hosts("")), choose(t, index, hosts("front-a-1"))
		if before != "front-a-1" {
			require.Equal(t, before, after)
		}
		require.NotEqual(t, "front-a-1", after)
	}
}

// Guards against a scheduler that calls all workers of a data centre itself when the hosts there are lost.
func TestWorkerWithoutAHostNearbyGetsAStrongOneElsewhere(t *testing.T) {
	worker := almondcross.NewWorker(almondcross.WorkerConfig{ID: "w", Zone: "c"})
	host, found := delegator.ByDataCentre{}.Choose(worker, hosts(""))
	require.True(t, found)
	require.Contains(t, host, "front-")
	for _, candidate := range hosts("") {
		if candidate.Name() == host {
			require.Equal(t, 100, candidate.Strength())
		}
	}
	weak := []almondcross.RelayHost{almondcross.NewRelayHost(almondcross.RelayHostConfig{Name: "weak", DataCentre: "a"})}
	host, found = delegator.ByDataCentre{}.Choose(worker, weak)
	require.True(t, found, "a host that cannot schedule can still relay")
	require.Equal(t, "weak", host)
	_, found = delegator.ByDataCentre{}.Choose(worker, nil)
	require.False(t, found)
}
