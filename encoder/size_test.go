package encoder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Typical values in a cell of the size that docs/design.md 1.2 assumes.
const (
	peersPerHost          = 6                 // the number of peers of a host in its data centre
	controlBytesPerSecond = 10_000            // the limit of the control traffic of a host
	frameHeaderBytes      = 8                 // the size of header and mask of a WebSocket frame of 126 bytes to 64 KiB
	timestampMillis       = 1_800_000_000_000 // an incarnation or boot number, which are Unix times in milliseconds
)

// pingAndPong returns a ping and a pong of a loaded host that has run for a year.
func pingAndPong() (almondcross.PeerPing, almondcross.PeerPong) {
	const pings = 126_000_000 * peersPerHost
	id := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-17", Incarnation: timestampMillis})
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
	return ping, almondcross.NewPeerPong(almondcross.PeerPongConfig{Member: id, Sequence: pings, Known: timestampMillis})
}

// Guards against pings and pongs that exceed the limit of control traffic on their own: in each interval, a host
// sends and receives a ping and a pong for each peer.
func TestPingsWithinControlTrafficLimit(t *testing.T) {
	codec := newCodec(t)
	ping, pong := pingAndPong()
	total := 0
	for _, message := range []almondcross.PeerMessage{ping, pong} {
		frame, err := codec.EncodePeer(message)
		require.NoError(t, err)
		t.Logf("%T: %d bytes", message, len(frame))
		total += len(frame) + frameHeaderBytes
	}
	perSecond := 2 * peersPerHost * total * int(time.Second/almondcross.PingInterval)
	t.Logf("pings and pongs of a host: %d bytes per second", perSecond)
	require.Less(t, perSecond, controlBytesPerSecond)
}

// Guards against a new or longer field that makes the place, started or ended message of a task without payload
// exceed its limit in bytes.
func TestTaskMessagesWithinSizeLimits(t *testing.T) {
	codec := newCodec(t)
	holder := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-17", Incarnation: timestampMillis})
	term := almondcross.NewTerm(almondcross.TermConfig{Boot: timestampMillis, Counter: 1_000})
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
