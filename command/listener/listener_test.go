package listener_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/command/listener"
	"github.com/almondcross/almondcross/ring"
)

// limit is a limiter of an amount.
type limit struct {
	allowed int64
	used    atomic.Int64
}

func (limit *limit) Take(_, more int64) bool {
	if limit.used.Load()+more > limit.allowed {
		return false
	}
	limit.used.Add(more)
	return true
}

func (limit *limit) Return(amount int64) { limit.used.Add(-amount) }

// Guards against a refused client that gets no answer or keeps its connection, a place that is returned twice or not at
// all, and a client that holds the server by not reading.
func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	opened, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := ring.New[listener.Refused](ring.Config{Name: "refused", Capacity: 1})
	go func() { _ = listener.NewRefuser(refused).Run(ctx) }()
	limit, unread := &limit{allowed: 2}, atomic.Int64{}
	limited := listener.New(listener.Config{
		Listener: opened.(*net.TCPListener), Limiter: limit, Headers: limit, Refusal: []byte("refused"), Refuser: refused, OnUnread: func() { unread.Add(1) }, //nolint:forcetypeassert // It was opened as TCP.
	})
	defer func() { _ = limited.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			connection, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- connection
		}
	}()
	dial := func() net.Conn {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", limited.Addr().String())
		require.NoError(t, err)
		return connection
	}
	first, second := dial(), dial()
	defer func() { _, _ = first.Close(), second.Close() }()
	served := <-accepted
	slow := <-accepted
	answer, err := io.ReadAll(dial())
	require.NoError(t, err)
	require.Equal(t, "refused", string(answer))

	require.NoError(t, slow.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = slow.Write(make([]byte, 64<<20))
	require.Error(t, err)
	require.Equal(t, int64(1), unread.Load())

	require.NoError(t, served.Close())
	require.Error(t, served.Close())
	require.Equal(t, int64(1), limit.used.Load())
	third := dial()
	defer func() { _ = third.Close() }()
	<-accepted
}

// Guards against headers whose decoded lines are not counted, or not returned after the answer, against bodies that count as
// headers, and against a client without room that gets no answer.
func TestHeaderLinesAreReserved(t *testing.T) {
	opened, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connections, headers := &limit{allowed: 1}, &limit{allowed: 100_000}
	limited := listener.New(listener.Config{
		Listener: opened.(*net.TCPListener), Limiter: connections, Headers: headers, Refusal: []byte("refused"), //nolint:forcetypeassert // It was opened as TCP.
	})
	defer func() { _ = limited.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", limited.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	served, err := limited.Accept()
	require.NoError(t, err)
	receive := func(lines int) error {
		_, err := io.WriteString(client, strings.Repeat("a\r\n", lines))
		require.NoError(t, err)
		_, err = io.ReadFull(served, make([]byte, 3*lines))
		return err
	}
	require.NoError(t, receive(32))
	require.Zero(t, headers.used.Load(), "an ordinary request")
	require.NoError(t, receive(100))
	require.GreaterOrEqual(t, headers.used.Load(), int64(100*200))
	held := headers.used.Load()
	listener.SetPhase(served, listener.PhaseAnswer)
	require.NoError(t, receive(1000))
	require.Equal(t, held, headers.used.Load(), "a body")
	listener.SetPhase(served, listener.PhaseHeaders)
	require.Zero(t, headers.used.Load())
	require.NoError(t, receive(300))
	require.Error(t, receive(1000))
	answer := make([]byte, len("refused"))
	_, err = io.ReadFull(client, answer)
	require.NoError(t, err)
	require.Equal(t, "refused", string(answer))
	require.NoError(t, served.Close())
	require.Zero(t, headers.used.Load())
	require.Zero(t, connections.used.Load())
}
