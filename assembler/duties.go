package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
)

// Duty is a component that runs until its context ends.
type Duty interface {
	Run(ctx context.Context) error
}

// NamedDuty is a duty with the name under which its errors are logged.
type NamedDuty struct {
	Name string
	Duty Duty
}

// Duties runs all duties of a process.
type Duties struct {
	ctx        context.Context
	cancel     context.CancelFunc
	waitGroup  sync.WaitGroup
	logger     logrus.FieldLogger
	shutdowner fx.Shutdowner
}

// NewDuties returns a runner for duties. An error of a duty shuts down the application through shutdowner.
func NewDuties(logger logrus.FieldLogger, shutdowner fx.Shutdowner) *Duties {
	ctx, cancel := context.WithCancel(context.Background())
	return &Duties{ctx: ctx, cancel: cancel, logger: logger, shutdowner: shutdowner}
}

// Context returns the context of all duties. Stop cancels it.
func (duties *Duties) Context() context.Context { return duties.ctx }

// Start runs each duty in a goroutine. If one returns an error, the process shuts down with exit code 1.
func (duties *Duties) Start(namedDuties ...NamedDuty) {
	for _, namedDuty := range namedDuties {
		duties.waitGroup.Go(func() {
			err := namedDuty.Duty.Run(duties.ctx)
			if err == nil || duties.ctx.Err() != nil {
				return
			}
			duties.logger.WithError(errors.Cause(err)).WithField("duty", namedDuty.Name).Error("duty failed, shutting down")
			_ = duties.shutdowner.Shutdown(fx.ExitCode(1))
		})
	}
}

// Stop cancels all duties and waits for them until the timeout.
func (duties *Duties) Stop(timeout time.Duration) {
	duties.cancel()
	done := make(chan struct{})
	go func() {
		duties.waitGroup.Wait()
		close(done)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		duties.logger.Error("duties did not stop within the timeout")
	}
}
