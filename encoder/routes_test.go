package encoder_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Guards against versions of the configuration that are lost or altered on a link, up to the largest that the store takes.
func TestMessagesOfTheConfigurationKeepTheirFields(t *testing.T) {
	codec := newCodec(t)
	for _, message := range []almondcross.LinkMessage{
		almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{Version: 7}),
		almondcross.RoutesWanted{},
		almondcross.NewRoutesSent(almondcross.RoutesSentConfig{Source: bytes.Repeat([]byte("x"), 256<<10)}),
		almondcross.NewHostHello(almondcross.HostHelloConfig{Host: "h-3", RoutesFormat: almondcross.RoutesFormat}),
	} {
		frame, err := codec.EncodeLink(message)
		require.NoError(t, err)
		decoded, err := codec.DecodeLink(frame)
		require.NoError(t, err)
		require.Equal(t, message, decoded)
	}
}

// Guards against a version below that of a host without a configuration, and against memory for a configuration that no store takes.
func TestImpossibleConfigurationsOnALinkAreRefused(t *testing.T) {
	codec := newCodec(t)
	for _, test := range []struct {
		message  almondcross.LinkMessage
		expected error
	}{
		{almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{Version: -1}), encoder.ErrMalformed},
		{almondcross.NewRoutesSent(almondcross.RoutesSentConfig{Source: make([]byte, almondcross.MaxRoutesBytes+1)}), encoder.ErrTooLarge},
	} {
		frame, err := codec.EncodeLink(test.message)
		require.NoError(t, err)
		_, err = codec.DecodeLink(frame)
		require.ErrorIs(t, err, test.expected)
	}
}
