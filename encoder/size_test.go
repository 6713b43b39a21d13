package encoder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Values as they occur in a cell of the design scale.
const (
	sizePeers       = 6                 // the peers of a host in its data centre
	sizeControl     = 10_000            // the control traffic of a host, in bytes per second
	sizeFrameHeader = 8                 // the header and mask of a WebSocket frame of 126 bytes to 64 KiB
	sizeStamp       = 1_800_000_000_000 // an incarnation or boot number, which are times in milliseconds
)

// heartbeats returns a ping and a pong of a loaded host after a year.
func heartbeats() (almondcross.PeerPing, almondcross.PeerPong) {
	const pings = 126_000_000 * sizePeers
	id := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-17", Incarnation: sizeStamp})
	ping := almondcross.NewPeerPing(almondcross.PeerPingConfig{
		Member:   almondcross.NewMember(almondcross.MemberConfig{ID: id, DataCentre: "south-east-2", Address: "10.201.102.103:17201"}),
		Sequence: pings,
		Summary: almondcross.NewSummary(almondcross.SummaryConfig{
			CatalogueOffset: 1_277_500,
			Free:            almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1_600_000, MemoryMB: 6_400_000, Accelerators: 900, Slots: 400}),
			LargestFree:     almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 32_000, MemoryMB: 128_000, Accelerators: 8, Slots: 8}),
			Waiting:         1_000, Oldest: 5 * time.Second, Held: 200, Ejected: 60,
			Largest: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 32_000, MemoryMB: 128_000, Accelerators: 8, Slots: 8}),
		}),
	})
	return ping, almondcross.NewPeerPong(almondcross.PeerPongConfig{Member: id, Sequence: pings, Known: sizeStamp})
}

// Guards against heartbeats that alone exceed the control traffic that a host may cause: a host
// sends and receives a ping and a pong for each interval and peer.
func TestHeartbeatsStayWithinControlTraffic(t *testing.T) {
	codec := newCodec(t)
	ping, pong := heartbeats()
	total := 0
	for _, message := range []almondcross.PeerMessage{ping, pong} {
		frame, err := codec.EncodePeer(message)
		require.NoError(t, err)
		t.Logf("%T: %d bytes", message, len(frame))
		total += len(frame) + sizeFrameHeader
	}
	perSecond := 2 * sizePeers * total * int(time.Second/almondcross.PingInterval)
	t.Logf("heartbeats of a host: %d bytes per second", perSecond)
	require.Less(t, perSecond, sizeControl)
}

// Guards against a task message that grows far beyond its payload.
func TestTaskMessagesAreSmall(t *testing.T) {
	codec := newCodec(t)
	holder := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-17", Incarnation: sizeStamp})
	term := almondcross.NewTerm(almondcross.TermConfig{Boot: sizeStamp, Counter: 1_000})
	id := almondcross.NewTaskID(almondcross.TaskIDConfig{
		Key: almondcross.NewKey(almondcross.KeyConfig{Caller: "desk-0042", Origin: "south-east-2", Name: "0197c1d2-7c1e-7bb2-9d5e-0a8a4f1f7c11"}),
	})
	task := almondcross.NewTask(almondcross.TaskConfig{
		ID: id, Entry: "share-balance-lookup", Owner: "members", Class: almondcross.ClassBatch,
		Resources:  almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1_000, MemoryMB: 512, Slots: 1}),
		Repeatable: true, Attempt: 1, Coordinator: holder, MaxRun: time.Minute, ExpectedRun: time.Second, Timeout: 2 * time.Second,
	})
	result := almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: id, Attempt: 1, Checksum: 1 << 63, Ran: time.Second})
	for _, test := range []struct {
		message almondcross.PeerMessage
		limit   int
	}{
		{almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: task}), 400},
		{almondcross.NewTaskStarted(almondcross.TaskStartedConfig{ID: id, Attempt: 1, Holder: holder, Target: "worker-0417", Term: term}), 250},
		{almondcross.NewTaskEnded(almondcross.TaskEndedConfig{Result: result, Holder: holder, Target: "worker-0417", Term: term}), 275},
	} {
		frame, err := codec.EncodePeer(almondcross.NewSequenced(almondcross.SequencedConfig{Sequence: 1 << 31, Message: test.message}))
		require.NoError(t, err)
		t.Logf("%T: %d bytes", test.message, len(frame))
		require.LessOrEqual(t, len(frame), test.limit)
	}
}
