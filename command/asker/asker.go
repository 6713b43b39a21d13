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

// Config holds what an asker needs.
type Config struct {
	Host    string // Host is the name of this host.
	Adviser almondcross.Adviser
	Clock   almondcross.Clock
	// Answer takes the answer to the scheduler, wherever it runs.
	Answer func(ctx context.Context, answer almondcross.AdviceAnswered)
}

// Asker calls the advice service.
type Asker struct{ config Config }

// New returns an asker.
func New(config Config) *Asker { return &Asker{config: config} }

// Run answers queries until the context ends.
func (asker *Asker) Run(ctx context.Context, queries *ring.Ring[almondcross.AdviceQuery]) error {
	return ring.Serve(ctx, queries, asker.ask)
}

func (asker *Asker) ask(ctx context.Context, query almondcross.AdviceQuery) {
	limited, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	result, err := asker.config.Adviser.Advise(limited, query)
	asker.config.Answer(ctx, almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Adviser: asker.config.Host, Query: query, Result: result, Received: asker.config.Clock.Now(), Err: errors.Trace(err),
	}))
}
