package reserver_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/standin/reserver"
)

// Guards against cells that get the same address, so that the processes of one find the servers of another.
func TestHostsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		host := reserver.NewHost()
		require.False(t, seen[host], host)
		seen[host] = true
		require.True(t, netip.MustParseAddr(host).IsLoopback(), host)
		require.NotEqual(t, "127.0.0.1", host)
	}
	reservation, err := reserver.Reserve(reserver.NewHost())
	require.NoError(t, err)
	require.NoError(t, reservation.Release())
}
