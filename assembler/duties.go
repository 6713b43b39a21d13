package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
)

// Duty is a part that runs until its context ends.
type Duty interface {
	Run(ctx context.Context) error
}

// NamedDuty is a duty with the name that its errors are logged under.
type NamedDuty struct {
	Name string
	Duty Duty
}

// Duties runs all duties of a process.
type Duties struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	logger logrus.FieldLogger
	down   fx.Shutdowner
}

// NewDuties returns a runner whose context ends all duties.
func NewDuties(logger logrus.FieldLogger, down fx.Shutdowner) *Duties {
	ctx, cancel := context.WithCancel(context.Background())
	return &Duties{ctx: ctx, cancel: cancel, logger: logger, down: down}
}

// Context returns the context of all duties.
func (duties *Duties) Context() context.Context { return duties.ctx }

// Start runs each duty in a goroutine; an error of one ends the process.
func (duties *Duties) Start(list ...NamedDuty) {
	for _, named := range list {
		duties.group.Go(func() {
			err := named.Duty.Run(duties.ctx)
			if err == nil || duties.ctx.Err() != nil {
				return
			}
			duties.logger.WithError(errors.Cause(err)).WithField("duty", named.Name).Error("duty ended")
			_ = duties.down.Shutdown(fx.ExitCode(1))
		})
	}
}

// Stop ends all duties and waits for them up to a time.
func (duties *Duties) Stop(limit time.Duration) {
	duties.cancel()
	done := make(chan struct{})
	go func() {
		duties.group.Wait()
		close(done)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		duties.logger.Error("duties did not end in time")
	}
}
