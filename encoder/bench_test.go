package encoder_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// The cell size of docs/design.md 1.2 and its network budget for each host.
const (
	designHosts           = 77
	designStartsPerSecond = 1300   // starts a second at the peak
	budgetBytesPerSecond  = 10_000 // bytes a second
	nonTaskBytesPerSecond = 2_000  // bytes a second of the budget that are reserved for other messages
)

func frameBytes(tb testing.TB, message almondcross.PeerMessage) int {
	tb.Helper()
	frame, err := newCodec(tb).EncodePeer(message)
	require.NoError(tb, err)
	return len(frame)
}

// BenchmarkPeerMessageBytes reports the size of each message between entry hosts.
func BenchmarkPeerMessageBytes(b *testing.B) {
	for _, message := range peerMessages() {
		b.Run(reflect.TypeOf(message).Name(), func(b *testing.B) {
			codec, size := newCodec(b), 0
			b.ReportAllocs()
			for b.Loop() {
				frame, err := codec.EncodePeer(message)
				if err != nil {
					b.Fatal(err)
				}
				size = len(frame)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkRecordBytes reports the size of log records, for batches and catalogues at three lengths.
func BenchmarkRecordBytes(b *testing.B) {
	codec := newCodec(b)
	report := func(name string, encode func() ([]byte, error)) {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				body, err := encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
	for _, kind := range []almondcross.ClaimKind{almondcross.ClaimRequested, almondcross.ClaimVoid, almondcross.ClaimSettled} {
		report(string(kind), func() ([]byte, error) { return codec.EncodeClaim(newClaimRecord(kind)) })
	}
	for _, count := range []int{10, 170, 1000} {
		report(fmt.Sprintf("usage/lines=%d", count), func() ([]byte, error) { return codec.EncodeUsage(newUsageBatch(count)) })
		report(fmt.Sprintf("catalogue/entries=%d", count), func() ([]byte, error) {
			return codec.EncodePeer(almondcross.NewPeerCatalogue(almondcross.PeerCatalogueConfig{Catalogue: newCatalogue(count)}))
		})
	}
	report("put", func() ([]byte, error) {
		return codec.EncodeChange(almondcross.NewCatalogueChange(almondcross.CatalogueChangeConfig{
			Name: "entry-7", Entry: newEntry(7), Expected: 41, Operator: "operator",
		}))
	})
}

func newClaimRecord(kind almondcross.ClaimKind) almondcross.ClaimRecord {
	config := almondcross.ClaimRecordConfig{
		Kind: kind, Entry: "monthly-reconciliation", DataCentre: "kamloops-1", AnswerOffset: -1,
		Key:      almondcross.NewKey(almondcross.KeyConfig{Caller: "ledger", Origin: "kamloops-1", Name: "reconciliation-2026-03-0001"}),
		Claimant: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-1", Incarnation: 1_796_373_099_692}),
		IssuedAt: time.Date(2026, 3, 1, 12, 0, 0, 250_000_000, time.UTC),
	}
	if kind == almondcross.ClaimSettled {
		config.Status, config.AnswerOffset = almondcross.StatusDone, 123_456
	}
	return almondcross.NewClaimRecord(config)
}

func newUsageBatch(count int) almondcross.UsageBatch {
	var lines []almondcross.UsageLine
	for index := range count {
		lines = append(lines, almondcross.NewUsageLine(almondcross.UsageLineConfig{
			Entry: fmt.Sprintf("entry-%d", index), Owner: fmt.Sprintf("team-%d", index%170), MilliCPUSec: 12345.678,
			MemoryMBSec: 98765.4321, SlotSec: 17.25, Promised: 0.0123, Received: 0.0456, Started: 130, Finished: 128,
			WaitedSec: 3.5, Reasons: map[almondcross.Code]int64{almondcross.CodeWaitedSlots: 12},
		}))
	}
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	return almondcross.NewUsageBatch(almondcross.UsageBatchConfig{
		Member:     almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-1", Incarnation: 1_796_373_099_692}),
		DataCentre: "kamloops-1", Sequence: 9, From: start, To: start.Add(10 * time.Second), Lines: lines,
	})
}

func newEntry(index int) almondcross.Entry {
	return almondcross.NewEntry(almondcross.EntryConfig{
		Name: fmt.Sprintf("entry-%d", index), Owner: fmt.Sprintf("team-%d", index%170), Class: almondcross.ClassBatch,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 4000, MemoryMB: 16_000, Slots: 1}),
		Timeout:   4 * time.Hour, MaxRun: time.Hour, ExpectedRun: 3 * time.Minute, Share: 50, Repeatable: true,
		Version: almondcross.Offset(1000 + index),
	})
}

func newCatalogue(count int) almondcross.Catalogue {
	var entries []almondcross.Entry
	for index := range count {
		entries = append(entries, newEntry(index))
	}
	return almondcross.NewCatalogueOf(almondcross.Offset(count), entries)
}

// Guards against pings that exceed the network budget of a host on their own. A host exchanges pings with the
// 6 peers of its data centre 4 times a second and with 70 others every 2 s, and sends a ping and a pong each time.
func TestPingsFitTheBudget(t *testing.T) {
	member := almondcross.NewMember(almondcross.MemberConfig{
		ID:         almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-1", Incarnation: 1_796_373_099_692}),
		DataCentre: "kamloops-1", Address: "10.0.0.1:7301",
	})
	free := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 120_000, MemoryMB: 300_000, Slots: 60})
	exchangeBytes := frameBytes(t, almondcross.NewPeerPing(almondcross.PeerPingConfig{
		Member: member, Sequence: 1_000_000, Summary: almondcross.NewSummary(almondcross.SummaryConfig{
			CatalogueOffset: 100_000, Free: free, LargestFree: free, Held: 17, Largest: free,
		}),
	})) + frameBytes(t, almondcross.NewPeerPong(almondcross.PeerPongConfig{Member: member.ID(), Sequence: 1_000_000}))
	const exchangesPerSecond = 6*4 + 70/2
	t.Logf("%d bytes for a ping and its pong, %d bytes a second sent by a host", exchangeBytes, exchangeBytes*exchangesPerSecond)
	require.LessOrEqual(t, exchangeBytes*exchangesPerSecond, budgetBytesPerSecond)
}

// Guards against messages between hosts that exceed the network budget of a host at the peak: each of the 1,300
// starts a second is sent to its coordinator (submit, reply) and to its holder (place, started, ended).
// nonTaskBytesPerSecond of the budget are reserved for pings and renewals.
func TestStartMessagesFitTheBudget(t *testing.T) {
	startBytes := 0
	for _, message := range peerMessages() {
		switch message.(type) {
		case almondcross.PeerSubmit, almondcross.PeerReply, almondcross.PlaceTask, almondcross.TaskStarted, almondcross.TaskEnded:
			startBytes += frameBytes(t, message)
		}
	}
	bytesPerHost := startBytes * designStartsPerSecond / designHosts
	t.Logf("%d bytes for a start, %d bytes a second sent by a host", startBytes, bytesPerHost)
	require.LessOrEqual(t, bytesPerHost, budgetBytesPerSecond-nonTaskBytesPerSecond)
}
