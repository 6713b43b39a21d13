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

// host is one entry host: the real machines, joined by calls in place of rings.
type host struct {
	world       *world
	name        string
	life        int // life tells the runs of a host apart.
	alive       bool
	pausedUntil time.Time
	waiting     []func() // waiting holds what arrived during a pause.
	overdue     []func() // overdue holds the timers that passed during a pause.
	ring        []func()
	draining    bool
	registrar   *registrar.Machine
	coordinator *coordinator.Machine
	placer      *placer.Machine
	links       map[string]*lease // links holds the leases by target.
}

// lease is the fake of a dispatcher: it acquires, renews and starts like command/dispatcher.
type lease struct {
	wanted, holding bool
	acquiring       bool // acquiring is set while an acquire call has no answer: a dispatcher makes one call at a time.
	dropped         bool
	term            almondcross.Term
	usableUntil     time.Time
	named           []almondcross.TaskID
	after           uint64
}

// start begins a new run of a host.
func (world *world) start(name string) {
	life := 1
	if old, ok := world.hosts[name]; ok {
		life = old.life + 1
	}
	self := almondcross.NewMember(almondcross.MemberConfig{
		ID:         almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: uint64(life) * 1000}),
		DataCentre: dataCentre,
	})
	var peers []registrar.PeerConfig
	for _, other := range world.hostNames {
		if other != name {
			peers = append(peers, registrar.PeerConfig{Name: other, DataCentre: dataCentre})
		}
	}
	host := &host{world: world, name: name, life: life, alive: true, links: map[string]*lease{}}
	host.registrar = registrar.NewMachine(registrar.MachineConfig{Self: self, Peers: peers, Start: world.now})
	host.coordinator = coordinator.NewMachine(coordinator.MachineConfig{
		View: host.registrar.View(world.now), Catalogue: almondcross.NewCatalogue(), Start: world.now,
	})
	host.placer = placer.NewMachine(placer.MachineConfig{
		Policies: placer.Policies{
			Placement: packer.New(), Share: sharer.New(), Estimator: estimator.New(), Admission: admitter.New(),
		},
		Seed: uint64(life),
	})
	world.hosts[name] = host
	world.note("%s starts, life %d", name, life)
	host.publish()
	host.tell(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: world.catalogue}))
	host.place(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: world.catalogue}))
	host.listTargets()
	host.every(almondcross.PingInterval, host.tick)
	host.every(50*time.Millisecond, host.timers)
}

func (host *host) self() almondcross.Member { return host.registrar.View(host.world.now).Self() }

// every repeats a step for as long as the host lives.
func (host *host) every(interval time.Duration, step func()) {
	host.world.after(interval, func() {
		if !host.alive {
			return
		}
		repeat := func() {
			step()
			host.every(interval, step)
		}
		if host.world.now.Before(host.pausedUntil) {
			host.overdue = append(host.overdue, repeat)
			return
		}
		repeat()
	})
}

// run carries out a step, after the end of a pause when there is one.
func (host *host) run(step func()) {
	if !host.alive {
		return
	}
	if host.world.now.Before(host.pausedUntil) {
		host.waiting = append(host.waiting, step)
		return
	}
	step()
}

func (host *host) pause(length time.Duration) {
	if !host.alive || host.world.now.Before(host.pausedUntil) {
		return
	}
	host.pausedUntil = host.world.now.Add(length)
	host.world.note("%s pauses for %v", host.name, length)
	host.world.at(host.pausedUntil, func() {
		host.world.note("%s resumes", host.name)
		// A resumed process may see its overdue timers or the messages that wait first.
		steps := slices.Concat(host.waiting, host.overdue)
		if host.world.random.IntN(2) == 0 {
			steps = slices.Concat(host.overdue, host.waiting)
		}
		host.waiting, host.overdue = nil, nil
		for _, step := range steps {
			host.run(step)
		}
	})
}

func (host *host) kill() {
	host.world.note("%s is killed", host.name)
	host.alive = false
}

func (host *host) tick() {
	effects, _ := host.registrar.Tick(host.world.now)
	for _, effect := range effects {
		host.send(effect.Member, effect.Message)
	}
	host.publish()
}

func (host *host) timers() {
	host.enqueue(func() { host.carryOut(host.coordinator.Tick(host.world.now)) })
	host.enqueue(func() { host.carryOutPlacer(host.placer.Tick(host.world.now)) })
}

func (host *host) publish() {
	message := almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: host.registrar.View(host.world.now)})
	host.tell(message)
	host.place(message)
}

func (host *host) listTargets() {
	var targets []almondcross.Target
	for _, name := range host.world.names {
		state := almondcross.HostLive
		if host.world.workers[name].leaving {
			state = almondcross.HostLeaving
		}
		targets = append(targets, almondcross.NewTarget(almondcross.TargetConfig{
			Name: name, DataCentre: dataCentre, Rack: name, State: state,
		}))
	}
	host.place(almondcross.NewTargetsListed(almondcross.TargetsListedConfig{
		Hosts: almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Version: 1, Targets: targets}),
	}))
}

