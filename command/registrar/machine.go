package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// PeerConfig is the static configuration of a peer.
type PeerConfig struct {
	Name       string
	DataCentre string
	Address    string
}

// MachineConfig holds the identity, peers and start time of a Machine.
type MachineConfig struct {
	Self  almondcross.Member
	Peers []PeerConfig
	Start time.Time
}

// Send is an effect: the duty must send a message to a member.
type Send struct {
	Member  string
	Message almondcross.PeerMessage
}

// peerState is the state of one configured peer.
type peerState struct {
	config       PeerConfig
	peer         almondcross.Peer
	inView       bool
	lastRemoved  almondcross.MemberID // lastRemoved is the last incarnation that left the view.
	pingedAt     time.Time
	pendingPings map[uint64]time.Time // pendingPings holds the send times of unanswered pings by sequence number.
}

// Machine decides which members are in the view; it is not safe for concurrent use.
type Machine struct {
	self         almondcross.Member
	summary      almondcross.Summary
	peers        map[string]*peerState
	peerNames    []string // peerNames holds the names of the peers in order.
	losses       map[string]almondcross.Loss
	lastJoinWall time.Time // lastJoinWall is the wall-clock time of the last change that counts as a join.
	lastLossWall time.Time // lastLossWall is the wall-clock time of the last loss.
	readyAt      time.Time
	lastStepAt   time.Time // lastStepAt is the time of the last message or tick.
	pingSequence uint64
	rejoins      uint64
	left         bool
}

// NewMachine returns the machine of a host that starts now. The previous incarnation of the host counts as lost.
func NewMachine(config MachineConfig) *Machine {
	machine := &Machine{
		self:         config.Self,
		peers:        map[string]*peerState{},
		losses:       map[string]almondcross.Loss{},
		lastJoinWall: config.Start.Round(0),
		readyAt:      config.Start.Add(almondcross.StartWait),
		lastStepAt:   config.Start,
	}
	machine.recordLoss(config.Self.ID().WithIncarnation(0), machine.readyAt)
	for _, peer := range config.Peers {
		machine.peers[peer.Name] = &peerState{config: peer, pendingPings: map[uint64]time.Time{}}
		machine.peerNames = append(machine.peerNames, peer.Name)
	}
	slices.Sort(machine.peerNames)
	return machine
}

// View returns the current view, which is valid for ViewLifetime from now.
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
		Lost:       maps.Clone(machine.losses),
		JoinedWall: machine.lastJoinWall,
		LostWall:   machine.lastLossWall,
		ReadyAt:    machine.readyAt,
		ValidUntil: now.Add(almondcross.ViewLifetime),
	})
}

// Rejoins returns the number of times that the host took a new incarnation.
func (machine *Machine) Rejoins() uint64 { return machine.rejoins }

// Apply processes a message, and returns the messages to send and whether the view changed.
func (machine *Machine) Apply(message almondcross.RegistrarMessage, now time.Time) (effects []Send, changed bool) {
	changed = machine.detectPause(now)
	switch message := message.(type) {
	case almondcross.PeerReceived:
		effects, viewChanged := machine.receive(message.Message(), now)
		return effects, changed || viewChanged
	case almondcross.SummaryChanged:
		machine.summary = message.Summary().WithCatalogueOffset(machine.summary.CatalogueOffset())
	case almondcross.OffsetChanged:
		machine.summary = machine.summary.WithCatalogueOffset(message.Offset())
	case almondcross.LeaveView:
		return machine.leave(message.Final(), now)
	}
	return nil, changed
}

// Tick removes silent peers and expired losses. It returns the pings that are due and whether the view changed.
func (machine *Machine) Tick(now time.Time) (effects []Send, changed bool) {
	changed = machine.detectPause(now)
	for _, name := range machine.peerNames {
		state := machine.peers[name]
		if state.inView && now.Sub(state.peer.HeardAt()) > state.silenceLimit(machine.self) {
			machine.remove(state, now)
			changed = true
		}
		// After the final leave message no pings are sent, since peers would reply that the member must rejoin.
		if !machine.left && now.Sub(state.pingedAt) >= state.pingInterval(machine.self) {
			effects = append(effects, machine.ping(name, state, now))
		}
	}
	for name, loss := range machine.losses {
		if now.Sub(loss.At()) > almondcross.HoldBack+almondcross.CallerClockSkew {
			delete(machine.losses, name)
			changed = true
		}
	}
	return effects, changed
}

