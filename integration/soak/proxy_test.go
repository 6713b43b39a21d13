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

// mode is what a proxy does with bytes.
type mode int32

const (
	pass    mode = iota
	silence      // silence holds all bytes back, as a partition does.
	oneWay       // oneWay holds answers back.
	slow         // slow delays all bytes.
)

const slowBy = 60 * time.Millisecond

// proxy stands before an address.
type proxy struct {
	address string
	target  string
	mode    atomic.Int32
	resets  atomic.Int64 // resets counts how often all connections were reset.
}

func newProxy(ctx context.Context, t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	proxy := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(ctx, connection)
		}
	}()
	return proxy
}

func (proxy *proxy) serve(ctx context.Context, from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := new(net.Dialer).DialContext(ctx, "tcp", proxy.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	go func() { proxy.copy(ctx, to, from, silence); done <- struct{}{} }()
	go func() { proxy.copy(ctx, from, to, oneWay); done <- struct{}{} }()
	<-done
}

// copy passes bytes on; blocked is the mode that, beside silence, holds this direction back.
func (proxy *proxy) copy(ctx context.Context, to io.Writer, from net.Conn, blocked mode) {
	buffer, resets := make([]byte, 32<<10), proxy.resets.Load()
	for ctx.Err() == nil {
		_ = from.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // The copy looks at the mode again and again.
		count, err := from.Read(buffer)
		if proxy.resets.Load() != resets {
			return
		}
		if count > 0 {
			for now := mode(proxy.mode.Load()); now == silence || now == blocked; now = mode(proxy.mode.Load()) {
				if ctx.Err() != nil || proxy.resets.Load() != resets {
					return
				}
				time.Sleep(5 * time.Millisecond) //nolint:forbidigo // A fault of this length.
			}
			if mode(proxy.mode.Load()) == slow {
				time.Sleep(slowBy) //nolint:forbidigo // A fault of this length.
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) {
			return
		}
	}
}

// during sets a mode for a time.
func (proxy *proxy) during(ctx context.Context, fault mode, length time.Duration) {
	proxy.mode.Store(int32(fault))
	time.AfterFunc(length, func() {
		if ctx.Err() == nil {
			proxy.mode.CompareAndSwap(int32(fault), int32(pass))
		}
	})
}
