package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// Parameters of the hosts that call the advice service.
const (
	// adviceTimeoutMargin is added to the expected duration of a call to get its timeout. It covers the round
	// trip to another region, the calls of the host that are sent before, and a call of an earlier scheduler that the host
	// is still waiting for.
	adviceTimeoutMargin = 1200 * time.Millisecond
	// linkedHostBackoff is how long a host whose call timed out gets no further call.
	linkedHostBackoff = 2 * time.Second
	// maxLongCallShare is the share of the linked hosts that long calls may occupy.
	maxLongCallShare = 0.7
	// maxRoundTrip limits the round trip that is assumed for a host, and with it the work that waits at the service in front
	// of a call: a host whose answers are delayed by a fault gets no backlog.
	maxRoundTrip = 100 * time.Millisecond
	// roundTripWeight is the weight of a longer round trip in the moving average. A shorter one replaces the estimate at once.
	roundTripWeight = 0.1
	// maxCallWork limits the work that is expected for a call, so that the sum over all calls of a host does not overflow.
	maxCallWork = time.Hour
)

// linkedHost is this host or a host linked to it. The advice service handles one of its calls at a time.
type linkedHost struct {
	name  string
	calls []adviceCall // calls holds the pending calls in the order in which they were sent.
	// answeredAt is when the last answer to a call arrived.
	answeredAt time.Time
	// roundTrip is the estimate of the time that a call takes beyond the service's work on it: the way from the scheduler to
	// the host and from there to the service, and back. It is zero before the first answer.
	roundTrip time.Duration
	// strength is the scheduling strength of the host; standby is set when the host follows the journal.
	strength int
	format   int // format is the highest number of a format of the journal that the host reads.
	standby  bool
	rank     int    // rank is that of a standby that has been told one, 0 for any other host.
	address  string // address is where the host accepts links.
	// stateBytes is the memory in bytes that the jobs of the state may take on the host, 0 if it is of an earlier version.
	stateBytes int64
	views      viewRoute
	// awaitingViews is set until the host has been sent its first views.
	awaitingViews bool
	// viewsUntil is until when a standby gets views as well, which it publishes while it loads the state.
	viewsUntil time.Time
	retryAt    time.Time // retryAt is when the host may be called again after a timeout.
	callFailed bool      // callFailed is set if the last call that the host answered has failed.
}

// adviceCall is a pending call to the advice service.
type adviceCall struct {
	stage    almondcross.StageID
	long     bool          // long is set if the call counts as long.
	alone    bool          // alone is set if the host had no other call when this one was sent.
	work     time.Duration // work is how long the service is expected to work on the call.
	sentAt   time.Time     // sentAt is when the call was sent to its host.
	deadline time.Time     // deadline is when the call times out.
}

// expectedTimes returns when the answer to the first pending call is expected and when the service is expected to have
// handled all pending calls.
func (linkedhost *linkedHost) expectedTimes() (firstAnswer, handled time.Time) {
	oneWay := linkedhost.roundTrip / 2
	handled = linkedhost.answeredAt.Add(-oneWay) // The service was free when it sent its last answer.
	for index, call := range linkedhost.calls {
		if arrival := call.sentAt.Add(oneWay); arrival.After(handled) {
			handled = arrival
		}
		handled = handled.Add(call.work)
		if index == 0 {
			firstAnswer = handled.Add(oneWay)
		}
	}
	return firstAnswer, handled
}

// hasLongCall reports whether a long call is pending.
func (linkedhost *linkedHost) hasLongCall() bool {
	return slices.ContainsFunc(linkedhost.calls, func(call adviceCall) bool { return call.long })
}

