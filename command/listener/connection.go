package listener

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

const (
	// lineBytes is the memory in bytes that a decoded line of headers takes. 2,200 lines with different names fit into headers of 16 KiB.
	lineBytes = 256
	// unreservedLines is the number of lines without a reservation. They are within the memory that is planned for a connection.
	unreservedLines = 32
)

// errOverBudget is the error of a connection whose headers find no room beside those of others.
const errOverBudget = errors.ConstError("too many headers are being read")

// Phase is what the server does with a connection.
type Phase int

// The phases of a connection.
const (
	PhaseHeaders  Phase = iota // PhaseHeaders: the headers of the next request are awaited or read.
	PhaseAnswer                // PhaseAnswer: the request is answered. Its headers are held.
	PhaseHijacked              // PhaseHijacked: the connection carries another protocol.
)

// connection is an open connection that is counted until it is closed, with what its headers hold of their limit.
type connection struct {
	*net.TCPConn

	headers  almondcross.Limiter
	refusal  []byte
	onUnread func()
	release  func() // release returns the place of the connection.
	phase    atomic.Int64
	// lines and held are changed by the server's goroutine of the connection, and held also by Close, which any goroutine may call.
	lines int64
	held  atomic.Int64
}

// SetPhase tells a connection of a Listener what the server does with it. It is called by the server's goroutine of the connection.
func SetPhase(accepted net.Conn, phase Phase) {
	connection, ok := accepted.(*connection)
	if !ok {
		return
	}
	connection.phase.Store(int64(phase))
	if phase != PhaseAnswer {
		connection.lines = 0
		connection.returnHeld()
	}
}

// Read reads and reserves the memory of headers before they are decoded. Without room it sends the refusal and fails.
func (connection *connection) Read(buffer []byte) (int, error) {
	count, err := connection.TCPConn.Read(buffer)
	if Phase(connection.phase.Load()) != PhaseHeaders || count == 0 {
		return count, err
	}
	before := max(connection.lines, unreservedLines)
	connection.lines += int64(bytes.Count(buffer[:count], []byte{'\n'}))
	more := (max(connection.lines, unreservedLines) - before) * lineBytes
	if more == 0 {
		return count, err
	}
	if !connection.headers.Take(connection.held.Load(), more) {
		_ = connection.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // If it fails, the connection is broken, and the write fails too.
		_, _ = connection.TCPConn.Write(connection.refusal)                  // The connection is closed next in any case.
		// An error of this type makes the server close the connection without a further answer.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: connection.RemoteAddr(), Err: errOverBudget}
	}
	connection.held.Add(more)
	return count, err
}

// Write writes, and reports when the client has not read for too long.
func (connection *connection) Write(buffer []byte) (int, error) {
	count, err := connection.TCPConn.Write(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		connection.onUnread()
	}
	return count, err
}

// Close closes the connection and returns what it holds.
func (connection *connection) Close() error {
	err := connection.TCPConn.Close()
	connection.returnHeld()
	connection.release()
	return err
}

func (connection *connection) returnHeld() {
	if held := connection.held.Swap(0); held > 0 {
		connection.headers.Return(held)
	}
}
