package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// PeerConfig is a configured peer.
type PeerConfig struct {
	Name       string
	DataCentre string
	Address    string
}

// MachineConfig holds the fields of a new Machine.
type MachineConfig struct {
	Self  almondcross.Member
	Peers []PeerConfig
	Start time.Time
}

// Send is an effect that sends a message to a member.
type Send struct {
	Member  string
	Message almondcross.PeerMessage
}

// peerState is what the machine knows of one configured peer.
type peerState struct {
	config    PeerConfig
	peer      almondcross.Peer
	inView    bool
	removed   almondcross.MemberID // removed is the last incarnation that left the view.
	pingedAt  time.Time
	sentPings map[uint64]time.Time // sentPings holds the send times of unanswered pings.
}

// Machine decides who is in the view.
type Machine struct {
	self       almondcross.Member
	summary    almondcross.Summary
	peers      map[string]*peerState
	names      []string // names holds the names of the peers in order.
	lost       map[string]almondcross.Loss
	joinedWall time.Time
	lostWall   time.Time
	readyAt    time.Time
	lastSeen   time.Time // lastSeen is the time of the last message or tick.
	sequence   uint64
	rejoins    uint64
	finished   bool
}

// NewMachine returns a machine of a host that just started.
func NewMachine(config MachineConfig) *Machine {
	machine := &Machine{
		self:       config.Self,
		peers:      map[string]*peerState{},
		lost:       map[string]almondcross.Loss{},
		joinedWall: config.Start.Round(0),
		readyAt:    config.Start.Add(almondcross.StartWait),
		lastSeen:   config.Start,
	}
	machine.recordLoss(config.Self.ID().WithIncarnation(0), machine.readyAt)
	for _, peer := range config.Peers {
		machine.peers[peer.Name] = &peerState{config: peer, sentPings: map[uint64]time.Time{}}
		machine.names = append(machine.names, peer.Name)
	}
	slices.Sort(machine.names)
	return machine
}

// View returns the view at a time.
func (machine *Machine) View(now time.Time) almondcross.View {
	peers := make(map[string]almondcross.Peer, len(machine.peers))
	for name, state := range machine.peers {
		if state.inView {
			peers[name] = state.peer
		}
	}
	return almondcross.NewView(almondcross.ViewConfig{
		Self:       machine.self,
		Peers:      peers,
		Lost:       maps.Clone(machine.lost),
		JoinedWall: machine.joinedWall,
		LostWall:   machine.lostWall,
		ReadyAt:    machine.readyAt,
		ValidUntil: now.Add(almondcross.ViewLifetime),
	})
}

// Rejoins returns how often the host had to take a new incarnation.
func (machine *Machine) Rejoins() uint64 { return machine.rejoins }

// Apply processes a message and reports whether the view changed.
func (machine *Machine) Apply(message almondcross.RegistrarMessage, now time.Time) (effects []Send, changed bool) {
	changed = machine.notice(now)
	switch message := message.(type) {
	case almondcross.PeerReceived:
		effects, received := machine.receive(message.Message(), now)
		return effects, changed || received
	case almondcross.SummaryChanged:
		machine.summary = message.Summary().WithCatalogueOffset(machine.summary.CatalogueOffset())
	case almondcross.OffsetChanged:
		machine.summary = machine.summary.WithCatalogueOffset(message.Offset())
	case almondcross.LeaveView:
		return machine.leave(message.Final(), now)
	}
	return nil, changed
}

// Tick sends due pings, removes silent peers and forgets old losses.
func (machine *Machine) Tick(now time.Time) (effects []Send, changed bool) {
	changed = machine.notice(now)
	for _, name := range machine.names {
		state := machine.peers[name]
		if state.inView && now.Sub(state.peer.HeardAt()) > state.silenceLimit(machine.self) {
			machine.remove(state, now)
			changed = true
		}
		// Peers answer the pings of a member that said farewell with rejoin.
		if !machine.finished && now.Sub(state.pingedAt) >= state.pingInterval(machine.self) {
			effects = append(effects, machine.ping(name, state, now))
		}
	}
	for name, loss := range machine.lost {
		if now.Sub(loss.At()) > almondcross.HoldBack+almondcross.CallerClockSkew {
			delete(machine.lost, name)
			changed = true
		}
	}
	return effects, changed
}