// acceptsFurtherCall reports whether a host that has pending calls may get another one. It may if the call is expected to wait
// at the service for less than a round trip: with one call at a time, the service would be idle for a round trip after each
// call, which in another region takes several times as long as a short call. A call that waits longer could be made by
// another host, or delay a call of a more urgent stage that becomes ready later. A host whose answer is overdue gets no further
// call.
func (linkedhost *linkedHost) acceptsFurtherCall(now time.Time) bool {
	if len(linkedhost.calls) >= almondcross.AdviceCallsPerHost {
		return false
	}
	firstAnswer, handled := linkedhost.expectedTimes()
	return !now.After(firstAnswer) && handled.Sub(now.Add(linkedhost.roundTrip/2)) < linkedhost.roundTrip
}

// noteRoundTrip updates the estimate of the round trip from an answered call and the time until its answer.
func (linkedhost *linkedHost) noteRoundTrip(call adviceCall, took time.Duration) {
	measured := min(max(took-call.work, 0), maxRoundTrip)
	switch {
	case linkedhost.roundTrip == 0 && call.alone || measured < linkedhost.roundTrip:
		linkedhost.roundTrip = measured
	case call.alone: // The time of any other call may include a wait for the calls before it, which is not part of the round trip.
		linkedhost.roundTrip += time.Duration(float64(measured-linkedhost.roundTrip) * roundTripWeight)
	}
}

// removeCall removes and returns the pending call for a stage. It returns false if there is none.
func (linkedhost *linkedHost) removeCall(stage almondcross.StageID) (adviceCall, bool) {
	for index, call := range linkedhost.calls {
		if call.stage == stage {
			linkedhost.calls = slices.Delete(linkedhost.calls, index, index+1)
			return call, true
		}
	}
	return adviceCall{}, false
}

func (machine *Machine) hostLinkChanged(change almondcross.HostLinkChanged) {
	if change.Host() == machine.config.Host {
		return
	}
	previous := machine.linkedHosts[change.Host()]
	if change.Present() {
		machine.endLeadershipsOf(change.Host(), change.Address(), change.SchedulerEpoch())
		machine.linkedHosts[change.Host()] = &linkedHost{
			name: change.Host(), strength: min(max(change.Strength(), 0), fullStrength), address: change.Address(), format: max(change.Format(), plainFormat), stateBytes: change.StateBytes(),
			views: viewRoute{format: change.ViewFormat(), dataCentre: change.DataCentre()},
		}
	} else {
		delete(machine.linkedHosts, change.Host())
	}
	machine.config.Log.Record("adviser_changed", almondcross.Text("adviser", change.Host()), almondcross.Text("present", yesNo(change.Present())))
	if machine.leader == nil {
		return
	}
	machine.leader.placementDue, machine.leader.stateLimit = true, machine.stateLimit()
	if previous != nil {
		machine.cancelAdviceCalls(previous)
	}
	machine.viewHostChanged(previous)
	if change.Present() {
		machine.hostLinked(machine.linkedHosts[change.Host()])
		machine.recordForwardedEnds(change.Host(), change.Ends())
		machine.sendPeers(machine.linkedHosts[change.Host()])
	} else {
		machine.fillStandbys()
	}
	machine.rankStandbys()
}

// cancelAdviceCalls gives up the pending calls of a host, so that other hosts can make them.
func (machine *Machine) cancelAdviceCalls(linkedHost *linkedHost) {
	for _, call := range linkedHost.calls {
		if advice := machine.leader.advice[call.stage]; advice != nil {
			advice.pendingCalls--
		}
	}
	linkedHost.calls = nil
}

// expireAdviceCalls cancels the calls of each host of which one has timed out.
func (machine *Machine) expireAdviceCalls() {
	var expired []*linkedHost
	for _, linkedHost := range machine.linkedHosts {
		if slices.ContainsFunc(linkedHost.calls, func(call adviceCall) bool { return machine.now.After(call.deadline) }) {
			expired = append(expired, linkedHost)
		}
	}
	slices.SortFunc(expired, func(a, b *linkedHost) int { return strings.Compare(a.name, b.name) })
	for _, linkedHost := range expired {
		for _, call := range linkedHost.calls {
			machine.config.Log.Record("advice_given_up", almondcross.Text("stage", call.stage.String()), almondcross.Text("adviser", linkedHost.name))
		}
		machine.cancelAdviceCalls(linkedHost)
		linkedHost.retryAt = machine.now.Add(linkedHostBackoff)
	}
}

