package distributor_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/distributor"
)

func host(name, dataCentre string, strength int) almondcross.RelayHost {
	return almondcross.NewRelayHost(almondcross.RelayHostConfig{Name: name, DataCentre: dataCentre, Strength: strength})
}

// cell returns two data centres with strong hosts and one without; the hosts are sorted by name.
func cell() []almondcross.RelayHost {
	var hosts []almondcross.RelayHost
	for _, dataCentre := range []string{"a", "b", "c"} {
		for index := range 20 {
			strength := 20
			if index >= 17 && dataCentre != "c" {
				strength = 100
			}
			hosts = append(hosts, host(fmt.Sprintf("%s-%02d", dataCentre, index), dataCentre, strength))
		}
	}
	return hosts
}

// Guards against weak hosts that relay while strong ones are there, and against more relays than each data centre needs: the
// scheduler sends each relay all views.
func TestRelaysAreStrongHostsOfEachDataCentre(t *testing.T) {
	require.Equal(t, []string{"a-17", "a-18", "b-17", "b-18"}, distributor.ByDataCentre{}.Relays(cell(), nil))
	require.Equal(t, []string{"x-1"}, distributor.ByDataCentre{}.Relays([]almondcross.RelayHost{host("x-1", "x", 30), host("x-2", "x", 20)}, nil),
		"a small data centre has one, the strongest")
	require.Empty(t, distributor.ByDataCentre{}.Relays(nil, nil))
}

// Guards against relays that are replaced although they are fit, which costs each viewer a new link.
func TestRelaysStayWhileTheyAreStrong(t *testing.T) {
	require.Equal(t, []string{"a-18", "a-19", "b-17", "b-18"}, distributor.ByDataCentre{}.Relays(cell(), []string{"a-19", "b-00", "a-18"}))
}

// Guards against a relay with more viewers than its share, and against views that cross data centres.
func TestViewersAreSpreadOverTheRelaysOfTheirDataCentre(t *testing.T) {
	relay := func(name, dataCentre string, viewers int, ready bool) almondcross.ViewRelay {
		return almondcross.NewViewRelay(almondcross.ViewRelayConfig{Host: host(name, dataCentre, 100), Viewers: viewers, Ready: ready})
	}
	relays := []almondcross.ViewRelay{relay("a-1", "a", 8, true), relay("a-2", "a", 7, true), relay("a-3", "a", 0, false), relay("b-1", "b", 1, true)}
	for viewer, expected := range map[string]string{"a": "a-2", "b": "b-1", "c": "b-1"} {
		chosen, found := distributor.ByDataCentre{}.Assign(host("v", viewer, 10), relays)
		require.True(t, found)
		require.Equal(t, expected, chosen, "viewer of %s", viewer)
	}
	_, found := distributor.ByDataCentre{}.Assign(host("v", "a", 10), nil)
	require.False(t, found)
}
