package driver

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/exchanger"
)

const (
	maxConnections = 3
	defaultTimeout = time.Second
)

// Config holds the settings of a driver.
type Config struct {
	Timeout time.Duration // Timeout is the time for one command, 0 for 1 s.
	Metrics *metrics.Set  // Metrics receives the counters; nil for none.
}

// Driver implements almondcross.WorkerCommander. Any goroutine may use it.
type Driver struct {
	exchanger *exchanger.Exchanger

	commands, refused, unreachable *metrics.Counter
}

var _ almondcross.WorkerCommander = (*Driver)(nil)

// New returns a driver; it connects to a target when it sends the first command to it.
func New(config Config) *Driver {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	return &Driver{
		exchanger:   exchanger.New(exchanger.Config{Connections: maxConnections, Timeout: config.Timeout}),
		commands:    config.Metrics.GetOrCreateCounter("almondcross_worker_commands_total"),
		refused:     config.Metrics.GetOrCreateCounter("almondcross_worker_commands_refused_total"),
		unreachable: config.Metrics.GetOrCreateCounter("almondcross_worker_commands_unreachable_total"),
	}
}

// Run closes the idle connections when the context ends.
func (driver *Driver) Run(ctx context.Context) error {
	<-ctx.Done()
	driver.exchanger.Close()
	return nil
}

// Acquire requests the lease; ErrLeaseHeld means that another host holds it.
func (driver *Driver) Acquire(
	ctx context.Context, target almondcross.Target, holder almondcross.MemberID,
) (almondcross.Grant, error) {
	var grant encoder.WorkerGrant
	body := encoder.WorkerAcquire{Holder: encoder.WorkerMemberOf(holder)}
	if err := driver.send(ctx, target, "lease/acquire", body, &grant); err != nil {
		return almondcross.Grant{}, err
	}
	if grant.Target != target.Name() || grant.Term == (encoder.WorkerTerm{}) {
		// The address may have been reassigned to another worker, which must not be mistaken for the target.
		return almondcross.Grant{}, errors.Annotatef(
			almondcross.ErrWorkerUnreachable, "worker %q answered instead of %q", grant.Target, target.Name())
	}
	return grant.Value(), nil
}

// Renew extends the lease and the leases of the named tasks; ErrTermStale means that the term ended.
func (driver *Driver) Renew(
	ctx context.Context, target almondcross.Target, term almondcross.Term, ids []almondcross.TaskID,
) (almondcross.Renewal, error) {
	var renewed encoder.WorkerRenewal
	body := encoder.WorkerRenew{Term: encoder.WorkerTermOf(term), Tasks: encoder.WorkerTaskIDsOf(ids)}
	if err := driver.send(ctx, target, "lease/renew", body, &renewed); err != nil {
		return almondcross.Renewal{}, err
	}
	return almondcross.NewRenewal(almondcross.RenewalConfig{
		Leaving: renewed.Leaving, Usage: renewed.Usage.Value(),
	}), nil
}

// Release releases the lease.
func (driver *Driver) Release(ctx context.Context, target almondcross.Target, term almondcross.Term) error {
	return driver.sendCommand(ctx, target, "lease/release", encoder.WorkerRelease{Term: encoder.WorkerTermOf(term)})
}

// Start runs a task; a start that is repeated within a term has no further effect. After
// ErrWorkerUnreachable the task may have been started.
func (driver *Driver) Start(
	ctx context.Context, target almondcross.Target, term almondcross.Term, task almondcross.Task,
) error {
	body := encoder.WorkerStart{Term: encoder.WorkerTermOf(term), Task: encoder.WorkerTaskOf(task)}
	return driver.sendCommand(ctx, target, "tasks/start", body)
}

// Stop ends a task.
func (driver *Driver) Stop(
	ctx context.Context, target almondcross.Target, term almondcross.Term, id almondcross.TaskID, code almondcross.Code,
) error {
	return driver.sendCommand(ctx, target, "tasks/stop", encoder.WorkerTaskCommand{
		Term: encoder.WorkerTermOf(term), ID: encoder.WorkerTaskIDOf(id), Code: string(code),
	})
}

// Checkpoint asks a task to save its progress.
func (driver *Driver) Checkpoint(
	ctx context.Context, target almondcross.Target, term almondcross.Term, id almondcross.TaskID,
) error {
	return driver.sendCommand(ctx, target, "tasks/checkpoint", encoder.WorkerTaskCommand{
		Term: encoder.WorkerTermOf(term), ID: encoder.WorkerTaskIDOf(id),
	})
}

// Throttle limits a task to a percentage of its processor time.
func (driver *Driver) Throttle(
	ctx context.Context, target almondcross.Target, term almondcross.Term, id almondcross.TaskID, percent int,
) error {
	return driver.sendCommand(ctx, target, "tasks/throttle", encoder.WorkerTaskCommand{
		Term: encoder.WorkerTermOf(term), ID: encoder.WorkerTaskIDOf(id), Percent: percent,
	})
}

func (driver *Driver) sendCommand(ctx context.Context, target almondcross.Target, path string, body any) error {
	var done encoder.WorkerEmptyResponse
	return driver.send(ctx, target, path, body, &done)
}

func (driver *Driver) send(ctx context.Context, target almondcross.Target, path string, body, answer any) error {
	driver.commands.Inc()
	err := driver.exchanger.Do(ctx, 0, http.MethodPost, "http://"+target.Address()+"/v1/"+path, body, answer)
	if err == nil {
		return nil
	}
	sentinel := classifyError(err)
	if errors.Is(sentinel, almondcross.ErrWorkerUnreachable) {
		driver.unreachable.Inc()
	} else {
		driver.refused.Inc()
	}
	return errors.WithType(errors.Annotatef(err, "%s at %s", path, target.Name()), sentinel)
}

func classifyError(err error) errors.ConstError {
	var failure *exchanger.ExchangeError
	if !errors.As(err, &failure) {
		return almondcross.ErrWorkerUnreachable
	}
	switch failure.Code {
	case encoder.PlatformLeaseHeld:
		return almondcross.ErrLeaseHeld
	case encoder.PlatformTermStale:
		return almondcross.ErrTermStale
	case encoder.PlatformLeaving:
		return almondcross.ErrTargetLeaving
	case encoder.PlatformOverCapacity, encoder.PlatformTaskConflict, encoder.PlatformTasksFull,
		encoder.PlatformInvalid, encoder.PlatformTooLarge:
		return almondcross.ErrTargetRefused
	default:
		return almondcross.ErrWorkerUnreachable
	}
}
