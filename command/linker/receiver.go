package linker

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/websocket"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// overloadRetry is the time after which the caller of a refused forwarded request asks again.
const overloadRetry = time.Second

// errNoHello means that a connection did not begin with a usable hello.
const errNoHello = errors.ConstError("the connection did not begin with a hello")

// ServeHTTP takes one incoming connection and returns when it ends.
func (linker *Linker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: linker.config.WriteTimeout}
	connection, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		linker.warn(request.RemoteAddr, err, "link was not opened")
		return
	}
	stop := context.AfterFunc(linker.base, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	linker.prepare(connection)
	peer, err := linker.hello(connection)
	if err != nil {
		linker.counts.malformed.Inc()
		linker.warn(request.RemoteAddr, err, "link was refused")
		return
	}
	for linker.base.Err() == nil {
		message, err := linker.next(connection)
		if err != nil {
			return
		}
		if message != nil {
			linker.receive(linker.base, peer, message)
		}
	}
}

// prepare bounds frames and answers control pings, which also keep a silent connection open.
func (linker *Linker) prepare(connection *websocket.Conn) {
	connection.SetReadLimit(MaxFrame)
	connection.SetPingHandler(func(data string) error {
		now := linker.config.Clock.Now()
		_ = connection.SetReadDeadline(now.Add(linker.config.ReadTimeout))
		err := connection.WriteControl(websocket.PongMessage, []byte(data), now.Add(linker.config.WriteTimeout))
		if errors.Is(err, websocket.ErrCloseSent) {
			return nil
		}
		return errors.Trace(err)
	})
}

func (linker *Linker) hello(connection *websocket.Conn) (string, error) {
	message, err := linker.next(connection)
	if err != nil {
		return "", errors.Annotate(errNoHello, err.Error())
	}
	hello, ok := message.(almondcross.Hello)
	if !ok || hello.Name() == "" || hello.Name() == linker.config.Name {
		return "", errors.Trace(errNoHello)
	}
	return hello.Name(), nil
}

// next reads one message; it returns nil for a frame that cannot be decoded, which a newer version
// of the program may send.
func (linker *Linker) next(connection *websocket.Conn) (almondcross.PeerMessage, error) {
	_ = connection.SetReadDeadline(linker.config.Clock.Now().Add(linker.config.ReadTimeout))
	kind, reader, err := connection.NextReader()
	if err != nil {
		return nil, errors.Trace(err)
	}
	frame, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	linker.counts.received.Inc()
	if kind != websocket.BinaryMessage {
		linker.counts.malformed.Inc()
		return nil, nil
	}
	message, err := linker.config.Codec.DecodePeer(frame)
	if err != nil {
		linker.counts.malformed.Inc()
		return nil, nil
	}
	return message, nil
}

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

// receive checks the sender of a message and hands it to its duty.
func (linker *Linker) receive(ctx context.Context, peer string, message almondcross.PeerMessage) {
	if member, named := sentBy(message); named && member != peer {
		linker.counts.impostor.Inc()
		return
	}
	switch message := message.(type) {
	case almondcross.PeerPing:
		linker.learn(ctx, message.Member())
		linker.offerRegistrar(message)
	case almondcross.PeerPong, almondcross.PeerLeavingAck:
		linker.offerRegistrar(message)
	case almondcross.PeerLeaving:
		linker.offerRegistrar(message)
	case almondcross.PeerSubmit:
		replier := peerReplier{linker: linker, peer: peer, correlation: message.Correlation()}
		linker.forward(replier, message.Request().Key(), almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
			Request: message.Request(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerCancel:
		replier := peerReplier{linker: linker, peer: peer, correlation: message.Correlation()}
		linker.forward(replier, message.Key(), almondcross.NewCancelRequest(almondcross.CancelRequestConfig{
			Key: message.Key(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerLookup:
		replier := peerReplier{linker: linker, peer: peer, correlation: message.Correlation()}
		linker.forward(replier, message.Key(), almondcross.NewLookupRequest(almondcross.LookupRequestConfig{
			Key: message.Key(), Replier: replier, Forwarded: true,
		}))
	case almondcross.PeerCatalogueRequest:
		linker.put(linker.config.Cataloguer.Put(ctx, message))
	case almondcross.PeerCatalogue:
		linker.put(linker.config.Cataloguer.Put(ctx, almondcross.NewCatalogueLoaded(
			almondcross.CatalogueLoadedConfig{Catalogue: message.Catalogue()},
		)))
	case almondcross.CoordinatorMessage:
		linker.put(linker.config.Coordinator.Put(ctx, message))
	case almondcross.PlacerMessage:
		linker.put(linker.config.Placer.Put(ctx, message))
	default:
		linker.counts.malformed.Inc()
	}
}

// put counts a message whose ring had no room before the linker ended.
func (linker *Linker) put(err error) {
	if err != nil {
		linker.counts.refused.Inc()
	}
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

// peerReplier sends the outcome of a forwarded request back to the peer that forwarded it.
type peerReplier struct {
	linker      *Linker
	peer        string
	correlation uint64
}

// Reply queues the outcome and does not block.
func (peerreplier peerReplier) Reply(outcome almondcross.Outcome) {
	peerreplier.linker.Send(peerreplier.peer, almondcross.NewPeerReply(almondcross.PeerReplyConfig{
		Correlation: peerreplier.correlation, Outcome: outcome,
	}))
}
