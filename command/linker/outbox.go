package linker

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Limits of the messages that were written and not acknowledged. They allow 12,000 messages a second at
// a round trip of 20 ms between regions. The messages usually fit into the buffers of the connection,
// so that a write does not time out while the receiver waits for space in a ring.
const (
	maxUnacknowledged      = 256
	maxUnacknowledgedBytes = MaxFrameBytes
)

// queuedMessage is a message for a peer.
type queuedMessage struct {
	message    almondcross.PeerMessage
	queuedAt   time.Time // queuedAt is the time at which the message was queued.
	peerRunID  uint64    // peerRunID is the run of the peer that the message is for, 0 for any.
	sequence   uint64
	frameBytes int
}

// outbox holds the messages of the data channel that were written and not yet acknowledged, in order.
type outbox struct {
	messages     []queuedMessage
	bytes        int
	lastSequence uint64 // lastSequence is the sequence number of the newest message.
}

func (outbox *outbox) hasCapacity() bool {
	return len(outbox.messages) < maxUnacknowledged && outbox.bytes < maxUnacknowledgedBytes
}

func (outbox *outbox) add(message queuedMessage) {
	outbox.lastSequence = message.sequence
	outbox.bytes += message.frameBytes
	outbox.messages = append(outbox.messages, message)
}

// acknowledge removes the messages up to and including a sequence number.
func (outbox *outbox) acknowledge(sequence uint64) {
	outbox.remove(func(message queuedMessage) bool { return message.sequence <= sequence })
}

// dropOtherRuns removes the messages for other runs of the peer and returns their number.
func (outbox *outbox) dropOtherRuns(peerRunID uint64) int {
	return outbox.remove(func(message queuedMessage) bool { return message.peerRunID != peerRunID })
}

func (outbox *outbox) remove(match func(queuedMessage) bool) int {
	before := len(outbox.messages)
	outbox.messages = slices.DeleteFunc(outbox.messages, match)
	outbox.bytes = 0
	for _, message := range outbox.messages {
		outbox.bytes += message.frameBytes
	}
	return before - len(outbox.messages)
}
