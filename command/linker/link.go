package linker

import (
	"fmt"
	"maps"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
)

// errTooManyPeers means that more hosts said hello than a cell can have.
const errTooManyPeers = errors.ConstError("too many peers")

// link is what is known of one peer.
type link struct {
	name       string
	address    atomic.Pointer[string] // address is nil until the peer's first ping, unless it is configured.
	runs       runs
	data       *sender
	heartbeats *sender

	received, receivedBytes map[almondcross.LinkChannel]*metrics.Counter // never modified
}

func newLink(config Config, name string, run uint64) *link {
	link := &link{
		name:          name,
		received:      map[almondcross.LinkChannel]*metrics.Counter{},
		receivedBytes: map[almondcross.LinkChannel]*metrics.Counter{},
	}
	link.data = newSender(config, link, almondcross.ChannelData, run)
	link.heartbeats = newSender(config, link, almondcross.ChannelHeartbeat, run)
	for _, channel := range []almondcross.LinkChannel{almondcross.ChannelData, almondcross.ChannelHeartbeat} {
		link.received[channel] = linkCounter(config, "almondcross_link_received_total", name, channel)
		link.receivedBytes[channel] = linkCounter(config, "almondcross_link_received_bytes_total", name, channel)
	}
	return link
}

func linkCounter(config Config, metric, peer string, channel almondcross.LinkChannel) *metrics.Counter {
	return config.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{peer=%q,channel=%q}", metric, peer, channel))
}

func (link *link) register() {
	link.data.register()
	link.heartbeats.register()
}

func (link *link) at() string { return *link.address.Load() }

// moveTo sets the address for the next connections and reports whether it is the first one.
func (link *link) moveTo(address string) bool {
	if link.address.CompareAndSwap(nil, &address) {
		return true
	}
	if link.at() != address {
		link.address.Store(&address)
	}
	return false
}

// send queues a message for a run of the peer; 0 stands for a run that is not known yet.
func (link *link) send(message almondcross.PeerMessage, run uint64) bool {
	if link.address.Load() == nil {
		return false
	}
	if isHeartbeat(message) {
		return link.heartbeats.offer(message, run)
	}
	return link.data.offer(message, run)
}

// isHeartbeat reports whether a message belongs on the heartbeat channel.
func isHeartbeat(message almondcross.PeerMessage) bool {
	switch message.(type) {
	case almondcross.PeerPing, almondcross.PeerPong, almondcross.PeerLeaving, almondcross.PeerLeavingAck:
		return true
	default:
		return false
	}
}

// link returns the link of a peer and adds it if the peer is new.
func (linker *Linker) link(name string) (*link, error) {
	var added *link
	for {
		current := linker.links.Load()
		if known, ok := (*current)[name]; ok {
			return known, nil
		}
		if len(*current) >= maxPeers {
			return nil, errors.Trace(errTooManyPeers)
		}
		if added == nil {
			added = newLink(linker.config, name, linker.run)
		}
		links := maps.Clone(*current)
		links[name] = added
		// Another connection may have added a peer in the meantime; then this is tried again.
		if linker.links.CompareAndSwap(current, &links) {
			added.register()
			return added, nil
		}
	}
}

// learn notes the address of a member that sent a ping, so that a reply to its next message finds a
// sender. A replaced host comes with a new name or a new address.
func (linker *Linker) learn(link *link, member almondcross.Member) {
	if member.Address() == "" || !link.moveTo(member.Address()) {
		return
	}
	linker.config.Logger.WithFields(logrus.Fields{"peer": link.name, "address": member.Address()}).Info("peer learned")
	linker.put(linker.learned.Put(linker.base, link))
}