// notice looks for a pause of this host and reports whether the view changed. After a pause the
// silence timers start again, so that the host does not remove peers whose messages wait in its own
// buffers. After a long pause other members may have taken over its keys, and messages that it sent
// before may still be obeyed, so it takes a new incarnation before it acts on anything.
func (machine *Machine) notice(now time.Time) bool {
	gap := now.Sub(machine.lastSeen)
	machine.lastSeen = now
	if gap <= almondcross.PauseLimit {
		return false
	}
	for _, state := range machine.peers {
		state.peer = state.peer.WithHeardAt(now)
	}
	if gap <= almondcross.LongPauseLimit {
		return false
	}
	machine.rejoin(0, now)
	return true
}

func (machine *Machine) ping(name string, state *peerState, now time.Time) Send {
	machine.sequence++
	state.pingedAt = now
	for sequence, sent := range state.sentPings {
		if now.Sub(sent) > almondcross.LinkLease {
			delete(state.sentPings, sequence)
		}
	}
	state.sentPings[machine.sequence] = now
	return Send{Member: name, Message: almondcross.NewPeerPing(almondcross.PeerPingConfig{
		Member: machine.self, Sequence: machine.sequence, Summary: machine.summary,
	})}
}

func (machine *Machine) receive(message almondcross.PeerMessage, now time.Time) ([]Send, bool) {
	switch message := message.(type) {
	case almondcross.PeerPing:
		return machine.receivePing(message, now)
	case almondcross.PeerPong:
		return nil, machine.receivePong(message, now)
	case almondcross.PeerLeaving:
		return machine.receiveLeaving(message, now)
	}
	return nil, false
}

func (machine *Machine) receivePing(ping almondcross.PeerPing, now time.Time) ([]Send, bool) {
	id := ping.Member().ID()
	state, ok := machine.peers[id.Name()]
	if !ok {
		return nil, false
	}
	known := state.peer.Member().ID()
	newest := max(known.Incarnation(), state.removed.Incarnation())
	pong := almondcross.PeerPongConfig{Member: machine.self.ID(), Sequence: ping.Sequence(), Known: newest}
	if id.Incarnation() < newest || id == state.removed {
		pong.Rejoin = true
		return []Send{{Member: id.Name(), Message: almondcross.NewPeerPong(pong)}}, false
	}
	changed := !state.inView || known != id || state.peer.Member().Leaving() != ping.Member().Leaving()
	if changed {
		machine.admit(state, ping.Member(), now)
	}
	state.peer = state.peer.WithMember(ping.Member()).WithSummary(ping.Summary()).WithHeardAt(now)
	return []Send{{Member: id.Name(), Message: almondcross.NewPeerPong(pong)}}, changed
}

// admit adds a member, a new incarnation of it or its intention to leave to the view. Keys move in
// each case, so the change counts as a join; a former incarnation in the view is lost.
func (machine *Machine) admit(state *peerState, member almondcross.Member, now time.Time) {
	if state.inView && state.peer.Member().ID() != member.ID() {
		machine.remove(state, now)
	}
	if !state.inView {
		state.peer = almondcross.NewPeer(almondcross.PeerConfig{Member: member})
	}
	state.inView = true
	if member.DataCentre() == machine.self.DataCentre() {
		machine.joinedWall = now.Round(0)
	}
}

