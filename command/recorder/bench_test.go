package recorder_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/recorder"
)

// BenchmarkRecord measures recording, formatting and writing one line.
func BenchmarkRecord(b *testing.B) {
	log := recorder.New(recorder.Config{Output: io.Discard, Host: "h-1", Lines: b.N, Clock: clock{}})
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- log.Run(ctx) }()
	b.ReportAllocs()
	for range b.N {
		log.Record("run_placed", almondcross.Text("task", "174a54b217a845e4.0.0.1"), almondcross.Number("run", 1),
			almondcross.Text("worker", "i-71fd9323a5"), almondcross.Number("free_cpu", 5850), almondcross.Millis("list_age_ms", 455*time.Millisecond))
	}
	cancel() // Run writes the remaining lines and returns.
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
