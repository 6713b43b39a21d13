package cell_test

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/coordinator"
	"github.com/almondcross/almondcross/command/placer"
	"github.com/almondcross/almondcross/command/registrar"
	"github.com/almondcross/almondcross/policy/admitter"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/packer"
	"github.com/almondcross/almondcross/policy/sharer"
)

// host is one simulated entry host: it runs the real state machines and connects them by function calls
// in place of rings.
type host struct {
	cell             *cell
	name             string
	startCount       int // startCount counts the starts of the host and gives each its incarnation.
	alive            bool
	pausedUntil      time.Time
	deferredMessages []func() // deferredMessages holds the messages that arrived during a pause.
	deferredTimers   []func() // deferredTimers holds the timers that expired during a pause.
	ring             []func()
	processing       bool
	registrar        *registrar.Machine
	coordinator      *coordinator.Machine
	placer           *placer.Machine
	leases           map[string]*lease // leases holds the lease of each target by the target's name.
}

// lease is the state of a host's worker lease on one target. The methods of host that use it replace
// command/dispatcher: they acquire, renew and release the lease and start tasks.
type lease struct {
	wanted, held   bool
	acquiring      bool // acquiring is set while an acquire call is pending: a dispatcher makes one call at a time.
	closed         bool
	term           almondcross.Term
	usableUntil    time.Time
	renewedTasks   []almondcross.TaskID
	lastEventIndex uint64
}

// start starts a host without state and with a new incarnation.
func (cell *cell) start(name string) {
	startCount := 1
	if old, ok := cell.hosts[name]; ok {
		startCount = old.startCount + 1
	}
	self := almondcross.NewMember(almondcross.MemberConfig{
		ID:         almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: uint64(startCount) * 1000}),
		DataCentre: dataCentre,
	})
	var peers []registrar.PeerConfig
	for _, other := range cell.hostNames {
		if other != name {
			peers = append(peers, registrar.PeerConfig{Name: other, DataCentre: dataCentre})
		}
	}
	host := &host{cell: cell, name: name, startCount: startCount, alive: true, leases: map[string]*lease{}}
	host.registrar = registrar.NewMachine(registrar.MachineConfig{Self: self, Peers: peers, Start: cell.now})
	host.coordinator = coordinator.NewMachine(coordinator.MachineConfig{
		View: host.registrar.View(cell.now), Catalogue: almondcross.NewCatalogue(), Start: cell.now,
	})
	host.placer = placer.NewMachine(placer.MachineConfig{
		Policies: placer.Policies{
			Placement: packer.New(), Share: sharer.New(), Estimator: estimator.New(), Admission: admitter.New(),
		},
		Seed: uint64(startCount),
	})
	cell.hosts[name] = host
	cell.tracef("%s starts, start number %d", name, startCount)
	host.publish()
	host.sendToCoordinator(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: cell.catalogue}))
	host.sendToPlacer(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: cell.catalogue}))
	host.sendTargetList()
	host.repeatEvery(almondcross.PingInterval, host.tickRegistrar)
	host.repeatEvery(50*time.Millisecond, host.tickMachines)
}

func (host *host) self() almondcross.Member { return host.registrar.View(host.cell.now).Self() }

// repeatEvery runs a step at each interval until the host is killed. A step that is due during a pause is deferred.
func (host *host) repeatEvery(interval time.Duration, step func()) {
	host.cell.runAfter(interval, func() {
		if !host.alive {
			return
		}
		repeat := func() {
			step()
			host.repeatEvery(interval, step)
		}
		if host.cell.now.Before(host.pausedUntil) {
			host.deferredTimers = append(host.deferredTimers, repeat)
			return
		}
		repeat()
	})
}

// runOrDefer runs a step at once, or at the end of the pause if the host is paused. A killed host drops it.
func (host *host) runOrDefer(step func()) {
	if !host.alive {
		return
	}
	if host.cell.now.Before(host.pausedUntil) {
		host.deferredMessages = append(host.deferredMessages, step)
		return
	}
	step()
}

func (host *host) pause(duration time.Duration) {
	if !host.alive || host.cell.now.Before(host.pausedUntil) {
		return
	}
	host.pausedUntil = host.cell.now.Add(duration)
	host.cell.tracef("%s pauses for %v", host.name, duration)
	host.cell.runAt(host.pausedUntil, func() {
		host.cell.tracef("%s resumes", host.name)
		// A resumed process may handle either its expired timers or its pending messages first.
		steps := slices.Concat(host.deferredMessages, host.deferredTimers)
		if host.cell.random.IntN(2) == 0 {
			steps = slices.Concat(host.deferredTimers, host.deferredMessages)
		}
		host.deferredMessages, host.deferredTimers = nil, nil
		for _, step := range steps {
			host.runOrDefer(step)
		}
	})
}

func (host *host) kill() {
	host.cell.tracef("%s is killed", host.name)
	host.alive = false
}

func (host *host) tickRegistrar() {
	effects, _ := host.registrar.Tick(host.cell.now)
	for _, effect := range effects {
		host.send(effect.Member, effect.Message)
	}
	host.publish()
}

func (host *host) tickMachines() {
	host.enqueue(func() { host.applyCoordinatorEffects(host.coordinator.Tick(host.cell.now)) })
	host.enqueue(func() { host.applyPlacerEffects(host.placer.Tick(host.cell.now)) })
}

func (host *host) publish() {
	message := almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: host.registrar.View(host.cell.now)})
	host.sendToCoordinator(message)
	host.sendToPlacer(message)
}