func (machine *Machine) receivePong(pong almondcross.PeerPong, now time.Time) bool {
	state, ok := machine.peers[pong.Member().Name()]
	if !ok {
		return false
	}
	sent, ok := state.sentPings[pong.Sequence()]
	if !ok {
		return false
	}
	delete(state.sentPings, pong.Sequence())
	if pong.Rejoin() {
		machine.rejoin(pong.Known(), now)
		return true
	}
	if !state.inView || state.peer.Member().ID() != pong.Member() {
		return false
	}
	state.peer = state.peer.WithHeardAt(now)
	if state.peer.LeaseUntil().IsZero() {
		// The peer has this host in its view by now; keys that it started before were issued earlier.
		machine.joinedWall = now.Round(0)
	}
	if until := sent.Add(almondcross.LinkLease); until.After(state.peer.LeaseUntil()) {
		state.peer = state.peer.WithLeaseUntil(until)
	}
	return true
}

// rejoin takes a new incarnation after a peer removed this host from its view. The keys of the
// former incarnation may have new coordinators, so it counts as lost.
func (machine *Machine) rejoin(known uint64, now time.Time) {
	machine.readyAt = now.Add(almondcross.StartWait)
	// Until the end of the start wait a member that still has standing may start keys that it has
	// taken from this host, so the hold-back counts from there.
	machine.recordLoss(machine.self.ID(), machine.readyAt)
	machine.rejoins++
	id := machine.self.ID()
	machine.self = machine.self.WithID(id.WithIncarnation(max(id.Incarnation(), known) + 1))
	machine.joinedWall = now.Round(0)
	for _, state := range machine.peers {
		clear(state.sentPings)
		state.peer = state.peer.WithLeaseUntil(time.Time{})
		state.pingedAt = time.Time{}
	}
}

func (machine *Machine) receiveLeaving(leaving almondcross.PeerLeaving, now time.Time) ([]Send, bool) {
	state, ok := machine.peers[leaving.Member().Name()]
	if !ok || !state.inView || state.peer.Member().ID() != leaving.Member() {
		return nil, false
	}
	machine.remove(state, now)
	ack := almondcross.NewPeerLeavingAck(almondcross.PeerLeavingAckConfig{Member: machine.self.ID()})
	return []Send{{Member: leaving.Member().Name(), Message: ack}}, true
}

// remove takes a peer out of the view. A member that completed a planned stop counts as lost as well:
// its running tasks have no coordinator until the holders have asked the new ones to adopt them.
func (machine *Machine) remove(state *peerState, now time.Time) {
	member := state.peer.Member()
	state.inView = false
	state.removed = member.ID()
	if member.DataCentre() != machine.self.DataCentre() {
		return
	}
	machine.recordLoss(member.ID(), now)
}

func (machine *Machine) recordLoss(id almondcross.MemberID, at time.Time) {
	machine.lostWall = at.Round(0)
	machine.lost[id.Name()] = almondcross.NewLoss(almondcross.LossConfig{Member: id, At: at, WallTime: at.Round(0)})
}

// leave announces a planned stop in the next pings, or tells every peer that it is complete.
func (machine *Machine) leave(final bool, now time.Time) ([]Send, bool) {
	machine.self = machine.self.WithLeaving(true)
	machine.joinedWall = now.Round(0)
	var effects []Send
	for _, name := range machine.names {
		state := machine.peers[name]
		if !state.inView {
			continue
		}
		if final && !machine.finished {
			message := almondcross.NewPeerLeaving(almondcross.PeerLeavingConfig{Member: machine.self.ID()})
			effects = append(effects, Send{Member: name, Message: message})
			continue
		}
		effects = append(effects, machine.ping(name, state, now))
	}
	machine.finished = machine.finished || final
	return effects, true
}

func (peerstate *peerState) pingInterval(self almondcross.Member) time.Duration {
	if peerstate.config.DataCentre == self.DataCentre() {
		return almondcross.PingInterval
	}
	return almondcross.RemotePingInterval
}

func (peerstate *peerState) silenceLimit(self almondcross.Member) time.Duration {
	if peerstate.config.DataCentre == self.DataCentre() {
		return almondcross.SilenceLimit
	}
	return almondcross.RemoteSilenceLimit
}
