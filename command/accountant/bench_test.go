package accountant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/accountant"
	"github.com/almondcross/almondcross/encoder"
)

const (
	// budgetBytesPerSecond is the byte budget of a host per second (docs/design.md 1.2); the account may use half of it.
	budgetBytesPerSecond = 10_000
	// designEntries is the design size: one active entry for each of 170 owners.
	designEntries = 170
	// eventsPerTask is the number of account events of a task: its start, wait, resource usage and end.
	eventsPerTask = 4
)

// runInterval processes one interval in which each entry runs one task, and returns the encoded size of its batch in bytes.
func runInterval(tb testing.TB, machine *accountant.Machine, entries int, now time.Time) int {
	tb.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(tb, err)
	for index := range entries {
		for _, code := range []almondcross.Code{
			almondcross.CodeNone, almondcross.CodeTaskStarted, almondcross.CodeTaskFinished, almondcross.CodeWaitedSlots,
		} {
			machine.Apply(almondcross.NewAccountEvent(almondcross.AccountEventConfig{
				Entry: fmt.Sprintf("entry-%d", index), Owner: fmt.Sprintf("team-%d", index%170), Code: code, Count: 1,
				Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000, MemoryMB: 2000, Slots: 1}),
				Duration:  1234 * time.Millisecond, At: now,
			}), now)
		}
	}
	size := 0
	for _, effect := range machine.Apply(almondcross.NewAccountTick(almondcross.AccountTickConfig{}), now.Add(accountant.DefaultInterval)) {
		if appendEffect, ok := effect.(accountant.AppendBatch); ok {
			body, err := codec.EncodeUsage(appendEffect.Batch)
			require.NoError(tb, err)
			size += len(body)
			machine.Apply(almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{
				IDs: []string{appendEffect.ID}, Result: almondcross.AppendAccepted,
			}), now)
		}
	}
	return size
}

// BenchmarkInterval measures the cost and the batch size of one interval for several numbers of active entries.
func BenchmarkInterval(b *testing.B) {
	for _, entries := range []int{10, 170, 1000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			machine := accountant.NewMachine(accountant.MachineConfig{})
			now, size := time.Unix(1_000_000_000, 0), 0
			b.ReportAllocs()
			for b.Loop() {
				size = runInterval(b, machine, entries, now)
				now = now.Add(accountant.DefaultInterval)
			}
			b.ReportMetric(float64(size), "batch_bytes")
			b.ReportMetric(float64(size)/float64(entries), "bytes/entry")
			b.ReportMetric(float64(eventsPerTask*entries), "events/op")
		})
	}
}

// Guards against batches that exceed the account's part of the byte budget of a host, which is half of 10 KB/s over an
// interval of 10 s, with every owner active on every host.
func TestBatchFitsTheBudget(t *testing.T) {
	machine := accountant.NewMachine(accountant.MachineConfig{})
	size := runInterval(t, machine, designEntries, time.Unix(1_000_000_000, 0))
	require.Positive(t, size)
	t.Logf("%d bytes for %d entries", size, designEntries)
	require.LessOrEqual(t, size, int(accountant.DefaultInterval.Seconds())*budgetBytesPerSecond/2)
}
