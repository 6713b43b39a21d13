package claimer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/claimer"
)

const (
	// hostMemory is the memory budget of a host in bytes (docs/design.md 1.2).
	hostMemory = 128 << 20
	// jobsPerDay is the design load (docs/design.md 1.2).
	jobsPerDay = 21_000
	// retentionDays is the claim horizon with its margin of a day.
	retentionDays = 63
)

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// claimAndSettlement returns the claim and the settlement of one key as they are read from the log.
func claimAndSettlement(index int, now time.Time) almondcross.ClaimerMessage {
	claim := almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: fmt.Sprintf("entry-1/1/%d", 2*index), Kind: almondcross.ClaimRequested, Entry: "monthly-reconciliation",
		Key:        almondcross.NewKey(almondcross.KeyConfig{Caller: "ledger", Origin: "d0", Name: fmt.Sprintf("reconciliation-%08d", index)}),
		Claimant:   almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-1", Incarnation: 1}),
		DataCentre: "d0", AnswerOffset: -1, IssuedAt: now, Offset: almondcross.Offset(2 * index),
	})
	settlement := claim.WithKind(almondcross.ClaimSettled).WithID(fmt.Sprintf("entry-1/1/%d", 2*index+1)).
		WithStatus(almondcross.StatusDone).WithOffset(almondcross.Offset(2*index + 1))
	return almondcross.NewClaimRecordsRead(almondcross.ClaimRecordsReadConfig{
		Records: []almondcross.ClaimRecord{claim, settlement}, Next: almondcross.Offset(2*index + 2),
	})
}

func newLoadedMachine(keys int, now time.Time) *claimer.Machine {
	machine := claimer.NewMachine(claimer.MachineConfig{Prefix: "entry-2/1", DataCentre: "d1"})
	for index := range keys {
		machine.Apply(claimAndSettlement(index, now), now)
	}
	return machine
}

// BenchmarkRead measures the cost of reading a claim and its settlement, and the memory for each key.
func BenchmarkRead(b *testing.B) {
	now := time.Unix(1_000_000_000, 0)
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heapBytes()
			machine := newLoadedMachine(keys, now)
			size := (heapBytes() - before) / float64(keys)
			next := keys
			b.ReportAllocs()
			for b.Loop() {
				machine.Apply(claimAndSettlement(next, now), now)
				next++
			}
			b.ReportMetric(size, "heap_bytes/key")
		})
	}
}

// Guards against a claims table that exceeds the memory of a node if none of the jobs of the design load may be
// repeated: 128 MB / (21,000 jobs x 63 days) leaves 101 bytes for a key.
func TestClaimsFitTheBudget(t *testing.T) {
	const keys = 20_000
	now := time.Unix(1_000_000_000, 0)
	before := heapBytes()
	machine := newLoadedMachine(keys, now)
	size := (heapBytes() - before) / keys
	require.Equal(t, keys, machine.Len())
	t.Logf("%.0f bytes for a key, %.0f keys a day fit", size, hostMemory/size/retentionDays)
	require.LessOrEqual(t, size, float64(hostMemory)/(jobsPerDay*retentionDays))
}
