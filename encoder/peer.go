package encoder

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// peerType is the number of a message type on the wire. The number of a removed type must not be reused.
type peerType uint8

// Types of peer messages.
const (
	peerHello            peerType = 1
	peerPing             peerType = 2
	peerPong             peerType = 3
	peerSubmit           peerType = 4
	peerCancel           peerType = 5
	peerLookup           peerType = 6
	peerReply            peerType = 7
	peerPlaceTask        peerType = 8
	peerStopTask         peerType = 9
	peerTaskRefused      peerType = 10
	peerTaskForwarded    peerType = 11
	peerTaskStarted      peerType = 12
	peerTaskEnded        peerType = 13
	peerTaskLost         peerType = 14
	peerAdoptTask        peerType = 15
	peerAdoptAnswered    peerType = 16
	peerLeaving          peerType = 17
	peerLeavingAck       peerType = 18
	peerCatalogueRequest peerType = 19
	peerCatalogue        peerType = 20
	peerAcknowledged     peerType = 21
)

// wirePeerEnvelope is the outer layer of a peer message. Its keys are numbers because field names would
// take up a large part of each ping.
type wirePeerEnvelope struct {
	Type     peerType        `cbor:"1,keyasint"`
	Body     cbor.RawMessage `cbor:"2,keyasint"`
	Sequence uint64          `cbor:"3,keyasint,omitempty"`
}

// EncodePeer returns the frame of a message between entry hosts. It returns ErrTooLarge for a frame of more
// than MaxFrame bytes and ErrUnknown for a message without a wire type.
func (codec Codec) EncodePeer(message almondcross.PeerMessage) ([]byte, error) {
	sequenced, ok := message.(almondcross.Sequenced)
	if ok {
		message = sequenced.Message()
	}
	kind, body, err := peerBody(message)
	if err != nil {
		return nil, err
	}
	encodedBody, err := codec.encoding.Marshal(body)
	if err != nil {
		return nil, errors.Annotatef(err, "encoding %T", message)
	}
	frame, err := codec.encoding.Marshal(wirePeerEnvelope{Type: kind, Body: encodedBody, Sequence: sequenced.Sequence()})
	if err != nil {
		return nil, errors.Annotatef(err, "encoding the envelope of %T", message)
	}
	if len(frame) > MaxFrame {
		return nil, errors.Annotatef(ErrTooLarge, "%T takes %d bytes", message, len(frame))
	}
	return frame, nil
}

// peerBody returns the type number and the wire value of a message.
func peerBody(message almondcross.PeerMessage) (peerType, any, error) {
	switch message := message.(type) {
	case almondcross.Hello:
		return peerHello, wireHello(message.Config()), nil
	case almondcross.Acknowledged:
		return peerAcknowledged, wireAcknowledged(message.Config()), nil
	case almondcross.PeerPing:
		return peerPing, toPing(message), nil
	case almondcross.PeerPong:
		return peerPong, toPong(message), nil
	case almondcross.PeerSubmit:
		return peerSubmit, wireSubmit{message.Correlation(), toRequest(message.Request())}, nil
	case almondcross.PeerCancel:
		return peerCancel, wireKeyRequest{message.Correlation(), toKey(message.Key())}, nil
	case almondcross.PeerLookup:
		return peerLookup, wireKeyRequest{message.Correlation(), toKey(message.Key())}, nil
	case almondcross.PeerReply:
		return peerReply, wireReply{message.Correlation(), toOutcome(message.Outcome())}, nil
	case almondcross.PeerLeaving:
		return peerLeaving, wireLeaving{toMemberID(message.Member())}, nil
	case almondcross.PeerLeavingAck:
		return peerLeavingAck, wireLeavingAck{toMemberID(message.Member())}, nil
	case almondcross.PeerCatalogueRequest:
		return peerCatalogueRequest, wireCatalogueRequest{toMemberID(message.Member()), message.Offset()}, nil
	case almondcross.PeerCatalogue:
		return peerCatalogue, toCatalogue(message.Catalogue()), nil
	default:
		return taskBody(message)
	}
}

