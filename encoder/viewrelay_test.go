package encoder_test

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Guards against fields of the messages of cells with relays that are lost on a link.
func TestMessagesOfViewRelaysKeepTheirFields(t *testing.T) {
	codec := newCodec(t)
	for _, message := range []almondcross.LinkMessage{
		almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig{Epoch: 4096, Large: true, Relaying: true, Relay: "h-2", Address: "10.0.0.2:1", Number: 7, Least: 8}),
		almondcross.NewViewsNumbered(almondcross.ViewsNumberedConfig{Epoch: 4096, Number: 7, Complete: true}),
		almondcross.NewViewsMissed(almondcross.ViewsMissedConfig{Epoch: 4096, Relay: "h-2", Reason: "silent"}),
		almondcross.NewViewerHello(almondcross.ViewerHelloConfig{Host: "h-3", Epoch: 4096, Number: 7, Least: 8}),
		almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Epoch: 4096, Number: 7, More: true}),
		almondcross.NewHostHello(almondcross.HostHelloConfig{Host: "h-3", ViewFormat: almondcross.ViewFormat}),
	} {
		frame, err := codec.EncodeLink(message)
		require.NoError(t, err)
		decoded, err := codec.DecodeLink(frame)
		require.NoError(t, err)
		require.Equal(t, message, decoded)
	}
	frame, err := codec.EncodeLink(almondcross.NewViewsNumbered(almondcross.ViewsNumberedConfig{Epoch: -1, Number: 7}))
	require.NoError(t, err)
	_, err = codec.DecodeLink(frame)
	require.ErrorIs(t, err, encoder.ErrMalformed)
}

// Guards against views and greetings that differ from those of the version before in a cell without relays.
func TestFramesWithoutViewRelaysAreThoseOfTheVersionBefore(t *testing.T) {
	codec := newCodec(t)
	views, err := codec.EncodeLink(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Complete: true, Changes: []almondcross.JobViewChange{
		almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "j", Known: true, View: almondcross.NewJobView(almondcross.JobViewConfig{
			ID: "j", Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: "q"}), State: almondcross.JobRunning,
		})}),
		almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "k"}),
	}}))
	require.NoError(t, err)
	require.Equal(t, viewsBefore, hex.EncodeToString(views))
	hello, err := codec.EncodeLink(almondcross.NewHostHello(almondcross.HostHelloConfig{Host: "h-2", Strength: 50, DataCentre: "a"}))
	require.NoError(t, err)
	require.Equal(t, helloBefore, hex.EncodeToString(hello))
}

// Frames of 96de9f3.
const (
	viewsBefore = "a2647479706565766965777364626f6479a368636f6d706c657465f56667726f75707381a365717565756561716573746174656772756e6e696e676369647381616a64676f6e6581616b"
	helloBefore = "a264747970656568656c6c6f64626f6479a364686f737463682d3268737472656e67746818326b646174615f63656e7472656161"
)
