package listener

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

const (
	// refusalWriteTimeout bounds the write of a refusal, which does not block on a new connection.
	refusalWriteTimeout = 50 * time.Millisecond
	// lingerDuration is the time in which a refused client can read the refusal.
	lingerDuration = 100 * time.Millisecond
)

// Config holds the dependencies of a listener.
type Config struct {
	Listener *net.TCPListener
	Limiter  almondcross.Limiter // Limiter limits the open connections.
	Headers  almondcross.Limiter // Headers limits the bytes of decoded headers; the server reports phases with SetPhase.
	Refusal  []byte              // Refusal is what a client receives whose connection is refused.
	Refuser  almondcross.Sink[Refused]
	// OnUnread is called when a client did not read what was sent to it within the write timeout.
	OnUnread func()
}

// Listener is a net.Listener whose open connections are limited.
type Listener struct{ config Config }

// New returns a listener.
func New(config Config) *Listener { return &Listener{config: config} }

// Accept returns the next connection that the limit allows.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.config.Listener.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if listener.config.Limiter.Take(0, 1) {
			return &connection{
				TCPConn: accepted, headers: listener.config.Headers, refusal: listener.config.Refusal, onUnread: listener.config.OnUnread,
				release: sync.OnceFunc(func() { listener.config.Limiter.Return(1) }),
			}, nil
		}
		listener.refuse(accepted)
	}
}

// Close closes the listener.
func (listener *Listener) Close() error { return errors.Trace(listener.config.Listener.Close()) }

// Addr returns the address of the listener.
func (listener *Listener) Addr() net.Addr { return listener.config.Listener.Addr() }

// refuse sends the refusal and leaves the connection to the refuser, or closes it if too many wait there.
func (listener *Listener) refuse(refused *net.TCPConn) {
	_ = refused.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // If it fails, the connection is broken, and the write fails too.
	_, err := refused.Write(listener.config.Refusal)
	if err == nil {
		err = refused.CloseWrite()
	}
	if err != nil || !listener.config.Refuser.Offer(Refused{connection: refused, closeAt: time.Now().Add(lingerDuration)}) {
		_ = refused.Close() // Nothing is left to do if it fails.
	}
}
