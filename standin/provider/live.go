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

// stateGone is the state of a host that the live list leaves out.
const stateGone = "gone"

// liveMessage is a message for the duty that owns the live list.
type liveMessage interface {
	apply(live *live, now time.Time)
}

type listHosts struct {
	known   uint64
	wait    time.Duration
	answers chan<- answerer.Answer
}

type registerHost struct {
	host    encoder.PlatformHost
	answers chan<- answerer.Answer
}

type setHostState struct {
	name    string
	state   string
	answers chan<- answerer.Answer
}

type switchLive struct {
	change  *encoder.PlatformSwitches
	answers chan<- answerer.Answer
}

// liveHost is a registered host; the state set by an operation goes before the registered one.
type liveHost struct {
	host    encoder.PlatformHost
	forced  string
	expires time.Time // the end of the registration, zero for none
}

type listWaiter struct {
	list     listHosts
	deadline time.Time
}

type delayedList struct {
	at    time.Time
	hosts []encoder.PlatformHost
}

// live is the duty that owns the live list.
type live struct {
	config    Config
	messages  *ring.Ring[liveMessage]
	hosts     map[string]liveHost
	published encoder.PlatformHosts
	delayed   []delayedList
	waiters   []listWaiter
	switches  encoder.PlatformSwitches
}

func newLive(config Config) *live {
	return &live{
		config:   config,
		messages: newRing[liveMessage](config, "provider_live"),
		hosts:    make(map[string]liveHost),
		// Versions start at the time, so that a restarted stand-in does not reuse one.
		published: encoder.PlatformHosts{Version: uint64(time.Now().UnixMicro()), Hosts: []encoder.PlatformHost{}},
		switches:  encoder.PlatformSwitches{LagMs: config.LiveLag.Milliseconds()},
	}
}

func (live *live) run(ctx context.Context) error {
	timer := time.NewTimer(farAway)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-live.messages.Messages():
			message.apply(live, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		live.expireHosts(now)
		live.refresh(now)
		live.publish(now)
		live.expireWaiters(now)
		timer.Reset(live.deadline(now).Sub(now))
	}
}

func (live *live) deadline(now time.Time) time.Time {
	first := now.Add(farAway)
	consider := func(at time.Time) {
		if !at.IsZero() && at.Before(first) {
			first = at
		}
	}
	if !live.switches.Down {
		for _, host := range live.hosts {
			consider(host.expires)
		}
	}
	for _, waiter := range live.waiters {
		consider(waiter.deadline)
	}
	if len(live.delayed) > 0 {
		consider(live.delayed[0].at)
	}
	return first
}

func (registerhost registerHost) apply(live *live, now time.Time) {
	if live.isDown(registerhost.answers) {
		return
	}
	entry, known := live.hosts[registerhost.host.Name]
	if !known {
		live.config.Logger.WithField("host", registerhost.host.Name).Info("host registered in the live list")
	}
	if registerhost.host.State == "" {
		registerhost.host.State = string(almondcross.HostLive)
	}
	entry.expires = time.Time{}
	if registerhost.host.TTLMs > 0 {
		entry.expires = now.Add(time.Duration(registerhost.host.TTLMs) * time.Millisecond)
	}
	entry.host = registerhost.host
	live.hosts[registerhost.host.Name] = entry
	registerhost.answers <- live.afterDelay(answerer.Answer{Body: encoder.WorkerDone{}})
}

func (sethoststate setHostState) apply(live *live, _ time.Time) {
	entry, known := live.hosts[sethoststate.name]
	if !known {
		sethoststate.answers <- answerer.Refusal(http.StatusNotFound, encoder.PlatformUnknownHost, "the host is not registered")
		return
	}
	switch sethoststate.state {
	case string(almondcross.HostLive):
		entry.forced = ""
	case string(almondcross.HostLeaving), stateGone:
		entry.forced = sethoststate.state
	default:
		sethoststate.answers <- answerer.Refusal(http.StatusBadRequest, encoder.PlatformInvalid, "the state is unknown")
		return
	}
	live.hosts[sethoststate.name] = entry
	live.config.Logger.WithFields(logrus.Fields{"host": sethoststate.name, "state": sethoststate.state}).Info("host state set")
	sethoststate.answers <- answerer.Answer{Body: encoder.WorkerDone{}}
}

