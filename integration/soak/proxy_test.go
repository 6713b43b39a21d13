package soak_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode is the fault that a proxy injects.
type mode int32

const (
	passThrough    mode = iota
	blockAll            // blockAll blocks both directions, as a network partition does.
	blockResponses      // blockResponses blocks the direction from the target to the client.
	delayAll            // delayAll delays both directions by addedDelay.
)

const addedDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a target address and injects faults.
type proxy struct {
	address  string
	target   atomic.Pointer[string]
	listener atomic.Pointer[net.Listener]
	mode     atomic.Int32
	resets   atomic.Int64 // resets is incremented to close all open connections.
}

func newProxy(ctx context.Context, t *testing.T, target string) *proxy {
	t.Helper()
	proxy := &proxy{address: reserveAddress(t)}
	proxy.target.Store(&target)
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", proxy.address)
	require.NoError(t, err)
	proxy.accept(ctx, listener)
	return proxy
}

// accept serves the connections of a listener until it is closed.
func (proxy *proxy) accept(ctx context.Context, listener net.Listener) {
	proxy.listener.Store(&listener)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(ctx, connection)
		}
	}()
}

// refuseConnections closes the listener and all connections.
func (proxy *proxy) refuseConnections() {
	_ = (*proxy.listener.Load()).Close()
	proxy.resets.Add(1)
}

// acceptConnections listens at the address again. Another socket may have the port for a while.
func (proxy *proxy) acceptConnections(ctx context.Context) {
	for ctx.Err() == nil {
		if listener, err := new(net.ListenConfig).Listen(ctx, "tcp", proxy.address); err == nil {
			proxy.accept(ctx, listener)
			return
		}
		<-time.After(20 * time.Millisecond)
	}
}

func (proxy *proxy) serve(ctx context.Context, from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := new(net.Dialer).DialContext(ctx, "tcp", *proxy.target.Load())
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	go func() { proxy.forward(ctx, to, from, blockAll); done <- struct{}{} }()
	go func() { proxy.forward(ctx, from, to, blockResponses); done <- struct{}{} }()
	<-done
}

// forward copies one direction; blockingMode is the mode that blocks this direction in addition to blockAll. While the direction is
// blocked, neither data nor the end of the connection passes.
func (proxy *proxy) forward(ctx context.Context, to io.Writer, from net.Conn, blockingMode mode) {
	buffer, resets := make([]byte, 32<<10), proxy.resets.Load()
	for ctx.Err() == nil {
		_ = from.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // Short, so that the loop notices a reset.
		count, err := from.Read(buffer)
		timeout, ok := err.(net.Error)
		ended := err != nil && (!ok || !timeout.Timeout())
		if (count > 0 || ended) && !proxy.awaitUnblocked(ctx, blockingMode, resets) || proxy.resets.Load() != resets {
			return
		}
		if count > 0 {
			if mode(proxy.mode.Load()) == delayAll {
				time.Sleep(addedDelay) //nolint:forbidigo // The injected fault is a delay.
			}
			if proxy.resets.Load() != resets {
				return // What was delayed is lost.
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if ended {
			return
		}
	}
}

// awaitUnblocked waits until a direction is not blocked, and reports false if the connections are reset or the context ends before.
func (proxy *proxy) awaitUnblocked(ctx context.Context, blockingMode mode, resets int64) bool {
	for current := mode(proxy.mode.Load()); current == blockAll || current == blockingMode; current = mode(proxy.mode.Load()) {
		if ctx.Err() != nil || proxy.resets.Load() != resets {
			return false
		}
		time.Sleep(5 * time.Millisecond) //nolint:forbidigo // Polls the mode while the direction is blocked.
	}
	return true
}

// injectFault sets a mode for a duration.
func (proxy *proxy) injectFault(ctx context.Context, fault mode, duration time.Duration) {
	proxy.mode.Store(int32(fault))
	time.AfterFunc(duration, func() {
		if ctx.Err() == nil {
			proxy.mode.CompareAndSwap(int32(fault), int32(passThrough))
		}
	})
}

// loseAll blocks both directions for a duration and then closes all connections, so that what was sent meanwhile is lost.
func (proxy *proxy) loseAll(ctx context.Context, duration time.Duration) {
	proxy.mode.Store(int32(blockAll))
	time.AfterFunc(duration, func() {
		if ctx.Err() == nil {
			proxy.resets.Add(1)
			proxy.mode.CompareAndSwap(int32(blockAll), int32(passThrough))
		}
	})
}