// callAdvice sends a call for some workers to a host that may make it.
func (machine *Machine) callAdvice(settings almondcross.AdviceSettings, stage *stage, advice *stageAdvice, workers []string, long bool) {
	linkedHost := machine.availableHost(long)
	if linkedHost == nil {
		return
	}
	work := callWork(settings, len(workers))
	advice.pendingCalls++
	machine.startCall(linkedHost, adviceCall{
		stage: stage.id, long: long, alone: len(linkedHost.calls) == 0, work: work, sentAt: machine.now,
		deadline: machine.now.Add(work + adviceTimeoutMargin),
	})
	machine.emit(SendAdviceQuery{Adviser: linkedHost.name, Query: almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{Stage: stage.id, Workers: workers})})
}

// callWork returns how long the service is expected to work on a call.
func callWork(settings almondcross.AdviceSettings, workers int) time.Duration {
	// The configuration may state any latency, and the sum may be out of the range of int64.
	return time.Duration(min(float64(settings.Base())+float64(workers)*float64(settings.PerWorker()), float64(maxCallWork)))
}

// collectHosts collects the hosts that may make a call in a placement pass.
func (machine *Machine) collectHosts() {
	leader := machine.leader
	leader.idleHosts, leader.busyHosts, leader.longCalls = leader.idleHosts[:0], leader.busyHosts[:0], 0
	for _, linkedHost := range machine.linkedHosts {
		if linkedHost.hasLongCall() {
			leader.longCalls++
		}
		switch {
		case machine.now.Before(linkedHost.retryAt):
		case len(linkedHost.calls) == 0:
			leader.idleHosts = append(leader.idleHosts, linkedHost)
		case linkedHost.acceptsFurtherCall(machine.now):
			leader.busyHosts = append(leader.busyHosts, linkedHost)
		}
	}
	// The last one is used first.
	slices.SortFunc(leader.idleHosts, compareIdle)
	slices.SortFunc(leader.busyHosts, func(a, b *linkedHost) int {
		_, handledA := a.expectedTimes()
		_, handledB := b.expectedTimes()
		return cmp.Or(handledB.Compare(handledA), strings.Compare(b.name, a.name))
	})
}

// compareIdle orders idle hosts: one that comes later is to be used earlier. A host whose last call failed may not reach the service.
// It would get each retry if it were used before others, since it is soon idle again.
func compareIdle(a, b *linkedHost) int {
	switch {
	case a.callFailed && !b.callFailed:
		return -1
	case b.callFailed && !a.callFailed:
		return 1
	}
	return strings.Compare(b.name, a.name)
}

// availableHost returns a host that may make a call, an idle one if there is any, nil for none. Some hosts are kept free of
// long calls.
func (machine *Machine) availableHost(long bool) *linkedHost {
	leader, hosts := machine.leader, len(machine.linkedHosts)
	if long && hosts > 1 && float64(leader.longCalls+1) > maxLongCallShare*float64(hosts) {
		return nil
	}
	for _, available := range [...][]*linkedHost{leader.idleHosts, leader.busyHosts} {
		if len(available) > 0 {
			return available[len(available)-1]
		}
	}
	return nil
}

// startCall adds a call to those of the host that availableHost returned.
func (machine *Machine) startCall(linkedHost *linkedHost, call adviceCall) {
	leader := machine.leader
	if len(linkedHost.calls) == 0 {
		leader.idleHosts = leader.idleHosts[:len(leader.idleHosts)-1]
	} else {
		leader.busyHosts = leader.busyHosts[:len(leader.busyHosts)-1]
	}
	linkedHost.calls = append(linkedHost.calls, call)
	if call.long {
		leader.longCalls++
	}
	if linkedHost.acceptsFurtherCall(machine.now) {
		leader.busyHosts = slices.Insert(leader.busyHosts, 0, linkedHost) // The last one is used first.
	}
}
