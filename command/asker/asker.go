package asker

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// adviceTimeout bounds a call; naming a hundred workers takes about a second on the slowest queue.
const adviceTimeout = 2 * time.Second

// Request is a query with the way back to the scheduler that sent it.
type Request struct {
	Query almondcross.AdviceQuery
	Reply func(ctx context.Context, answer almondcross.AdviceAnswered)
}

// Config holds what an asker needs.
type Config struct {
	Host    string // Host is the name of this host.
	Adviser almondcross.Adviser
	Clock   almondcross.Clock
}

// Asker calls the advice service.
type Asker struct{ config Config }

// New returns an asker.
func New(config Config) *Asker { return &Asker{config: config} }

// Run answers requests until the context ends.
func (asker *Asker) Run(ctx context.Context, requests *ring.Ring[Request]) error {
	return ring.Serve(ctx, requests, asker.ask)
}

func (asker *Asker) ask(ctx context.Context, request Request) {
	limited, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	result, err := asker.config.Adviser.Advise(limited, request.Query)
	request.Reply(ctx, almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Adviser: asker.config.Host, Query: request.Query, Result: result, Received: asker.config.Clock.Now(), Err: errors.Trace(err),
	}))
}
