package encoder

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

type wireViewsAssign struct {
	Epoch    int64  `cbor:"epoch"`
	Large    bool   `cbor:"large,omitempty"`
	Relaying bool   `cbor:"relaying,omitempty"`
	Relay    string `cbor:"relay,omitempty"`
	Address  string `cbor:"address,omitempty"`
	Number   int64  `cbor:"number,omitempty"`
	Least    int64  `cbor:"least,omitempty"`
}

// wireViewNumber is an array, since the scheduler sends one to each host several times a second.
type wireViewNumber struct {
	_        struct{} `cbor:",toarray"`
	Epoch    int64
	Number   int64
	Complete bool
}

type wireViewsMissed struct {
	Epoch  int64  `cbor:"epoch"`
	Relay  string `cbor:"relay"`
	Reason string `cbor:"reason,omitempty"`
}

type wireViewerHello struct {
	Host   string `cbor:"host"`
	Epoch  int64  `cbor:"epoch"`
	Number int64  `cbor:"number,omitempty"`
	Least  int64  `cbor:"least,omitempty"`
}

// encodeViewRelaying is the part of EncodeLink for the messages of cells with relays of views.
func (codec Codec) encodeViewRelaying(message almondcross.LinkMessage) ([]byte, error) {
	switch message := message.(type) {
	case almondcross.ViewsAssigned:
		return codec.encodeEnvelope(linkViewsAssign, wireViewsAssign(message.Config()))
	case almondcross.ViewsNumbered:
		return codec.encodeEnvelope(linkViewNumber, wireViewNumber{Epoch: message.Epoch(), Number: message.Number(), Complete: message.Complete()})
	case almondcross.ViewsMissed:
		return codec.encodeEnvelope(linkViewsMissed, wireViewsMissed{Epoch: message.Epoch(), Relay: message.Relay(), Reason: message.Reason()})
	case almondcross.ViewerHello:
		return codec.encodeEnvelope(linkViewerHello, wireViewerHello(message.Config()))
	}
	return nil, errors.Annotatef(ErrUnknown, "%T", message)
}

// decodeViewRelaying is the part of DecodeLink for the messages of cells with relays of views.
func (codec Codec) decodeViewRelaying(envelope wireEnvelope) (almondcross.LinkMessage, error) {
	switch envelope.Type {
	case linkViewsAssign:
		var wire wireViewsAssign
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		if !validPush(wire.Epoch, wire.Number, wire.Least) {
			return nil, errors.Annotatef(ErrMalformed, "views of push %d from %d of epoch %d", wire.Number, wire.Least, wire.Epoch)
		}
		return almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig(wire)), nil
	case linkViewNumber:
		var wire wireViewNumber
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		if !validPush(wire.Epoch, wire.Number) {
			return nil, errors.Annotatef(ErrMalformed, "push %d of epoch %d", wire.Number, wire.Epoch)
		}
		return almondcross.NewViewsNumbered(almondcross.ViewsNumberedConfig{Epoch: wire.Epoch, Number: wire.Number, Complete: wire.Complete}), nil
	case linkViewsMissed:
		var wire wireViewsMissed
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewViewsMissed(almondcross.ViewsMissedConfig{Epoch: wire.Epoch, Relay: wire.Relay, Reason: wire.Reason}), nil
	case linkViewerHello:
		var wire wireViewerHello
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		if !validPush(wire.Epoch, wire.Number, wire.Least) {
			return nil, errors.Annotatef(ErrMalformed, "a viewer with push %d from %d of epoch %d", wire.Number, wire.Least, wire.Epoch)
		}
		return almondcross.NewViewerHello(almondcross.ViewerHelloConfig(wire)), nil
	}
	return nil, errors.Annotatef(ErrUnknown, "%q", envelope.Type)
}

// validPush reports whether an epoch and numbers of pushes are possible.
func validPush(epoch int64, numbers ...int64) bool {
	return validEpoch(epoch) && validCounts(numbers...)
}
