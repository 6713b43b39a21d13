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
	// budgetMemory is the memory of a node in docs/design.md 1.2.
	budgetMemory = 128 << 20
	// designJobs is the number of jobs a day of docs/design.md 1.2.
	designJobs = 21_000
	// keptDays is the claim horizon with its margin of a day.
	keptDays = 63
)

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// pair returns the claim and the settlement of one key as they are read from the log.
func pair(index int, now time.Time) almondcross.ClaimerMessage {
	claim := almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: fmt.Sprintf("entry-1/1/%d", 2*index), Kind: almondcross.ClaimTaken, Entry: "monthly-reconciliation",
		Key:        almondcross.NewKey(almondcross.KeyConfig{Caller: "ledger", Origin: "d0", Name: fmt.Sprintf("reconciliation-%08d", index)}),
		Claimant:   almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "entry-1", Incarnation: 1}),
		DataCentre: "d0", AnswerOffset: -1, IssuedAt: now, Offset: almondcross.Offset(2 * index),
	})
	settled := claim.WithKind(almondcross.ClaimSettled).WithID(fmt.Sprintf("entry-1/1/%d", 2*index+1)).
		WithStatus(almondcross.StatusDone).WithOffset(almondcross.Offset(2*index + 1))
	return almondcross.NewClaimRecordsRead(almondcross.ClaimRecordsReadConfig{
		Records: []almondcross.ClaimRecord{claim, settled}, Next: almondcross.Offset(2*index + 2),
	})
}

func newReader(keys int, now time.Time) *claimer.Machine {
	machine := claimer.NewMachine(claimer.MachineConfig{Prefix: "entry-2/1", DataCentre: "d1"})
	for index := range keys {
		machine.Apply(pair(index, now), now)
	}
	return machine
}

// BenchmarkRead reports the cost of reading a claim and its settlement, and the memory for a key.
func BenchmarkRead(b *testing.B) {
	now := time.Unix(1_000_000_000, 0)
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heap()
			machine := newReader(keys, now)
			size := (heap() - before) / float64(keys)
			next := keys
			b.ReportAllocs()
			for b.Loop() {
				machine.Apply(pair(next, now), now)
				next++
			}
			b.ReportMetric(size, "heap_bytes/key")
		})
	}
}

// Guards against a claims table that outgrows the memory of a node when every job of the design may not
// be repeated: 128 MB / (21,000 jobs x 63 days) leaves 101 bytes for a key.
func TestClaimsFitTheBudget(t *testing.T) {
	const keys = 20_000
	now := time.Unix(1_000_000_000, 0)
	before := heap()
	machine := newReader(keys, now)
	size := (heap() - before) / keys
	require.Equal(t, keys, machine.Len())
	t.Logf("%.0f bytes for a key, %.0f keys a day fit", size, budgetMemory/size/keptDays)
	require.LessOrEqual(t, size, float64(budgetMemory)/(designJobs*keptDays))
}