// taskBody is the part of peerBody for messages about tasks.
func taskBody(message almondcross.PeerMessage) (peerType, any, error) {
	switch message := message.(type) {
	case almondcross.PlaceTask:
		return peerPlaceTask, wirePlaceTask{toTask(message.Task()), message.Forwarded()}, nil
	case almondcross.StopTask:
		return peerStopTask, wireStopTask{toTaskID(message.ID()), message.Attempt(), message.Code()}, nil
	case almondcross.TaskRefused:
		return peerTaskRefused, toTaskRefused(message), nil
	case almondcross.TaskForwarded:
		return peerTaskForwarded, wireTaskForwarded{
			toTaskID(message.ID()), message.Attempt(), toMemberID(message.Holder()),
		}, nil
	case almondcross.TaskStarted:
		return peerTaskStarted, wireTaskPlacement{
			toTaskID(message.ID()), message.Attempt(), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()),
		}, nil
	case almondcross.TaskLost:
		return peerTaskLost, wireTaskLost{wireTaskPlacement{
			toTaskID(message.ID()), message.Attempt(), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()),
		}, message.TargetLost()}, nil
	case almondcross.TaskEnded:
		return peerTaskEnded, wireTaskEnded{
			toResult(message.Result()), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()), message.Partial(),
		}, nil
	case almondcross.AdoptTask:
		return peerAdoptTask, wireAdoptTask{
			toTask(message.Task()), toMemberID(message.Holder()), message.Target(), toTerm(message.Term()),
		}, nil
	case almondcross.AdoptAnswered:
		return peerAdoptAnswered, toAdoptAnswered(message), nil
	default:
		return 0, nil, errors.Annotatef(ErrUnknown, "peer message %T", message)
	}
}

// wirePeerMessage is the wire type of a peer message.
type wirePeerMessage interface {
	message() almondcross.PeerMessage
}

// decodeAs decodes a body as the wire type W and returns its message.
func decodeAs[W wirePeerMessage](codec Codec, envelope wirePeerEnvelope) (almondcross.PeerMessage, error) {
	var wire W
	if err := codec.decoding.Unmarshal(envelope.Body, &wire); err != nil {
		return nil, errors.Annotatef(ErrMalformed, "peer message type %d: %v", envelope.Type, err)
	}
	return wire.message(), nil
}

// peerDecoders maps each message type to its decoder. It is never modified.
var peerDecoders = map[peerType]func(Codec, wirePeerEnvelope) (almondcross.PeerMessage, error){
	peerHello:            decodeAs[wireHello],
	peerPing:             decodeAs[wirePing],
	peerPong:             decodeAs[wirePong],
	peerSubmit:           decodeAs[wireSubmit],
	peerCancel:           decodeAs[wireCancel],
	peerLookup:           decodeAs[wireLookup],
	peerReply:            decodeAs[wireReply],
	peerPlaceTask:        decodeAs[wirePlaceTask],
	peerStopTask:         decodeAs[wireStopTask],
	peerTaskRefused:      decodeAs[wireTaskRefused],
	peerTaskForwarded:    decodeAs[wireTaskForwarded],
	peerTaskStarted:      decodeAs[wireTaskStarted],
	peerTaskEnded:        decodeAs[wireTaskEnded],
	peerTaskLost:         decodeAs[wireTaskLost],
	peerAdoptTask:        decodeAs[wireAdoptTask],
	peerAdoptAnswered:    decodeAs[wireAdoptAnswered],
	peerLeaving:          decodeAs[wireLeaving],
	peerLeavingAck:       decodeAs[wireLeavingAck],
	peerCatalogueRequest: decodeAs[wireCatalogueRequest],
	peerCatalogue:        decodeAs[wirePeerCatalogue],
	peerAcknowledged:     decodeAs[wireAcknowledged],
}