// detectPause detects a pause of this host and reports whether the view changed. After a pause the silence timers are
// restarted, so that the host does not remove peers whose messages are still in its own buffers. After a long pause
// other members may have taken over its keys, and its earlier messages may still have effects, so it takes a new
// incarnation before it processes anything else.
func (machine *Machine) detectPause(now time.Time) bool {
	gap := now.Sub(machine.lastStepAt)
	machine.lastStepAt = now
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
	machine.pingSequence++
	state.pingedAt = now
	for sequence, sent := range state.pendingPings {
		if now.Sub(sent) > almondcross.LinkLease {
			delete(state.pendingPings, sequence)
		}
	}
	state.pendingPings[machine.pingSequence] = now
	return Send{Member: name, Message: almondcross.NewPeerPing(almondcross.PeerPingConfig{
		Member: machine.self, Sequence: machine.pingSequence, Summary: machine.summary,
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
	current := state.peer.Member().ID()
	newestIncarnation := max(current.Incarnation(), state.lastRemoved.Incarnation())
	pong := almondcross.PeerPongConfig{Member: machine.self.ID(), Sequence: ping.Sequence(), Known: newestIncarnation}
	if id.Incarnation() < newestIncarnation || id == state.lastRemoved {
		pong.Rejoin = true
		return []Send{{Member: id.Name(), Message: almondcross.NewPeerPong(pong)}}, false
	}
	changed := !state.inView || current != id || state.peer.Member().Leaving() != ping.Member().Leaving()
	if changed {
		machine.admit(state, ping.Member(), now)
	}
	state.peer = state.peer.WithMember(ping.Member()).WithSummary(ping.Summary()).WithHeardAt(now)
	return []Send{{Member: id.Name(), Message: almondcross.NewPeerPong(pong)}}, changed
}

// admit updates the view for a new member, a new incarnation of a member or a changed intention to leave. Keys move to
// other coordinators in each case, so the change counts as a join. A former incarnation in the view counts as lost.
func (machine *Machine) admit(state *peerState, member almondcross.Member, now time.Time) {
	if state.inView && state.peer.Member().ID() != member.ID() {
		machine.remove(state, now)
	}
	if !state.inView {
		state.peer = almondcross.NewPeer(almondcross.PeerConfig{Member: member})
	}
	state.inView = true
	if member.DataCentre() == machine.self.DataCentre() {
		machine.lastJoinWall = now.Round(0)
	}
}

func (machine *Machine) receivePong(pong almondcross.PeerPong, now time.Time) bool {
	state, ok := machine.peers[pong.Member().Name()]
	if !ok {
		return false
	}
	sent, ok := state.pendingPings[pong.Sequence()]
	if !ok {
		return false
	}
	delete(state.pendingPings, pong.Sequence())
	if pong.Rejoin() {
		machine.rejoin(pong.Known(), now)
		return true
	}
	if !state.inView || state.peer.Member().ID() != pong.Member() {
		return false
	}
	state.peer = state.peer.WithHeardAt(now)
	if state.peer.LeaseUntil().IsZero() {
		// From now on the peer has this host in its view. Keys that it started before were issued before this time.
		machine.lastJoinWall = now.Round(0)
	}
	if until := sent.Add(almondcross.LinkLease); until.After(state.peer.LeaseUntil()) {
		state.peer = state.peer.WithLeaseUntil(until)
	}
	return true
}

// rejoin takes a new incarnation after a long pause, or after a peer removed this host from its view. The keys of the
// former incarnation may have new coordinators, so that incarnation counts as lost.
func (machine *Machine) rejoin(knownIncarnation uint64, now time.Time) {
	machine.readyAt = now.Add(almondcross.StartWait)
	// Until the end of the start wait, a member that still has a valid link lease from every peer may start keys that
	// it took over from this host, so the hold-back begins at the end of the start wait.
	machine.recordLoss(machine.self.ID(), machine.readyAt)
	machine.rejoins++
	id := machine.self.ID()
	machine.self = machine.self.WithID(id.WithIncarnation(max(id.Incarnation(), knownIncarnation) + 1))
	machine.lastJoinWall = now.Round(0)
	for _, state := range machine.peers {
		clear(state.pendingPings)
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

// remove removes a peer from the view. A member of the own data centre counts as lost even after a graceful shutdown:
// its running tasks have no coordinator until new coordinators have adopted them at the request of the holders.
func (machine *Machine) remove(state *peerState, now time.Time) {
	member := state.peer.Member()
	state.inView = false
	state.lastRemoved = member.ID()
	if member.DataCentre() != machine.self.DataCentre() {
		return
	}
	machine.recordLoss(member.ID(), now)
}

func (machine *Machine) recordLoss(id almondcross.MemberID, at time.Time) {
	machine.lastLossWall = at.Round(0)
	machine.losses[id.Name()] = almondcross.NewLoss(almondcross.LossConfig{Member: id, At: at, WallTime: at.Round(0)})
}

// leave announces a graceful shutdown with an immediate ping to every peer in the view. If final is set, it sends the
// leave message instead, after which the peers remove this host from their views.
func (machine *Machine) leave(final bool, now time.Time) ([]Send, bool) {
	machine.self = machine.self.WithLeaving(true)
	machine.lastJoinWall = now.Round(0)
	var effects []Send
	for _, name := range machine.peerNames {
		state := machine.peers[name]
		if !state.inView {
			continue
		}
		if final && !machine.left {
			message := almondcross.NewPeerLeaving(almondcross.PeerLeavingConfig{Member: machine.self.ID()})
			effects = append(effects, Send{Member: name, Message: message})
			continue
		}
		effects = append(effects, machine.ping(name, state, now))
	}
	machine.left = machine.left || final
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
