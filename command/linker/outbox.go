package linker

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Bounds of the messages that were written and not acknowledged. They fill a round trip between
// regions (20 ms) at 12,000 messages a second, and usually fit into the buffers of the connection, so
// that a receiver that waits for room does not make a write time out.
const (
	maxUnacknowledged      = 256
	maxUnacknowledgedBytes = MaxFrame
)

// outgoing is a message for a peer.
type outgoing struct {
	message  almondcross.PeerMessage
	at       time.Time // at is the time at which it was queued.
	run      uint64    // run is the run of the peer that it is for, 0 for any.
	sequence uint64
	size     int
}

// outbox holds the messages of the data channel that were written and not acknowledged, in order.
type outbox struct {
	messages []outgoing
	bytes    int
	last     uint64 // last is the sequence of the newest message.
}

func (outbox *outbox) hasRoom() bool {
	return len(outbox.messages) < maxUnacknowledged && outbox.bytes < maxUnacknowledgedBytes
}

func (outbox *outbox) add(message outgoing) {
	outbox.last = message.sequence
	outbox.bytes += message.size
	outbox.messages = append(outbox.messages, message)
}

// acknowledge removes the messages up to a sequence.
func (outbox *outbox) acknowledge(sequence uint64) {
	outbox.remove(func(message outgoing) bool { return message.sequence <= sequence })
}

// retain removes the messages for other runs of the peer and returns their number.
func (outbox *outbox) retain(run uint64) int {
	return outbox.remove(func(message outgoing) bool { return message.run != run })
}

func (outbox *outbox) remove(gone func(outgoing) bool) int {
	before := len(outbox.messages)
	outbox.messages = slices.DeleteFunc(outbox.messages, gone)
	outbox.bytes = 0
	for _, message := range outbox.messages {
		outbox.bytes += message.size
	}
	return before - len(outbox.messages)
}
