package linker

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
)

// overloadRetryAfter is the retry delay in the answer to a refused forwarded request.
const overloadRetryAfter = time.Second

// namedSender returns the member that a message names as its sender, and false if the message does
// not name its sender: reports of tasks may be forwarded by a former coordinator, TaskLost names the
// former holder, and a forwarded task names its coordinator.
func namedSender(message almondcross.PeerMessage) (string, bool) {
	switch message := message.(type) {
	case almondcross.PeerPing:
		return message.Member().ID().Name(), true
	case almondcross.PeerPong:
		return message.Member().Name(), true
	case almondcross.PeerLeaving:
		return message.Member().Name(), true
	case almondcross.PeerLeavingAck:
		return message.Member().Name(), true
	case almondcross.PeerCatalogueRequest:
		return message.Member().Name(), true
	case almondcross.TaskRefused:
		return message.Holder().Name(), true
	case almondcross.AdoptTask:
		return message.Holder().Name(), true
	case almondcross.AdoptAnswered:
		return message.Coordinator().Name(), true
	case almondcross.PlaceTask:
		return message.Task().Coordinator().Name(), !message.Forwarded()
	default:
		return "", false
	}
}

// dispatch checks the sender of a message and passes the message to its duty. It returns false if the
// context ended while the ring of the duty was full.
func (incomingconn incomingConn) dispatch(ctx context.Context, peerRunID uint64, message almondcross.PeerMessage) bool {
	linker := incomingconn.linker
	if member, named := namedSender(message); named && member != incomingconn.link.name {
		linker.counters.wrongMember.Inc()
		return true
	}
	replier := peerReplier{link: incomingconn.link, peerRunID: peerRunID}
	switch message := message.(type) {
	case almondcross.PeerPing:
		linker.learnAddress(incomingconn.link, message.Member())
		linker.offerToRegistrar(message)
	case almondcross.PeerPong, almondcross.PeerLeaving, almondcross.PeerLeavingAck:
		linker.offerToRegistrar(message)
	case almondcross.PeerSubmit:
		replier.correlation = message.Correlation()
		linker.offerForwarded(replier, message.Request().Key(), almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
			Request: message.Request(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerCancel:
		replier.correlation = message.Correlation()
		linker.offerForwarded(replier, message.Key(), almondcross.NewCancelRequest(almondcross.CancelRequestConfig{
			Key: message.Key(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerLookup:
		replier.correlation = message.Correlation()
		linker.offerForwarded(replier, message.Key(), almondcross.NewLookupRequest(almondcross.LookupRequestConfig{
			Key: message.Key(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerCatalogueRequest:
		return linker.countPutError(linker.config.Cataloguer.Put(ctx, message))
	case almondcross.PeerCatalogue:
		return linker.countPutError(linker.config.Cataloguer.Put(ctx, almondcross.NewCatalogueLoaded(
			almondcross.CatalogueLoadedConfig{Catalogue: message.Catalogue()},
		)))
	case almondcross.CoordinatorMessage:
		return linker.countPutError(linker.config.Coordinator.Put(ctx, message))
	case almondcross.PlacerMessage:
		return linker.countPutError(linker.config.Placer.Put(ctx, message))
	default:
		linker.counters.malformed.Inc()
	}
	return true
}

// countPutError counts a message that could not be put into a ring before the context ended. It
// reports whether the put succeeded.
func (linker *Linker) countPutError(err error) bool {
	if err != nil {
		linker.counters.refused.Inc()
	}
	return err == nil
}

func (linker *Linker) offerToRegistrar(message almondcross.PeerMessage) {
	received := almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{Message: message})
	if !linker.config.Registrar.Offer(received) {
		linker.counters.refused.Inc()
	}
}

// offerForwarded passes a forwarded request to the coordinator. If the ring is full, the outcome is
// "unknown", because the key may already be running here after an earlier attempt.
func (linker *Linker) offerForwarded(replier peerReplier, key almondcross.Key, message almondcross.CoordinatorMessage) {
	if linker.config.Coordinator.Offer(message) {
		return
	}
	linker.counters.refused.Inc()
	replier.Reply(almondcross.NewOutcome(almondcross.OutcomeConfig{
		Key: key, Status: almondcross.StatusUnknown, Code: almondcross.CodeOverloaded,
		Detail: "the coordinator of the key is overloaded", RetryAfter: overloadRetryAfter, Host: linker.config.Name,
	}))
}

// peerReplier sends the outcome of a forwarded request back to the run of the peer that forwarded it.
// A later run numbers its requests from the start, so the correlation may identify another request there.
type peerReplier struct {
	link        *link
	peerRunID   uint64
	correlation uint64
}

// Reply queues the outcome and does not block.
func (peerreplier peerReplier) Reply(outcome almondcross.Outcome) {
	peerreplier.link.enqueue(almondcross.NewPeerReply(almondcross.PeerReplyConfig{
		Correlation: peerreplier.correlation, Outcome: outcome,
	}), peerreplier.peerRunID)
}