// DecodePeer returns the message of a frame, or ErrTooLarge, ErrMalformed or ErrUnknown. If the envelope
// has a sequence but the body cannot be decoded, it returns the error with a Sequenced that holds only the
// sequence, so that the receiver can acknowledge a frame that it does not understand.
func (codec Codec) DecodePeer(frame []byte) (almondcross.PeerMessage, error) {
	if len(frame) > MaxFrame {
		return nil, errors.Trace(ErrTooLarge)
	}
	var envelope wirePeerEnvelope
	if err := codec.decoding.Unmarshal(frame, &envelope); err != nil {
		return nil, errors.Annotate(ErrMalformed, err.Error())
	}
	message, err := codec.decodePeerBody(envelope)
	if envelope.Sequence == 0 {
		return message, err
	}
	return almondcross.NewSequenced(almondcross.SequencedConfig{Sequence: envelope.Sequence, Message: message}), err
}

func (codec Codec) decodePeerBody(envelope wirePeerEnvelope) (almondcross.PeerMessage, error) {
	decode, ok := peerDecoders[envelope.Type]
	if !ok {
		return nil, errors.Annotatef(ErrUnknown, "peer message type %d", envelope.Type)
	}
	return decode(codec, envelope)
}

type wireRequest struct {
	Key      wireKey       `cbor:"key"`
	Entry    string        `cbor:"entry,omitempty"`
	Payload  []byte        `cbor:"payload,omitempty"`
	IssuedAt time.Time     `cbor:"issued_at"`
	Timeout  time.Duration `cbor:"timeout,omitempty"`
	Retry    bool          `cbor:"retry,omitempty"`
}

func toRequest(request almondcross.Request) wireRequest {
	return wireRequest{
		Key: toKey(request.Key()), Entry: request.Entry(), Payload: request.Payload(),
		IssuedAt: request.IssuedAt(), Timeout: request.Timeout(), Retry: request.Retry(),
	}
}

func (wirerequest wireRequest) value() almondcross.Request {
	return almondcross.NewRequest(almondcross.RequestConfig{
		Key: wirerequest.Key.value(), Entry: wirerequest.Entry, Payload: wirerequest.Payload, IssuedAt: wirerequest.IssuedAt,
		Timeout: wirerequest.Timeout, Retry: wirerequest.Retry,
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
	MaxRunning  int               `cbor:"max_running,omitempty"`
	ExpectedRun time.Duration     `cbor:"expected_run,omitempty"`
	Timeout     time.Duration     `cbor:"timeout,omitempty"`
	Avoid       string            `cbor:"avoid,omitempty"`
	LostTargets int               `cbor:"lost_targets,omitempty"`
}

func toTask(task almondcross.Task) wireTask {
	config := task.Config()
	return wireTask{
		ID: toTaskID(config.ID), Entry: config.Entry, Owner: config.Owner, Class: config.Class,
		Resources: toResources(config.Resources), Payload: config.Payload, Repeatable: config.Repeatable,
		Urgent: config.Urgent, Size: config.Size, Attempt: config.Attempt, Coordinator: toMemberID(config.Coordinator),
		MaxRun: config.MaxRun, MaxRunning: config.MaxRunning, ExpectedRun: config.ExpectedRun, Timeout: config.Timeout, Avoid: config.Avoid,
		LostTargets: config.LostTargets,
	}
}

func (wiretask wireTask) value() almondcross.Task {
	return almondcross.NewTask(almondcross.TaskConfig{
		ID: wiretask.ID.value(), Entry: wiretask.Entry, Owner: wiretask.Owner, Class: wiretask.Class,
		Resources: wiretask.Resources.value(), Payload: wiretask.Payload, Repeatable: wiretask.Repeatable,
		Urgent: wiretask.Urgent, Size: wiretask.Size, Attempt: wiretask.Attempt, Coordinator: wiretask.Coordinator.value(),
		MaxRun: wiretask.MaxRun, MaxRunning: wiretask.MaxRunning, ExpectedRun: wiretask.ExpectedRun, Timeout: wiretask.Timeout,
		Avoid: wiretask.Avoid, LostTargets: wiretask.LostTargets,
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
