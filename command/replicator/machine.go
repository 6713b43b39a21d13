package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// tellDelay is the time from when a version came into force until other hosts are told of it. Most of them have read it by then.
	tellDelay = 100 * time.Millisecond
	// uplinkTellDelay is the same for the scheduler's host. It is longer than tellDelay and the way over a link, so that the hosts of a
	// cell do not all tell the scheduler's host what it tells them.
	uplinkTellDelay = 400 * time.Millisecond
	// retryInterval is the time after which a message for a full queue is sent again.
	retryInterval = 200 * time.Millisecond
	// noVersion stands for an end that has not told its version yet, or that has been told none. It is below the version of a host
	// without a configuration, which is 0.
	noVersion = -1
)

// Config holds the dependencies of a Machine.
type Config struct {
	Decoder almondcross.ConfigurationDecoder
	Links   almondcross.RoutesLinker
	// SetRoutes puts a route table in force for the calls of this host.
	SetRoutes func(table almondcross.RouteTable)
	Scheduler almondcross.Sink[almondcross.SchedulerMessage] // Scheduler receives each route table in force.
	Log       almondcross.EventLog
}

// Machine decides which version of the configuration is in force on a host, and what the other ends of its links are told. Only one
// goroutine may use it.
type Machine struct {
	config  Config
	now     time.Time                // now is the time of the current call.
	current almondcross.RoutesRecord // current is the version in force.
	peers   map[almondcross.LinkEnd]*peer
	// passAt is when the version in force is passed to the scheduler duty, zero if that has happened.
	passAt time.Time
}

// peer is the other end of a link.
type peer struct {
	known    int64 // known is the highest version that the other end is known to have.
	told     int64 // told is the version that it was told last.
	rejected int64 // rejected is the version of it that could not be decoded.
	// tell, want and send are set while the other end has to be told the version in force, asked for its configuration, and sent that of
	// this host. dueAt is when that is done, zero if nothing is.
	tell, want, send bool
	dueAt            time.Time
}

func newPeer() *peer { return &peer{known: noVersion, told: noVersion} }

// plan makes an action of the peer due at a time.
func (peer *peer) plan(action *bool, at time.Time) {
	*action = true
	if peer.dueAt.IsZero() || at.Before(peer.dueAt) {
		peer.dueAt = at
	}
}

// NewMachine returns a machine without a configuration and without links.
func NewMachine(config Config) *Machine {
	return &Machine{config: config, peers: map[almondcross.LinkEnd]*peer{}}
}

// Apply applies a message.
func (machine *Machine) Apply(message almondcross.RoutesMessage, now time.Time) {
	machine.now = now
	switch message := message.(type) {
	case almondcross.RoutesStored:
		machine.putInForce(message.Record())
	case almondcross.RoutesLinkChanged:
		machine.linkChanged(message)
	case almondcross.RoutesKnown:
		machine.versionKnown(message)
	case almondcross.RoutesWanted:
		machine.routesWanted(message)
	case almondcross.RoutesSent:
		machine.routesReceived(message)
	}
}

// version returns the version in force, 0 for none.
func (machine *Machine) version() int64 { return machine.current.Table().Version() }

// putInForce replaces the version in force by a newer one, and reports whether it did.
func (machine *Machine) putInForce(record almondcross.RoutesRecord) bool {
	if record.Table().Version() <= machine.version() {
		return false
	}
	machine.current = record
	machine.config.SetRoutes(record.Table())
	machine.passAt = machine.now
	for end, peer := range machine.peers {
		machine.planTell(end, peer)
	}
	return true
}

// planTell plans that an end is told the version in force, if it is not known to have it by then.
func (machine *Machine) planTell(end almondcross.LinkEnd, peer *peer) {
	delay := tellDelay
	if end.Uplink != 0 {
		delay = uplinkTellDelay
	}
	if !peer.tell {
		peer.plan(&peer.tell, machine.now.Add(delay))
	}
}

// linkChanged begins or ends the replication over a link. The host that accepts a link tells its version first, also if it has none:
// that shows the other host, which may be of an earlier version, that it may answer.
func (machine *Machine) linkChanged(change almondcross.RoutesLinkChanged) {
	if !change.Present() {
		delete(machine.peers, change.End())
		return
	}
	peer := newPeer()
	machine.peers[change.End()] = peer
	peer.plan(&peer.tell, machine.now)
}

// versionKnown asks an end with a newer version for it, and plans to tell an end with an older one.
func (machine *Machine) versionKnown(message almondcross.RoutesKnown) {
	end := message.End()
	peer := machine.peers[end]
	if peer == nil {
		if end.Uplink == 0 {
			return // The link has ended.
		}
		machine.dropUplinks()
		peer = newPeer()
		machine.peers[end] = peer
	}
	peer.known = max(peer.known, message.Version())
	switch {
	case message.Version() < machine.version():
		machine.planTell(end, peer)
	case message.Version() > machine.version() && message.Version() != peer.rejected:
		peer.plan(&peer.want, machine.now)
	}
}

