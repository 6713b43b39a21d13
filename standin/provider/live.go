package provider

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/answerer"
)

// stateGone is the state of a host that is omitted from the live list.
const stateGone = "gone"

// liveMessage is a message for the duty that owns the live list.
type liveMessage interface {
	apply(livelist *liveList, now time.Time)
}

type listHosts struct {
	knownVersion uint64
	wait         time.Duration
	responses    chan<- answerer.Response
}

type registerHost struct {
	host      encoder.PlatformHost
	responses chan<- answerer.Response
}

type setHostState struct {
	name      string
	state     string
	responses chan<- answerer.Response
}

type changeLiveFaults struct {
	newFaults *encoder.PlatformFaults
	responses chan<- answerer.Response
}

// liveHost is a registered host. A state that was set by a request takes precedence over the one in
// the registration.
type liveHost struct {
	host          encoder.PlatformHost
	stateOverride string
	expiresAt     time.Time // when the registration expires, zero for never
}

type listWaiter struct {
	request  listHosts
	deadline time.Time
}

type pendingList struct {
	publishAt time.Time
	hosts     []encoder.PlatformHost
}

// liveList is the duty that owns the live list.
type liveList struct {
	config       Config
	messages     *ring.Ring[liveMessage]
	hosts        map[string]liveHost
	published    encoder.PlatformHosts
	pendingLists []pendingList
	waiters      []listWaiter
	faults       encoder.PlatformFaults
}

func newLiveList(config Config) *liveList {
	return &liveList{
		config:   config,
		messages: newRing[liveMessage](config, "provider_live"),
		hosts:    make(map[string]liveHost),
		// The first version is the current time, so that a restarted process doesn't reuse versions.
		published: encoder.PlatformHosts{Version: uint64(time.Now().UnixMicro()), Hosts: []encoder.PlatformHost{}},
		faults:    encoder.PlatformFaults{LagMs: config.LiveLag.Milliseconds()},
	}
}

func (livelist *liveList) run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-livelist.messages.Messages():
			message.apply(livelist, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		livelist.expireHosts(now)
		livelist.queueChangedList(now)
		livelist.publish(now)
		livelist.respondToWaiters(now)
		timer.Reset(livelist.deadline(now).Sub(now))
	}
}

func (livelist *liveList) deadline(now time.Time) time.Time {
	earliest := now.Add(idleInterval)
	consider := func(at time.Time) {
		if !at.IsZero() && at.Before(earliest) {
			earliest = at
		}
	}
	if !livelist.faults.Down {
		for _, host := range livelist.hosts {
			consider(host.expiresAt)
		}
	}
	for _, waiter := range livelist.waiters {
		consider(waiter.deadline)
	}
	if len(livelist.pendingLists) > 0 {
		consider(livelist.pendingLists[0].publishAt)
	}
	return earliest
}

func (registerhost registerHost) apply(livelist *liveList, now time.Time) {
	if livelist.rejectIfDown(registerhost.responses) {
		return
	}
	livehost, known := livelist.hosts[registerhost.host.Name]
	if !known {
		livelist.config.Logger.WithField("host", registerhost.host.Name).Info("host registered in the live list")
	}
	if registerhost.host.State == "" {
		registerhost.host.State = string(almondcross.HostLive)
	}
	livehost.expiresAt = time.Time{}
	if registerhost.host.TTLMs > 0 {
		livehost.expiresAt = now.Add(time.Duration(registerhost.host.TTLMs) * time.Millisecond)
	}
	livehost.host = registerhost.host
	livelist.hosts[registerhost.host.Name] = livehost
	registerhost.responses <- livelist.withDelay(answerer.Response{Body: encoder.WorkerEmptyResponse{}})
}

func (sethoststate setHostState) apply(livelist *liveList, _ time.Time) {
	livehost, known := livelist.hosts[sethoststate.name]
	if !known {
		sethoststate.responses <- answerer.ErrorResponse(http.StatusNotFound, encoder.PlatformUnknownHost, "the host is not registered")
		return
	}
	switch sethoststate.state {
	case string(almondcross.HostLive):
		livehost.stateOverride = ""
	case string(almondcross.HostLeaving), stateGone:
		livehost.stateOverride = sethoststate.state
	default:
		sethoststate.responses <- answerer.ErrorResponse(http.StatusBadRequest, encoder.PlatformInvalid, "the state is unknown")
		return
	}
	livelist.hosts[sethoststate.name] = livehost
	livelist.config.Logger.WithFields(logrus.Fields{"host": sethoststate.name, "state": sethoststate.state}).Info("host state set")
	sethoststate.responses <- answerer.Response{Body: encoder.WorkerEmptyResponse{}}
}

