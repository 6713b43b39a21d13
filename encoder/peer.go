package encoder

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Types of peer messages.
const (
	peerHello            = "hello"
	peerPing             = "ping"
	peerPong             = "pong"
	peerSubmit           = "submit"
	peerCancel           = "cancel"
	peerLookup           = "lookup"
	peerReply            = "reply"
	peerPlace            = "place"
	peerStop             = "stop"
	peerPlaceRefused     = "place_refused"
	peerTaskForwarded    = "task_forwarded"
	peerTaskStarted      = "task_started"
	peerTaskEnded        = "task_ended"
	peerTaskLost         = "task_lost"
	peerAdopt            = "adopt"
	peerAdoptAck         = "adopt_ack"
	peerLeaving          = "leaving"
	peerLeavingAck       = "leaving_ack"
	peerCatalogueRequest = "catalogue_request"
	peerCatalogue        = "catalogue_snapshot"
)

// EncodePeer returns the frame of a message between entry hosts.
func (codec Codec) EncodePeer(message almondcross.PeerMessage) ([]byte, error) {
	switch message := message.(type) {
	case almondcross.Hello:
		return codec.seal(peerHello, wireHello(message.Config()))
	case almondcross.PeerPing:
		return codec.seal(peerPing, toPing(message))
	case almondcross.PeerPong:
		return codec.seal(peerPong, toPong(message))
	case almondcross.PeerSubmit:
		return codec.seal(peerSubmit, wireSubmit{message.Correlation(), toRequest(message.Request())})
	case almondcross.PeerCancel:
		return codec.seal(peerCancel, wireKeyed{message.Correlation(), toKey(message.Key())})
	case almondcross.PeerLookup:
		return codec.seal(peerLookup, wireKeyed{message.Correlation(), toKey(message.Key())})
	case almondcross.PeerReply:
		return codec.seal(peerReply, wireReply{message.Correlation(), toOutcome(message.Outcome())})
	case almondcross.PeerLeaving:
		return codec.seal(peerLeaving, wireLeaving{toMemberID(message.Member())})
	case almondcross.PeerLeavingAck:
		return codec.seal(peerLeavingAck, wireLeavingAck{toMemberID(message.Member())})
	case almondcross.PeerCatalogueRequest:
		return codec.seal(peerCatalogueRequest, wireCatalogueRequest{toMemberID(message.Member()), message.Offset()})
	case almondcross.PeerCatalogue:
		return codec.seal(peerCatalogue, toCatalogue(message.Catalogue()))
	default:
		return codec.encodeTask(message)
	}
}

func (codec Codec) encodeTask(message almondcross.PeerMessage) ([]byte, error) {
	switch message := message.(type) {
	case almondcross.PlaceTask:
		return codec.seal(peerPlace, wirePlace{toTask(message.Task()), message.Forwarded()})
	case almondcross.StopTask:
		return codec.seal(peerStop, wireStop{toTaskID(message.ID()), message.Attempt(), message.Code()})
	case almondcross.TaskRefused:
		return codec.seal(peerPlaceRefused, toTaskRefused(message))
	case almondcross.TaskForwarded:
		return codec.seal(peerTaskForwarded, wireTaskForwarded{
			toTaskID(message.ID()), message.Attempt(), toMemberID(message.Holder()),
		})
	case almondcross.TaskStarted:
		return codec.seal(peerTaskStarted, wireTaskAt{
			toTaskID(message.ID()), message.Attempt(), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()),
		})
	case almondcross.TaskLost:
		return codec.seal(peerTaskLost, wireTaskAt{
			toTaskID(message.ID()), message.Attempt(), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()),
		})
	case almondcross.TaskEnded:
		return codec.seal(peerTaskEnded, wireTaskEnded{
			toResult(message.Result()), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()),
		})
	case almondcross.AdoptTask:
		return codec.seal(peerAdopt, wireAdopt{
			toTask(message.Task()), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()),
		})
	case almondcross.AdoptAnswered:
		return codec.seal(peerAdoptAck, toAdoptAck(message))
	default:
		return nil, errors.Annotatef(ErrUnknown, "peer message %T", message)
	}
}

// valued is the wire form of a peer message.
type valued interface {
	message() almondcross.PeerMessage
}

// decodeAs decodes a body into the wire form W and returns its message.
func decodeAs[W valued](codec Codec, sealed envelope) (almondcross.PeerMessage, error) {
	var wire W
	if err := codec.body(sealed, &wire); err != nil {
		return nil, err
	}
	return wire.message(), nil
}

// peerDecoders holds the decoder of each message type; it is never modified.
var peerDecoders = map[string]func(Codec, envelope) (almondcross.PeerMessage, error){
	peerHello:            decodeAs[wireHello],
	peerPing:             decodeAs[wirePing],
	peerPong:             decodeAs[wirePong],
	peerSubmit:           decodeAs[wireSubmit],
	peerCancel:           decodeAs[wireCancel],
	peerLookup:           decodeAs[wireLookup],
	peerReply:            decodeAs[wireReply],
	peerPlace:            decodeAs[wirePlace],
	peerStop:             decodeAs[wireStop],
	peerPlaceRefused:     decodeAs[wireTaskRefused],
	peerTaskForwarded:    decodeAs[wireTaskForwarded],
	peerTaskStarted:      decodeAs[wireTaskStarted],
	peerTaskEnded:        decodeAs[wireTaskEnded],
	peerTaskLost:         decodeAs[wireTaskLost],
	peerAdopt:            decodeAs[wireAdopt],
	peerAdoptAck:         decodeAs[wireAdoptAck],
	peerLeaving:          decodeAs[wireLeaving],
	peerLeavingAck:       decodeAs[wireLeavingAck],
	peerCatalogueRequest: decodeAs[wireCatalogueRequest],
	peerCatalogue:        decodeAs[wirePeerCatalogue],
}

