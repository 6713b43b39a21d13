package assembler

import (
	"fmt"
	"net/http"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/limiter"
	"github.com/almondcross/almondcross/command/listener"
	"github.com/almondcross/almondcross/command/recorder"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/ring"
)

const (
	// smallBytes is the memory in bytes up to which a request counts as small. A job with the largest payload and 25 steps
	// takes less.
	smallBytes = 64 << 10
	// smallFraction is the fraction (1/smallFraction) of the memory for bodies that is kept for small requests, so that large
	// bodies that never end do not keep out ordinary jobs.
	smallFraction = 4
	// refusedCapacity bounds the refused connections that are still open, of all servers.
	refusedCapacity = 32
	// limitCount is the number of limiters, which is the capacity of the ring of their changes.
	limitCount = 7
	// refusalStatus is the status of a refused connection. Nothing of its request has been read.
	refusalStatus = http.StatusServiceUnavailable
)

// refusal is what a client receives whose connection is refused.
var refusal = fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n", refusalStatus, http.StatusText(refusalStatus))

// hostLimits are the limits on the clients of a host.
type hostLimits struct {
	bodies, headers, frames, callers, links, ready, metrics *limiter.Limiter
	changes                                                 *ring.Ring[*limiter.Limiter]
	refused                                                 *ring.Ring[listener.Refused]
	log                                                     almondcross.EventLog
}

func newSchedulerLimits(settings configurator.SchedulerSettings, log *recorder.Recorder, set *metrics.Set) *hostLimits {
	return newHostLimits(planLimits(settings), log, set)
}

// newEntryLimits returns the limits of an entry host. It has no state of accepted jobs and no servers for checks alone.
func newEntryLimits(settings configurator.EntrySettings, logger logrus.FieldLogger, set *metrics.Set) *hostLimits {
	plan := limiter.Plan(almondcross.NewHostCapacity(almondcross.HostCapacityConfig{
		MemoryBytes: int64(settings.MemoryMB()) << 20, Descriptors: descriptors(settings.MaxDescriptors()),
	}))
	return newHostLimits(plan, eventLogger{logger}, set)
}

func newHostLimits(plan almondcross.ClientLimits, log almondcross.EventLog, set *metrics.Set) *hostLimits {
	limits := &hostLimits{
		changes: ring.New[*limiter.Limiter](ring.Config{Name: "limits", Capacity: limitCount, Metrics: set}),
		refused: ring.New[listener.Refused](ring.Config{Name: "refused", Capacity: refusedCapacity, Metrics: set}),
		log:     log,
	}
	for _, memory := range []struct {
		limit **limiter.Limiter
		name  string
		bytes int64
	}{
		{&limits.bodies, "body_bytes", plan.BodyBytes()},
		{&limits.headers, "header_bytes", plan.HeaderBytes()},
		{&limits.frames, "link_bytes", plan.LinkBytes()},
	} {
		*memory.limit = limiter.New(limiter.Config{
			Name: memory.name, Limit: memory.bytes, Small: smallBytes, Reserve: memory.bytes / smallFraction, Changes: limits.changes, Metrics: set,
		})
	}
	for _, connections := range []struct {
		limit **limiter.Limiter
		name  string
		count int
	}{
		{&limits.callers, "caller_connections", plan.CallerConnections()},
		{&limits.links, "link_connections", plan.LinkConnections()},
		{&limits.ready, "ready_connections", plan.CheckConnections()},
		{&limits.metrics, "metrics_connections", plan.CheckConnections()},
	} {
		*connections.limit = limiter.New(limiter.Config{
			Name: connections.name, Limit: int64(connections.count), Small: 1, Changes: limits.changes, Metrics: set,
		})
	}
	log.Record("limits_planned", almondcross.Number("body_bytes", plan.BodyBytes()), almondcross.Number("header_bytes", plan.HeaderBytes()),
		almondcross.Number("link_bytes", plan.LinkBytes()), almondcross.Number("state_bytes", plan.StateBytes()), almondcross.Number("intake_bytes", plan.IntakeBytes()),
		almondcross.Number("caller_connections", plan.CallerConnections()),
		almondcross.Number("link_connections", plan.LinkConnections()), almondcross.Number("check_connections", plan.CheckConnections()))
	return limits
}

// planLimits returns the limits of the settings, and derives those that the settings leave open.
func planLimits(settings configurator.SchedulerSettings) almondcross.ClientLimits {
	plan := limiter.Plan(almondcross.NewHostCapacity(almondcross.HostCapacityConfig{
		MemoryBytes: int64(settings.MemoryMB()) << 20, Descriptors: descriptors(settings.MaxDescriptors()),
	}))
	if megabytes := settings.BodyMemoryMB(); megabytes > 0 {
		plan = plan.WithBodyBytes(int64(megabytes) << 20)
	}
	if megabytes := settings.HeaderMemoryMB(); megabytes > 0 {
		plan = plan.WithHeaderBytes(int64(megabytes) << 20)
	}
	if megabytes := settings.LinkMemoryMB(); megabytes > 0 {
		plan = plan.WithLinkBytes(int64(megabytes) << 20)
	}
	if megabytes := settings.StateMemoryMB(); megabytes > 0 {
		plan = plan.WithStateBytes(int64(megabytes) << 20).WithIntakeBytes(int64(megabytes) << 20 / 2)
	}
	if limit := settings.CallerLimit(); limit > 0 {
		plan = plan.WithCallerConnections(limit)
	}
	if limit := settings.LinkLimit(); limit > 0 {
		plan = plan.WithLinkConnections(limit)
	}
	if limit := settings.CheckLimit(); limit > 0 {
		plan = plan.WithCheckConnections(limit)
	}
	return plan
}

// maxPlannedDescriptors bounds the number that the limit of a process stands for, which may be unlimited.
const maxPlannedDescriptors = 1 << 24

// descriptors returns the descriptors that the process may open: those of the settings, or of its own limit if that is
// lower or the settings have none.
func descriptors(setting int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		limit.Cur = maxPlannedDescriptors
	}
	own := int(min(limit.Cur, maxPlannedDescriptors))
	if setting == 0 {
		return own
	}
	return min(setting, own)
}
