package connector

import (
	"io"
	"time"

	"github.com/juju/errors"
)

const (
	// firstFrameBytes is the size in bytes of the first buffer for a message.
	firstFrameBytes = 1 << 10
	// unreservedBytes is the size in bytes up to which a message is read without a reservation. It is within the memory that
	// is planned for a connection, and enough for nearly all messages.
	unreservedBytes = 16 << 10
	// frameGrowth is the factor by which the buffer of a message grows. Smaller factors leave more garbage.
	frameGrowth = 4
)

// errOverBudget is the error of a link whose message finds no room beside those of other links.
const errOverBudget = errors.ConstError("too many large messages are being read")

// readFrame reads one message, which must arrive within readTimeout, whatever pongs come between its parts. The caller decodes the
// message; what it holds of the limit on messages is kept until release is called.
func (session *session) readFrame() ([]byte, error) {
	_, reader, err := session.connection.NextReader()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := session.connection.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return nil, errors.Trace(err)
	}
	session.inFrame = true
	defer func() { session.inFrame = false }()
	buffer := make([]byte, 0, firstFrameBytes)
	for {
		if len(buffer) == cap(buffer) {
			if buffer, err = session.grow(buffer); err != nil {
				return nil, err
			}
		}
		count, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, errors.Trace(err)
		}
	}
}

// grow returns a larger copy of a buffer, which is reserved before it is allocated.
func (session *session) grow(buffer []byte) ([]byte, error) {
	size, earlier := int64(min(frameGrowth*cap(buffer), maxFrameBytes+1)), session.held // The connection refuses longer messages.
	if session.frames != nil && size > unreservedBytes {
		if !session.frames.Take(earlier, size) {
			return nil, errors.Trace(errOverBudget)
		}
		session.held += size
	}
	larger := append(make([]byte, 0, size), buffer...)
	session.giveBack(earlier)
	return larger, nil
}

// release returns what the last message holds of the limit on messages.
func (session *session) release() { session.giveBack(session.held) }

func (session *session) giveBack(amount int64) {
	if amount > 0 {
		session.frames.Return(amount)
		session.held -= amount
	}
}