// DecodePeer returns the message of a frame; every malformed frame is an error.
func (codec Codec) DecodePeer(frame []byte) (almondcross.PeerMessage, error) {
	sealed, err := codec.open(frame)
	if err != nil {
		return nil, err
	}
	decode, ok := peerDecoders[sealed.Type]
	if !ok {
		return nil, errors.Annotatef(ErrUnknown, "peer message type %q", sealed.Type)
	}
	return decode(codec, sealed)
}

type wireRequest struct {
	Key      wireKey       `cbor:"key"`
	Entry    string        `cbor:"entry,omitempty"`
	Payload  []byte        `cbor:"payload,omitempty"`
	IssuedAt time.Time     `cbor:"issued_at"`
	Timeout  time.Duration `cbor:"timeout,omitempty"`
}

func toRequest(request almondcross.Request) wireRequest {
	return wireRequest{
		Key: toKey(request.Key()), Entry: request.Entry(), Payload: request.Payload(),
		IssuedAt: request.IssuedAt(), Timeout: request.Timeout(),
	}
}

func (wirerequest wireRequest) value() almondcross.Request {
	return almondcross.NewRequest(almondcross.RequestConfig{
		Key: wirerequest.Key.value(), Entry: wirerequest.Entry, Payload: wirerequest.Payload, IssuedAt: wirerequest.IssuedAt, Timeout: wirerequest.Timeout,
	})
}

type wireTask struct {
	ID          wireTaskID        `cbor:"id"`
	Entry       string            `cbor:"entry,omitempty"`
	Owner       string            `cbor:"owner,omitempty"`
	Class       almondcross.Class `cbor:"class,omitempty"`
	Resources   wireResources     `cbor:"resources"`
	Payload     []byte            `cbor:"payload,omitempty"`
	Repeatable  bool              `cbor:"repeatable,omitempty"`
	Urgent      bool              `cbor:"urgent,omitempty"`
	Size        int               `cbor:"size,omitempty"`
	Attempt     int               `cbor:"attempt,omitempty"`
	Coordinator wireMemberID      `cbor:"coordinator"`
	MaxRun      time.Duration     `cbor:"max_run,omitempty"`
	ExpectedRun time.Duration     `cbor:"expected_run,omitempty"`
	Timeout     time.Duration     `cbor:"timeout,omitempty"`
}

func toTask(task almondcross.Task) wireTask {
	config := task.Config()
	return wireTask{
		ID: toTaskID(config.ID), Entry: config.Entry, Owner: config.Owner, Class: config.Class,
		Resources: toResources(config.Resources), Payload: config.Payload, Repeatable: config.Repeatable,
		Urgent: config.Urgent, Size: config.Size, Attempt: config.Attempt, Coordinator: toMemberID(config.Coordinator),
		MaxRun: config.MaxRun, ExpectedRun: config.ExpectedRun, Timeout: config.Timeout,
	}
}

func (wiretask wireTask) value() almondcross.Task {
	return almondcross.NewTask(almondcross.TaskConfig{
		ID: wiretask.ID.value(), Entry: wiretask.Entry, Owner: wiretask.Owner, Class: wiretask.Class,
		Resources: wiretask.Resources.value(), Payload: wiretask.Payload, Repeatable: wiretask.Repeatable,
		Urgent: wiretask.Urgent, Size: wiretask.Size, Attempt: wiretask.Attempt, Coordinator: wiretask.Coordinator.value(),
		MaxRun: wiretask.MaxRun, ExpectedRun: wiretask.ExpectedRun, Timeout: wiretask.Timeout,
	})
}

type wireResult struct {
	ID       wireTaskID       `cbor:"id"`
	Attempt  int              `cbor:"attempt,omitempty"`
	Code     almondcross.Code `cbor:"code,omitempty"`
	Answer   []byte           `cbor:"answer,omitempty"`
	Checksum uint64           `cbor:"checksum,omitempty"`
	Ran      time.Duration    `cbor:"ran,omitempty"`
}

func toResult(result almondcross.TaskResult) wireResult {
	return wireResult{
		ID: toTaskID(result.ID()), Attempt: result.Attempt(), Code: result.Code(), Answer: result.Answer(),
		Checksum: result.Checksum(), Ran: result.Ran(),
	}
}

func (wireresult wireResult) value() almondcross.TaskResult {
	return almondcross.NewTaskResult(almondcross.TaskResultConfig{
		ID: wireresult.ID.value(), Attempt: wireresult.Attempt, Code: wireresult.Code, Answer: wireresult.Answer,
		Checksum: wireresult.Checksum, Ran: wireresult.Ran,
	})
}