func (host *host) sendTargetList() {
	var targets []almondcross.Target
	for _, name := range host.cell.workerNames {
		state := almondcross.HostLive
		if host.cell.workers[name].leaving {
			state = almondcross.HostLeaving
		}
		targets = append(targets, almondcross.NewTarget(almondcross.TargetConfig{
			Name: name, DataCentre: dataCentre, Rack: name, State: state,
		}))
	}
	host.sendToPlacer(almondcross.NewTargetsListed(almondcross.TargetsListedConfig{
		Hosts: almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Version: 1, Targets: targets}),
	}))
}

func (host *host) sendToCoordinator(message almondcross.CoordinatorMessage) {
	host.runOrDefer(func() {
		host.enqueue(func() { host.applyCoordinatorEffects(host.coordinator.Apply(message, host.cell.now)) })
	})
}

func (host *host) sendToPlacer(message almondcross.PlacerMessage) {
	host.runOrDefer(func() {
		host.enqueue(func() { host.applyPlacerEffects(host.placer.Apply(message, host.cell.now)) })
	})
}

// enqueue processes steps in the order of a ring: a message that results from an effect is handled
// after the other effects of the same step.
func (host *host) enqueue(step func()) {
	host.ring = append(host.ring, step)
	if host.processing {
		return
	}
	host.processing = true
	for len(host.ring) > 0 {
		next := host.ring[0]
		host.ring = host.ring[1:]
		next()
	}
	host.processing = false
}

func (host *host) applyCoordinatorEffects(effects []coordinator.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case coordinator.Reply:
			effect.Replier.Reply(effect.Outcome)
		case coordinator.Send:
			host.send(effect.Member, effect.Message)
		case coordinator.NotifyPlacer:
			host.sendToPlacer(effect.Message)
		case coordinator.NotifyClaimer:
			switch message := effect.Message.(type) {
			case almondcross.ClaimKey:
				host.cell.log.claim(host, message.Key())
			case almondcross.SettleKey:
				host.cell.log.settle(message.Outcome())
			}
		case coordinator.FetchAnswer:
			host.cell.log.fetch(host, effect.Message)
		case coordinator.RecordDecision:
			host.cell.tracef("%s: %s %s %s %s", host.name, effect.Event.Key(), effect.Event.Event(), effect.Event.Code(), effect.Event.Target())
		}
	}
}

func (host *host) applyPlacerEffects(effects []placer.Effect) {
	// The machine reuses its slice, and handling a report may call the machine again.
	for _, effect := range append([]placer.Effect(nil), effects...) {
		switch effect.Kind {
		case placer.EffectCreate:
			host.leases[effect.Target.Name()] = &lease{}
		case placer.EffectDrop:
			host.closeLease(effect.Name)
		case placer.EffectSend:
			host.applyDispatch(effect.Name, effect.Dispatch)
		case placer.EffectReport:
			if effect.Member.Name() == host.name {
				host.sendToCoordinator(effect.Report)
				continue
			}
			host.send(effect.Member.Name(), effect.Report)
		case placer.EffectSummary:
			host.registrar.Apply(almondcross.NewSummaryChanged(almondcross.SummaryChangedConfig{Summary: effect.Summary}), host.cell.now)
		case placer.EffectDecision:
			host.cell.tracef("%s placer: %s %s %s %s", host.name, effect.Decision.Key(), effect.Decision.Event(), effect.Decision.Code(), effect.Decision.Target())
		case placer.EffectForward:
			host.send(effect.Member.Name(), effect.Peer)
		}
	}
}

// send delivers a message unless the receiver is killed first. A link delivers in order and loses no
// messages between running hosts.
func (host *host) send(member string, message almondcross.PeerMessage) {
	arrival := host.cell.arrivalTime(host.name + ">" + member)
	from := host.name
	host.cell.runAt(arrival, func() {
		receiver, ok := host.cell.hosts[member]
		if ok {
			receiver.runOrDefer(func() { receiver.receive(from, message) })
		}
	})
}

func (host *host) receive(from string, message almondcross.PeerMessage) {
	switch message := message.(type) {
	case almondcross.PeerPing, almondcross.PeerPong, almondcross.PeerLeaving, almondcross.PeerLeavingAck:
		host.applyToRegistrar(message)
	case almondcross.PeerSubmit:
		host.sendToCoordinator(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
			Request: message.Request(), Forwarded: true, Replier: host.replyTo(from, message.Correlation()),
		}))
	case almondcross.PeerLookup:
		host.sendToCoordinator(almondcross.NewLookupRequest(almondcross.LookupRequestConfig{
			Key: message.Key(), Forwarded: true, Replier: host.replyTo(from, message.Correlation()),
		}))
	case almondcross.PeerCancel:
		host.sendToCoordinator(almondcross.NewCancelRequest(almondcross.CancelRequestConfig{
			Key: message.Key(), Forwarded: true, Replier: host.replyTo(from, message.Correlation()),
		}))
	case almondcross.CoordinatorMessage:
		host.sendToCoordinator(message)
	case almondcross.PlacerMessage:
		host.sendToPlacer(message)
	}
}

func (host *host) applyToRegistrar(message almondcross.PeerMessage) {
	effects, changed := host.registrar.Apply(
		almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{Message: message}), host.cell.now)
	for _, effect := range effects {
		host.send(effect.Member, effect.Message)
	}
	if changed {
		host.publish()
	}
}

// replierFunc adapts a function to almondcross.Replier.
type replierFunc func(almondcross.Outcome)

func (replierfunc replierFunc) Reply(outcome almondcross.Outcome) { replierfunc(outcome) }

func (host *host) replyTo(member string, correlation uint64) almondcross.Replier {
	return replierFunc(func(outcome almondcross.Outcome) {
		host.send(member, almondcross.NewPeerReply(almondcross.PeerReplyConfig{Correlation: correlation, Outcome: outcome}))
	})
}