func (listhosts listHosts) apply(livelist *liveList, now time.Time) {
	if livelist.rejectIfDown(listhosts.responses) {
		return
	}
	livelist.waiters = append(livelist.waiters, listWaiter{request: listhosts, deadline: now.Add(listhosts.wait)})
}

func (changelivefaults changeLiveFaults) apply(livelist *liveList, now time.Time) {
	if changelivefaults.newFaults != nil {
		livelist.faults = *changelivefaults.newFaults
		livelist.config.Logger.WithFields(logrus.Fields{"switches": livelist.faults}).Info("live list faults changed")
		if livelist.faults.Down {
			for _, waiter := range livelist.waiters {
				livelist.rejectIfDown(waiter.request.responses)
			}
			livelist.waiters = nil
		} else {
			livelist.renewRegistrations(now)
		}
	}
	changelivefaults.responses <- answerer.Response{Body: livelist.faults}
}

func (livelist *liveList) rejectIfDown(responses chan<- answerer.Response) bool {
	if livelist.faults.Down {
		responses <- answerer.ErrorResponse(http.StatusServiceUnavailable, encoder.PlatformDown, "the live list takes no requests")
	}
	return livelist.faults.Down
}

func (livelist *liveList) withDelay(response answerer.Response) answerer.Response {
	response.Delay = time.Duration(livelist.faults.DelayMs) * time.Millisecond
	return response
}

// renewRegistrations restarts the TTL of all registrations, since heartbeats are rejected while the
// list is down.
func (livelist *liveList) renewRegistrations(now time.Time) {
	for name, host := range livelist.hosts {
		if !host.expiresAt.IsZero() {
			host.expiresAt = now.Add(time.Duration(host.host.TTLMs) * time.Millisecond)
			livelist.hosts[name] = host
		}
	}
}

func (livelist *liveList) expireHosts(now time.Time) {
	if livelist.faults.Down {
		return
	}
	for name, host := range livelist.hosts {
		if !host.expiresAt.IsZero() && !now.Before(host.expiresAt) {
			delete(livelist.hosts, name)
			livelist.config.Logger.WithField("host", name).Warn("heartbeat timeout: host removed from the live list")
		}
	}
}

// queueChangedList queues the current list for publication after the lag if it differs from the last
// one that was queued or published.
func (livelist *liveList) queueChangedList(now time.Time) {
	current := make([]encoder.PlatformHost, 0, len(livelist.hosts))
	for _, livehost := range livelist.hosts {
		host := livehost.host
		host.TTLMs = 0
		if livehost.stateOverride != "" {
			host.State = livehost.stateOverride
		}
		if host.State != stateGone {
			current = append(current, host)
		}
	}
	slices.SortFunc(current, func(left, right encoder.PlatformHost) int { return strings.Compare(left.Name, right.Name) })
	latest := livelist.published.Hosts
	if len(livelist.pendingLists) > 0 {
		latest = livelist.pendingLists[len(livelist.pendingLists)-1].hosts
	}
	if !slices.Equal(current, latest) {
		lag := time.Duration(livelist.faults.LagMs) * time.Millisecond
		livelist.pendingLists = append(livelist.pendingLists, pendingList{publishAt: now.Add(lag), hosts: current})
	}
}

// publish publishes the pending lists whose lag is over.
func (livelist *liveList) publish(now time.Time) {
	for len(livelist.pendingLists) > 0 && !now.Before(livelist.pendingLists[0].publishAt) {
		livelist.published = encoder.PlatformHosts{Version: livelist.published.Version + 1, Hosts: livelist.pendingLists[0].hosts}
		livelist.pendingLists = livelist.pendingLists[1:]
	}
}

// respondToWaiters responds to the waiters that know another version or whose deadline has passed.
func (livelist *liveList) respondToWaiters(now time.Time) {
	remaining := livelist.waiters[:0]
	for _, waiter := range livelist.waiters {
		if waiter.request.knownVersion == livelist.published.Version && now.Before(waiter.deadline) {
			remaining = append(remaining, waiter)
			continue
		}
		waiter.request.responses <- livelist.withDelay(answerer.Response{Body: livelist.published})
	}
	clear(livelist.waiters[len(remaining):])
	livelist.waiters = remaining
}