func (host *host) tell(message almondcross.CoordinatorMessage) {
	host.run(func() {
		host.enqueue(func() { host.carryOut(host.coordinator.Apply(message, host.world.now)) })
	})
}

func (host *host) place(message almondcross.PlacerMessage) {
	host.run(func() {
		host.enqueue(func() { host.carryOutPlacer(host.placer.Apply(message, host.world.now)) })
	})
}

// enqueue keeps the order of a ring: a message that follows from an effect waits for the other
// effects of the same step.
func (host *host) enqueue(step func()) {
	host.ring = append(host.ring, step)
	if host.draining {
		return
	}
	host.draining = true
	for len(host.ring) > 0 {
		next := host.ring[0]
		host.ring = host.ring[1:]
		next()
	}
	host.draining = false
}

func (host *host) carryOut(effects []coordinator.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case coordinator.Reply:
			effect.Replier.Reply(effect.Outcome)
		case coordinator.Send:
			host.send(effect.Member, effect.Message)
		case coordinator.Place:
			host.place(effect.Message)
		case coordinator.Claim:
			switch message := effect.Message.(type) {
			case almondcross.ClaimKey:
				host.world.log.claim(host, message.Key())
			case almondcross.SettleKey:
				host.world.log.settle(message.Outcome())
			}
		case coordinator.FetchAnswer:
			host.world.log.fetch(host, effect.Message)
		case coordinator.Story:
			host.world.note("%s: %s %s %s %s", host.name, effect.Event.Key(), effect.Event.Event(), effect.Event.Code(), effect.Event.Target())
		}
	}
}

func (host *host) carryOutPlacer(effects []placer.Effect) {
	// The machine reuses its slice, and a report may lead to another call.
	for _, effect := range append([]placer.Effect(nil), effects...) {
		switch effect.Kind {
		case placer.EffectCreate:
			host.links[effect.Target.Name()] = &lease{}
		case placer.EffectDrop:
			host.dropLease(effect.Name)
		case placer.EffectSend:
			host.dispatch(effect.Name, effect.Dispatch)
		case placer.EffectReport:
			if effect.Member.Name() == host.name {
				host.tell(effect.Report)
				continue
			}
			host.send(effect.Member.Name(), effect.Report)
		case placer.EffectSummary:
			host.registrar.Apply(almondcross.NewSummaryChanged(almondcross.SummaryChangedConfig{Summary: effect.Summary}), host.world.now)
		case placer.EffectStory:
			host.world.note("%s placer: %s %s %s %s", host.name, effect.Story.Key(), effect.Story.Event(), effect.Story.Code(), effect.Story.Target())
		case placer.EffectForward:
			host.send(effect.Member.Name(), effect.Peer)
		}
	}
}

// send delivers a message unless the receiver dies before. A link keeps order and loses nothing
// between living hosts.
func (host *host) send(member string, message almondcross.PeerMessage) {
	arrival := host.world.delay(host.name + ">" + member)
	from := host.name
	host.world.at(arrival, func() {
		receiver, ok := host.world.hosts[member]
		if ok {
			receiver.run(func() { receiver.receive(from, message) })
		}
	})
}

func (host *host) receive(from string, message almondcross.PeerMessage) {
	switch message := message.(type) {
	case almondcross.PeerPing, almondcross.PeerPong, almondcross.PeerLeaving, almondcross.PeerLeavingAck:
		host.register(message)
	case almondcross.PeerSubmit:
		host.tell(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
			Request: message.Request(), Forwarded: true, Replier: host.replyTo(from, message.Correlation()),
		}))
	case almondcross.PeerLookup:
		host.tell(almondcross.NewLookupRequest(almondcross.LookupRequestConfig{
			Key: message.Key(), Forwarded: true, Replier: host.replyTo(from, message.Correlation()),
		}))
	case almondcross.CoordinatorMessage:
		host.tell(message)
	case almondcross.PlacerMessage:
		host.place(message)
	}
}

func (host *host) register(message almondcross.PeerMessage) {
	effects, changed := host.registrar.Apply(
		almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{Message: message}), host.world.now)
	for _, effect := range effects {
		host.send(effect.Member, effect.Message)
	}
	if changed {
		host.publish()
	}
}

// replier is a Replier that calls a function.
type replier func(almondcross.Outcome)

func (replier replier) Reply(outcome almondcross.Outcome) { replier(outcome) }

func (host *host) replyTo(member string, correlation uint64) almondcross.Replier {
	return replier(func(outcome almondcross.Outcome) {
		host.send(member, almondcross.NewPeerReply(almondcross.PeerReplyConfig{Correlation: correlation, Outcome: outcome}))
	})
}