func (listhosts listHosts) apply(live *live, now time.Time) {
	if live.isDown(listhosts.answers) {
		return
	}
	live.waiters = append(live.waiters, listWaiter{list: listhosts, deadline: now.Add(listhosts.wait)})
}

func (switchlive switchLive) apply(live *live, now time.Time) {
	if switchlive.change != nil {
		live.switches = *switchlive.change
		live.config.Logger.WithFields(logrus.Fields{"switches": live.switches}).Info("live list switches changed")
		if live.switches.Down {
			for _, waiter := range live.waiters {
				live.isDown(waiter.list.answers)
			}
			live.waiters = nil
		} else {
			live.extendHosts(now)
		}
	}
	switchlive.answers <- answerer.Answer{Body: live.switches}
}

func (live *live) isDown(answers chan<- answerer.Answer) bool {
	if live.switches.Down {
		answers <- answerer.Refusal(http.StatusServiceUnavailable, encoder.PlatformDown, "the live list takes no requests")
	}
	return live.switches.Down
}

func (live *live) afterDelay(answer answerer.Answer) answerer.Answer {
	answer.Delay = time.Duration(live.switches.DelayMs) * time.Millisecond
	return answer
}

// extendHosts starts the registrations anew, since no heartbeat is taken while the list is down.
func (live *live) extendHosts(now time.Time) {
	for name, host := range live.hosts {
		if !host.expires.IsZero() {
			host.expires = now.Add(time.Duration(host.host.TTLMs) * time.Millisecond)
			live.hosts[name] = host
		}
	}
}

func (live *live) expireHosts(now time.Time) {
	if live.switches.Down {
		return
	}
	for name, host := range live.hosts {
		if !host.expires.IsZero() && !now.Before(host.expires) {
			delete(live.hosts, name)
			live.config.Logger.WithField("host", name).Warn("host without heartbeat removed from the live list")
		}
	}
}

// refresh queues the current list for publication after the lag when it differs from the last one.
func (live *live) refresh(now time.Time) {
	current := make([]encoder.PlatformHost, 0, len(live.hosts))
	for _, entry := range live.hosts {
		host := entry.host
		host.TTLMs = 0
		if entry.forced != "" {
			host.State = entry.forced
		}
		if host.State != stateGone {
			current = append(current, host)
		}
	}
	slices.SortFunc(current, func(left, right encoder.PlatformHost) int { return strings.Compare(left.Name, right.Name) })
	last := live.published.Hosts
	if len(live.delayed) > 0 {
		last = live.delayed[len(live.delayed)-1].hosts
	}
	if !slices.Equal(current, last) {
		lag := time.Duration(live.switches.LagMs) * time.Millisecond
		live.delayed = append(live.delayed, delayedList{at: now.Add(lag), hosts: current})
	}
}

// publish makes the due lists visible.
func (live *live) publish(now time.Time) {
	for len(live.delayed) > 0 && !now.Before(live.delayed[0].at) {
		live.published = encoder.PlatformHosts{Version: live.published.Version + 1, Hosts: live.delayed[0].hosts}
		live.delayed = live.delayed[1:]
	}
}

// expireWaiters answers the waiters for which the version differs or whose time is over.
func (live *live) expireWaiters(now time.Time) {
	kept := live.waiters[:0]
	for _, waiter := range live.waiters {
		if waiter.list.known == live.published.Version && now.Before(waiter.deadline) {
			kept = append(kept, waiter)
			continue
		}
		waiter.list.answers <- live.afterDelay(answerer.Answer{Body: live.published})
	}
	clear(live.waiters[len(kept):])
	live.waiters = kept
}