// dropUplinks forgets the earlier links to schedulers' hosts, whose ends may not have been reported.
func (machine *Machine) dropUplinks() {
	maps.DeleteFunc(machine.peers, func(end almondcross.LinkEnd, _ *peer) bool { return end.Uplink != 0 })
}

// routesWanted plans that an end is sent the configuration.
func (machine *Machine) routesWanted(message almondcross.RoutesWanted) {
	peer, size := machine.peers[message.End()], len(machine.current.Source())
	switch {
	case peer == nil || machine.version() == 0:
	case size > almondcross.MaxRoutesBytes:
		machine.config.Log.Record("routes_not_sent", almondcross.Text("to", message.End().Host), almondcross.Number("version", machine.version()),
			almondcross.Number("bytes", size))
	default:
		peer.plan(&peer.send, machine.now)
	}
}

// routesReceived puts the configuration of another host in force if it is newer.
func (machine *Machine) routesReceived(message almondcross.RoutesSent) {
	end := message.End()
	peer := machine.peers[end]
	if peer == nil {
		return
	}
	table, err := machine.config.Decoder.DecodeRoutes(message.Source())
	if err != nil {
		peer.rejected = peer.known
		machine.config.Log.Record("routes_not_received", almondcross.Text("from", end.Host), almondcross.Number("known", peer.known),
			almondcross.Number("in_force", machine.version()), almondcross.Text("reason", err.Error()))
		return
	}
	peer.known = max(peer.known, table.Version())
	if machine.putInForce(almondcross.NewRoutesRecord(almondcross.RoutesRecordConfig{Table: table, Source: message.Source()})) {
		machine.config.Log.Record("routes_received", almondcross.Text("from", end.Host), almondcross.Number("version", table.Version()))
	}
}

// Advance does what is due.
func (machine *Machine) Advance(now time.Time) {
	machine.now = now
	if !machine.passAt.IsZero() && !now.Before(machine.passAt) {
		machine.passToScheduler()
	}
	for _, end := range slices.SortedFunc(maps.Keys(machine.peers), compareEnds) {
		if peer := machine.peers[end]; !peer.dueAt.IsZero() && !now.Before(peer.dueAt) {
			machine.sendDue(end, peer)
		}
	}
}

// compareEnds orders ends by host, so that messages are sent in the same order each time.
func compareEnds(a, b almondcross.LinkEnd) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Uplink, b.Uplink))
}

// passToScheduler passes the version in force to the scheduler duty, or tries it again later while its ring is full.
func (machine *Machine) passToScheduler() {
	machine.passAt = time.Time{}
	if !machine.config.Scheduler.Offer(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: machine.current.Table()})) {
		machine.passAt = machine.now.Add(retryInterval)
	}
}

// sendDue sends a peer what is due. What finds no room is due again later.
func (machine *Machine) sendDue(end almondcross.LinkEnd, peer *peer) {
	peer.dueAt = time.Time{}
	links := machine.config.Links
	if peer.want {
		// The version may have been read from the store meanwhile.
		peer.want = peer.known > machine.version() && !links.SendRoutes(end, almondcross.RoutesWanted{})
	}
	if peer.send {
		peer.send = !links.SendRoutes(end, almondcross.NewRoutesSent(almondcross.RoutesSentConfig{Source: machine.current.Source()}))
	}
	if peer.tell {
		peer.tell = machine.mustTell(end, peer) && !machine.tell(end, peer)
	}
	if peer.tell || peer.want || peer.send {
		peer.dueAt = machine.now.Add(retryInterval)
	}
}

// tell tells an end the version in force. It returns false if the message finds no room.
func (machine *Machine) tell(end almondcross.LinkEnd, peer *peer) bool {
	known := almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{Version: machine.version()})
	if !machine.config.Links.SendRoutes(end, known) {
		return false
	}
	peer.told = machine.version()
	return true
}

// mustTell reports whether an end has to be told the version in force: the host that accepted the link tells it once in any case, and
// later versions are told to ends that do not have them.
func (machine *Machine) mustTell(end almondcross.LinkEnd, peer *peer) bool {
	if peer.told == noVersion && end.Uplink == 0 {
		return true
	}
	return max(peer.known, peer.told) < machine.version()
}

// NextDeadline returns when Advance has to be called next, and false if only a message can make that necessary.
func (machine *Machine) NextDeadline() (time.Time, bool) {
	deadline := machine.passAt
	for _, peer := range machine.peers {
		if !peer.dueAt.IsZero() && (deadline.IsZero() || peer.dueAt.Before(deadline)) {
			deadline = peer.dueAt
		}
	}
	return deadline, !deadline.IsZero()
}
