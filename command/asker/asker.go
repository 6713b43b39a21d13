package asker

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// adviceTimeout bounds a call; a query for a hundred workers takes about a second on the slowest queue.
const adviceTimeout = 2 * time.Second

// Request is a query with the function that returns the answer to the scheduler that sent it.
type Request struct {
	Query almondcross.AdviceQuery
	Reply func(ctx context.Context, answer almondcross.AdviceAnswered)
}

// Config holds the dependencies of an asker.
type Config struct {
	Host    string // Host is the name of this host.
	Adviser almondcross.Adviser
	Clock   almondcross.Clock
}

// Asker is a duty that calls the advice service.
type Asker struct{ config Config }

// New returns an asker.
func New(config Config) *Asker { return &Asker{config: config} }

// Run answers requests one at a time until the context ends.
func (asker *Asker) Run(ctx context.Context, requests *ring.Ring[Request]) error {
	return ring.Serve(ctx, requests, asker.serve)
}

func (asker *Asker) serve(ctx context.Context, request Request) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	result, err := asker.config.Adviser.Advise(callCtx, request.Query)
	request.Reply(ctx, almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Adviser: asker.config.Host, Query: request.Query, Result: result, Received: asker.config.Clock.Now(), Err: errors.Trace(err),
	}))
}
