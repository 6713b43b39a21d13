package listener

import (
	"context"
	"net"
	"time"

	"github.com/almondcross/almondcross/ring"
)

// Refused is a connection to which a refusal was sent.
type Refused struct {
	connection *net.TCPConn
	closeAt    time.Time
}

// Refuser is the duty that closes refused connections once their clients had time to read the refusal.
type Refuser struct{ refused *ring.Ring[Refused] }

// NewRefuser returns a refuser of the connections in a ring.
func NewRefuser(refused *ring.Ring[Refused]) *Refuser { return &Refuser{refused: refused} }

// Run closes connections in the order of their refusal until the context ends.
func (refuser *Refuser) Run(ctx context.Context) error {
	return ring.Serve(ctx, refuser.refused, func(ctx context.Context, refused Refused) {
		ring.Pause(ctx, time.Until(refused.closeAt))
		_ = refused.connection.Close() // Nothing is left to do if it fails.
	})
}
