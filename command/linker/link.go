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

// errTooManyPeers means that more than maxPeers hosts have opened a connection.
const errTooManyPeers = errors.ConstError("too many peers")

// link holds the state of the connections from and to one peer.
type link struct {
	name            string
	address         atomic.Pointer[string] // address is nil until the peer's first ping, unless it is configured.
	peerRuns        peerRuns
	dataSender      *sender
	heartbeatSender *sender

	receivedFrames, receivedBytes map[almondcross.LinkChannel]*metrics.Counter // never modified
}

func newLink(config Config, name string, localRunID uint64) *link {
	link := &link{
		name:           name,
		receivedFrames: map[almondcross.LinkChannel]*metrics.Counter{},
		receivedBytes:  map[almondcross.LinkChannel]*metrics.Counter{},
	}
	link.dataSender = newSender(config, link, almondcross.ChannelData, localRunID)
	link.heartbeatSender = newSender(config, link, almondcross.ChannelHeartbeat, localRunID)
	for _, channel := range []almondcross.LinkChannel{almondcross.ChannelData, almondcross.ChannelHeartbeat} {
		link.receivedFrames[channel] = linkCounter(config, "almondcross_link_received_total", name, channel)
		link.receivedBytes[channel] = linkCounter(config, "almondcross_link_received_bytes_total", name, channel)
	}
	return link
}

func linkCounter(config Config, metric, peer string, channel almondcross.LinkChannel) *metrics.Counter {
	return config.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{peer=%q,channel=%q}", metric, peer, channel))
}

func (link *link) registerGauges() {
	link.dataSender.registerGauges()
	link.heartbeatSender.registerGauges()
}

func (link *link) currentAddress() string { return *link.address.Load() }

// setAddress sets the address for the next connections and reports whether none was set before.
func (link *link) setAddress(address string) bool {
	if link.address.CompareAndSwap(nil, &address) {
		return true
	}
	if link.currentAddress() != address {
		link.address.Store(&address)
	}
	return false
}

// enqueue queues a message for a run of the peer, 0 if the run is not known yet. It returns false if
// the peer has no address yet or its ring is full.
func (link *link) enqueue(message almondcross.PeerMessage, peerRunID uint64) bool {
	if link.address.Load() == nil {
		return false
	}
	if isHeartbeat(message) {
		return link.heartbeatSender.offer(message, peerRunID)
	}
	return link.dataSender.offer(message, peerRunID)
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

// getOrAddLink returns the link of a peer and adds it if the peer is new. It returns errTooManyPeers
// when the limit is reached.
func (linker *Linker) getOrAddLink(name string) (*link, error) {
	var candidate *link
	for {
		current := linker.links.Load()
		if existing, ok := (*current)[name]; ok {
			return existing, nil
		}
		if len(*current) >= maxPeers {
			return nil, errors.Trace(errTooManyPeers)
		}
		if candidate == nil {
			candidate = newLink(linker.config, name, linker.runID)
		}
		links := maps.Clone(*current)
		links[name] = candidate
		// The swap fails if another connection has added a peer in the meantime; then the loop retries.
		if linker.links.CompareAndSwap(current, &links) {
			candidate.registerGauges()
			return candidate, nil
		}
	}
}

// learnAddress sets the address of a member that sent a ping and, if it is the first one, starts the
// senders of the link, so that this host can reply. A later ping may change the address, since a replacement host may
// have the same name at a new address.
func (linker *Linker) learnAddress(link *link, member almondcross.Member) {
	if member.Address() == "" || !link.setAddress(member.Address()) {
		return
	}
	linker.config.Logger.WithFields(logrus.Fields{"peer": link.name, "address": member.Address()}).Info("learned the address of a new peer")
	linker.countPutError(linker.newLinks.Put(linker.serveContext, link))
}
