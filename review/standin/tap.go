package main

import (
	"bytes"
	"net"
	"sync"
)

// tapList holds the open connections of a listener and can silence some of them: what arrives on one is read and dropped,
// and nothing is returned on it any more.
type tapList struct {
	lock sync.Mutex
	open []*tapConn
}

func (t *tapList) wrap(connection net.Conn) net.Conn {
	tapped := &tapConn{Conn: connection, silent: make(chan struct{})}
	t.lock.Lock()
	t.open = append(t.open, tapped)
	t.lock.Unlock()
	return tapped
}

// silence silences the connections on which the last request names a text, and returns how many they are.
func (t *tapList) silence(text string) int {
	t.lock.Lock()
	defer t.lock.Unlock()
	count := 0
	for _, connection := range t.open {
		connection.lock.Lock()
		if !connection.closed && bytes.Contains(connection.request, []byte(text)) {
			close(connection.silent)
			connection.closed = true
			count++
		}
		connection.lock.Unlock()
	}
	return count
}

// tapConn is one connection.
type tapConn struct {
	net.Conn
	lock    sync.Mutex
	request []byte // request is the beginning of the last request.
	closed  bool   // closed is set once the connection is silent or closed.
	silent  chan struct{}
}

func (t *tapConn) isSilent() bool {
	select {
	case <-t.silent:
		return true
	default:
		return false
	}
}

func (t *tapConn) Read(buffer []byte) (int, error) {
	for {
		count, err := t.Conn.Read(buffer)
		if err != nil || !t.isSilent() {
			t.lock.Lock()
			t.request = append(t.request[:0], buffer[:count]...)
			t.lock.Unlock()
			return count, err
		}
	}
}

func (t *tapConn) Write(data []byte) (int, error) {
	if t.isSilent() {
		return len(data), nil
	}
	return t.Conn.Write(data)
}

func (t *tapConn) Close() error {
	t.lock.Lock()
	t.closed = true
	t.lock.Unlock()
	return t.Conn.Close()
}
