package reserver_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/standin/reserver"
)

// Guards against a reserved port that is given to another reservation, to a listener on port 0 or to an outgoing
// connection. Of ports that were only found free, some 2% would be among 600 others.
func TestReservedPortIsGivenToNoOtherSocket(t *testing.T) {
	reserved := map[string]bool{}
	for range 600 {
		reservation, err := reserver.Reserve("127.0.0.1")
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, reservation.Release()) })
		require.False(t, reserved[reservation.Address()], "%s is reserved twice", reservation.Address())
		reserved[reservation.Address()] = true
	}
	target, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	for range 600 {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		require.False(t, reserved[listener.Addr().String()], "%s is given to a listener", listener.Addr())
		connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", target.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		require.False(t, reserved[connection.LocalAddr().String()], "%s is given to a connection", connection.LocalAddr())
	}
}

// Guards against a reservation that keeps its process from listening, also after a restart, and against one that
// accepts connections before.
func TestProcessListensOnReservedPort(t *testing.T) {
	reservation, err := reserver.Reserve("127.0.0.1")
	require.NoError(t, err)
	defer func() { require.NoError(t, reservation.Release()) }()
	_, err = new(net.Dialer).DialContext(t.Context(), "tcp", reservation.Address())
	require.Error(t, err)
	for range 2 {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", reservation.Address())
		require.NoError(t, err)
		connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", reservation.Address())
		require.NoError(t, err)
		accepted, err := listener.Accept()
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		require.NoError(t, accepted.Close())
		require.NoError(t, connection.Close())
	}
}

// Guards against a host name or an IPv6 address that is reserved on another address than the one that was asked for.
func TestReserveRefusesOtherAddresses(t *testing.T) {
	for _, host := range []string{"localhost", "::1", ""} {
		_, err := reserver.Reserve(host)
		require.Error(t, err, host)
	}
}
