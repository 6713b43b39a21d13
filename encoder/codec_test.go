package encoder_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

func newCodec(t testing.TB) encoder.Codec {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	return codec
}

// peerMessages returns one message of each type with every field set.
func peerMessages() []almondcross.PeerMessage {
	key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "7"})
	id := almondcross.NewTaskID(almondcross.TaskIDConfig{Key: key, Index: 3})
	holder := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "e1", Incarnation: 9})
	term := almondcross.NewTerm(almondcross.TermConfig{Boot: 2, Counter: 5})
	resources := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1, MemoryMB: 2, Accelerators: 3, Slots: 4})
	issuedAt := time.Date(2026, 2, 3, 4, 5, 6, 7, time.UTC)
	request := almondcross.NewRequest(almondcross.RequestConfig{
		Key: key, Entry: "tally", Payload: []byte("in"), IssuedAt: issuedAt, Timeout: time.Second, Retry: true,
	})
	task := almondcross.NewTask(almondcross.TaskConfig{
		ID: id, Entry: "tally", Owner: "sales", Class: almondcross.ClassGang, Resources: resources, Payload: []byte("in"),
		Repeatable: true, Urgent: true, Size: 4, Attempt: 2, Coordinator: holder, MaxRun: 1, MaxRunning: 9, ExpectedRun: 2, Timeout: 3,
		Avoid: "w9", LostTargets: 2,
	})
	outcome := almondcross.NewOutcome(almondcross.OutcomeConfig{
		Key: key, Status: almondcross.StatusDone, Answer: []byte("out"), Code: almondcross.CodeTimeout, Detail: "d",
		RetryAfter: 1, Target: "w1", Host: "e1",
	})
	entry := almondcross.NewEntry(almondcross.EntryConfig{
		Name: "tally", Owner: "sales", Class: almondcross.ClassBatch, Resources: resources, Replicas: 1, Tasks: 2,
		MaxRunning: 3, MaxWaiting: 4, Timeout: 5, MaxRun: 6, ExpectedRun: 7, Share: 8, Repeatable: true, Urgent: true,
		DataCentres: []string{"north"}, Version: 11,
	})
	member := almondcross.NewMember(almondcross.MemberConfig{ID: holder, DataCentre: "north", Address: "127.0.0.1:1", Leaving: true})
	summary := almondcross.NewSummary(almondcross.SummaryConfig{
		CatalogueOffset: 1, Free: resources, LargestFree: resources, Waiting: 2, Oldest: 3, Held: 4, Ejected: 5, Largest: resources,
	})
	result := almondcross.NewTaskResult(almondcross.TaskResultConfig{
		ID: id, Attempt: 2, Code: almondcross.CodeMaxRun, Answer: []byte("out"), Checksum: 1 << 63, Ran: time.Second,
	})
	return []almondcross.PeerMessage{
		almondcross.NewHello(almondcross.HelloConfig{Name: "e1", RunID: 5, Channel: almondcross.ChannelData, Received: 6}),
		almondcross.NewAcknowledged(almondcross.AcknowledgedConfig{Sequence: 7}),
		almondcross.NewSequenced(almondcross.SequencedConfig{
			Sequence: 8, Message: almondcross.NewPeerCancel(almondcross.PeerCancelConfig{Correlation: 5, Key: key}),
		}),
		almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: member, Sequence: 1, Summary: summary}),
		almondcross.NewPeerPong(almondcross.PeerPongConfig{Member: holder, Sequence: 1, Rejoin: true, Known: 3}),
		almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{Correlation: 4, Request: request}),
		almondcross.NewPeerCancel(almondcross.PeerCancelConfig{Correlation: 5, Key: key}),
		almondcross.NewPeerLookup(almondcross.PeerLookupConfig{Correlation: 6, Key: key}),
		almondcross.NewPeerReply(almondcross.PeerReplyConfig{Correlation: 7, Outcome: outcome}),
		almondcross.NewPeerLeaving(almondcross.PeerLeavingConfig{Member: holder}),
		almondcross.NewPeerLeavingAck(almondcross.PeerLeavingAckConfig{Member: holder}),
		almondcross.NewPeerCatalogueRequest(almondcross.PeerCatalogueRequestConfig{Member: holder, Offset: -1}),
		almondcross.NewPeerCatalogue(almondcross.PeerCatalogueConfig{
			Catalogue: almondcross.NewCatalogueOf(12, []almondcross.Entry{entry}),
		}),
		almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: task, Forwarded: true}),
		almondcross.NewStopTask(almondcross.StopTaskConfig{ID: id, Attempt: 2, Code: almondcross.CodeCancelled}),
		almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{ID: id, Attempt: 2, Holder: holder, Code: almondcross.CodeNotHere, RetryAfter: 5}),
		almondcross.NewTaskForwarded(almondcross.TaskForwardedConfig{ID: id, Attempt: 2, Holder: holder}),
		almondcross.NewTaskStarted(almondcross.TaskStartedConfig{ID: id, Attempt: 2, Holder: holder, Target: "w1", Term: term}),
		almondcross.NewTaskLost(almondcross.TaskLostConfig{ID: id, Attempt: 2, Holder: holder, Target: "w1", Term: term, TargetLost: true}),
		almondcross.NewTaskEnded(almondcross.TaskEndedConfig{Result: result, Holder: holder, Target: "w1", Term: term, Partial: true}),
		almondcross.NewAdoptTask(almondcross.AdoptTaskConfig{Task: task, Holder: holder, Target: "w1", Term: term}),
		almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
			ID: id, Attempt: 2, Target: "w1", Term: term, Accepted: true, Coordinator: holder,
		}),
	}
}

// Guards against a field that is lost in encoding or decoding, such as the incarnation of a holder.
func TestPeerMessageRoundTrip(t *testing.T) {
	codec := newCodec(t)
	for _, message := range peerMessages() {
		frame, err := codec.EncodePeer(message)
		require.NoError(t, err)
		decoded, err := codec.DecodePeer(frame)
		require.NoError(t, err)
		require.Equal(t, message, decoded)
	}
}

// Guards against sending a frame that is too large: the peer would reject it and close the connection.
func TestOversizedMessageIsNotEncoded(t *testing.T) {
	message := almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{
		Request: almondcross.NewRequest(almondcross.RequestConfig{Payload: make([]byte, encoder.MaxFrame)}),
	})
	_, err := newCodec(t).EncodePeer(message)
	require.ErrorIs(t, err, encoder.ErrTooLarge)
}

// Guards against an input that makes a decoder panic, or whose decoded message is encoded to an invalid frame.
func FuzzDecode(f *testing.F) {
	codec := newCodec(f)
	for _, message := range peerMessages() {
		frame, err := codec.EncodePeer(message)
		require.NoError(f, err)
		f.Add(frame)
	}
	claim, err := codec.EncodeClaim(almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{Kind: almondcross.ClaimVoid}))
	require.NoError(f, err)
	f.Add(claim)
	f.Add(bytes.Repeat([]byte{0x9b}, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		if message, err := codec.DecodePeer(data); err == nil {
			frame, err := codec.EncodePeer(message)
			if err == nil {
				_, err = codec.DecodePeer(frame)
				require.NoError(t, err)
			}
		}
		record := almondcross.NewRecord(almondcross.RecordConfig{ID: "r", Offset: 1, Body: data})
		_, _ = codec.DecodeChange(record)
		_, _ = codec.DecodeCatalogueCheckpoint(record)
		_, _, _, _ = codec.DecodeClaim(record)
		_, _ = codec.DecodeUsage(record)
		_, _ = codec.DecodeAnswer(record)
	})
}
