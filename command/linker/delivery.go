package linker

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
)

// overloadRetry is the time after which the caller of a refused forwarded request asks again.
const overloadRetry = time.Second

// sentBy returns the member that a message names as its sender. A former coordinator passes on
// reports of tasks, TaskLost names the former holder, and a forwarded task its coordinator, so these
// do not name their sender.
func sentBy(message almondcross.PeerMessage) (string, bool) {
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

// receive checks the sender of a message and hands it to its duty. It reports false when the context
// ended while there was no room.
func (incoming incoming) receive(ctx context.Context, run uint64, message almondcross.PeerMessage) bool {
	linker := incoming.linker
	if member, named := sentBy(message); named && member != incoming.link.name {
		linker.counts.impostor.Inc()
		return true
	}
	replier := peerReplier{link: incoming.link, run: run}
	switch message := message.(type) {
	case almondcross.PeerPing:
		linker.learn(incoming.link, message.Member())
		linker.offerRegistrar(message)
	case almondcross.PeerPong, almondcross.PeerLeaving, almondcross.PeerLeavingAck:
		linker.offerRegistrar(message)
	case almondcross.PeerSubmit:
		replier.correlation = message.Correlation()
		linker.forward(replier, message.Request().Key(), almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
			Request: message.Request(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerCancel:
		replier.correlation = message.Correlation()
		linker.forward(replier, message.Key(), almondcross.NewCancelRequest(almondcross.CancelRequestConfig{
			Key: message.Key(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerLookup:
		replier.correlation = message.Correlation()
		linker.forward(replier, message.Key(), almondcross.NewLookupRequest(almondcross.LookupRequestConfig{
			Key: message.Key(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerCatalogueRequest:
		return linker.put(linker.config.Cataloguer.Put(ctx, message))
	case almondcross.PeerCatalogue:
		return linker.put(linker.config.Cataloguer.Put(ctx, almondcross.NewCatalogueLoaded(
			almondcross.CatalogueLoadedConfig{Catalogue: message.Catalogue()},
		)))
	case almondcross.CoordinatorMessage:
		return linker.put(linker.config.Coordinator.Put(ctx, message))
	case almondcross.PlacerMessage:
		return linker.put(linker.config.Placer.Put(ctx, message))
	default:
		linker.counts.malformed.Inc()
	}
	return true
}

// put counts a message whose ring had no room before its context ended, and reports the others.
func (linker *Linker) put(err error) bool {
	if err != nil {
		linker.counts.refused.Inc()
	}
	return err == nil
}

func (linker *Linker) offerRegistrar(message almondcross.PeerMessage) {
	received := almondcross.NewPeerReceived(almondcross.PeerReceivedConfig{Message: message})
	if !linker.config.Registrar.Offer(received) {
		linker.counts.refused.Inc()
	}
}

// forward hands a forwarded request to the coordinator. The answer to a refused one is "unknown",
// because the key may already run here after an earlier attempt.
func (linker *Linker) forward(replier peerReplier, key almondcross.Key, message almondcross.CoordinatorMessage) {
	if linker.config.Coordinator.Offer(message) {
		return
	}
	linker.counts.refused.Inc()
	replier.Reply(almondcross.NewOutcome(almondcross.OutcomeConfig{
		Key: key, Status: almondcross.StatusUnknown, Code: almondcross.CodeOverloaded,
		Detail: "the coordinator of the key is overloaded", RetryAfter: overloadRetry, Host: linker.config.Name,
	}))
}

// peerReplier sends the outcome of a forwarded request back to the run of the peer that forwarded it.
// A later run counts its requests afresh, so the number may stand for another one there.
type peerReplier struct {
	link        *link
	run         uint64
	correlation uint64
}

// Reply queues the outcome and does not block.
func (peerreplier peerReplier) Reply(outcome almondcross.Outcome) {
	peerreplier.link.send(almondcross.NewPeerReply(almondcross.PeerReplyConfig{
		Correlation: peerreplier.correlation, Outcome: outcome,
	}), peerreplier.run)
}
