package connector_test

import (
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/encoder"
)

// frameLimit allows messages of up to 100,000 bytes in all, with the copies of their buffers.
type frameLimit struct{ used, taken atomic.Int64 }

func (framelimit *frameLimit) Take(_, more int64) bool {
	if framelimit.used.Load()+more > 100_000 {
		return false
	}
	framelimit.used.Add(more)
	framelimit.taken.Add(more)
	return true
}

func (framelimit *frameLimit) Return(amount int64) { framelimit.used.Add(-amount) }

// Guards against large messages that are read without a reservation, that keep it, or that never end while pongs arrive.
func TestLargeMessagesAreReserved(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	scheduler, limit := newEndpoint(), &frameLimit{}
	hub := connector.NewHub(connector.HubConfig{
		Host: "h-1", Codec: codec, Sink: scheduler.messages, Relay: scheduler.relayed, Routes: scheduler.routes, Frames: limit, Clock: clock{}, Log: discardLog{},
	})
	server := httptest.NewServer(hub)
	defer server.Close()
	dial := func() *websocket.Conn {
		connection, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws"+strings.TrimPrefix(server.URL, "http"), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	hello := func(host string, bytes int) []byte {
		frame, err := codec.EncodeLink(almondcross.NewHostHello(almondcross.HostHelloConfig{Host: host, Address: strings.Repeat("x", bytes)}))
		require.NoError(t, err)
		return frame
	}
	ended := func(connection *websocket.Conn) bool {
		_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _, err := connection.ReadMessage()
		var netError net.Error
		return err != nil && (!errors.As(err, &netError) || !netError.Timeout()) // The hub closes or resets the connection.
	}
	require.NoError(t, dial().WriteMessage(websocket.BinaryMessage, hello("h-2", 0)))
	require.Equal(t, "h-2", nextMessage[almondcross.HostLinkChanged](t, scheduler).Host())
	require.Zero(t, limit.taken.Load(), "a small message")
	require.NoError(t, dial().WriteMessage(websocket.BinaryMessage, hello("h-3", 50_000)))
	require.Equal(t, "h-3", nextMessage[almondcross.HostLinkChanged](t, scheduler).Host())
	require.GreaterOrEqual(t, limit.taken.Load(), int64(50_000))
	require.Zero(t, limit.used.Load())

	refused := dial()
	_ = refused.WriteMessage(websocket.BinaryMessage, hello("h-4", 200_000)) // It fails if the hub has closed the link by then.
	require.True(t, ended(refused))
	require.Zero(t, limit.used.Load())

	endless := dial()
	writer, err := endless.NextWriter(websocket.BinaryMessage)
	require.NoError(t, err)
	_, err = writer.Write(make([]byte, 40_000)) // More than the buffer of the writer, so that a fragment is sent.
	require.NoError(t, err)
	closed := make(chan bool, 1)
	go func() { closed <- ended(endless) }()
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.After(15 * time.Second); ; {
		select {
		case hasEnded := <-closed:
			require.True(t, hasEnded)
			require.Zero(t, limit.used.Load())
			return
		case <-ticker.C:
			_ = endless.WriteControl(websocket.PongMessage, nil, time.Now().Add(time.Second)) // It fails once the link is closed.
		case <-deadline:
			require.Fail(t, "the link is open in spite of its endless message")
		}
	}
}
