package encoder

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

type wireRoutesKnown struct {
	Version int64 `cbor:"version"`
}

type wireRoutesWanted struct{}

type wireRoutes struct {
	Source []byte `cbor:"source"`
}

// encodeRoutes is the part of EncodeLink for the messages that replicate the configuration.
func (codec Codec) encodeRoutes(message almondcross.LinkMessage) ([]byte, error) {
	switch message := message.(type) {
	case almondcross.RoutesKnown:
		return codec.encodeEnvelope(linkRoutesKnown, wireRoutesKnown{Version: message.Version()})
	case almondcross.RoutesWanted:
		return codec.encodeEnvelope(linkRoutesWanted, wireRoutesWanted{})
	case almondcross.RoutesSent:
		return codec.encodeEnvelope(linkRoutes, wireRoutes{Source: message.Source()})
	}
	return nil, errors.Annotatef(ErrUnknown, "%T", message)
}

// decodeRoutes is the part of DecodeLink for the messages that replicate the configuration. The receiver must set their end.
func (codec Codec) decodeRoutes(envelope wireEnvelope) (almondcross.LinkMessage, error) {
	switch envelope.Type {
	case linkRoutesKnown:
		var wire wireRoutesKnown
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		if wire.Version < 0 {
			return nil, errors.Annotatef(ErrMalformed, "version %d of the configuration", wire.Version)
		}
		return almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{Version: wire.Version}), nil
	case linkRoutesWanted:
		return almondcross.RoutesWanted{}, nil
	case linkRoutes:
		var wire wireRoutes
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		if len(wire.Source) > almondcross.MaxRoutesBytes {
			return nil, errors.Annotatef(ErrTooLarge, "a configuration of %d bytes", len(wire.Source))
		}
		return almondcross.NewRoutesSent(almondcross.RoutesSentConfig{Source: wire.Source}), nil
	}
	return nil, errors.Annotatef(ErrUnknown, "%q", envelope.Type)
}
