package recorder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/recorder"
)

type clock struct{}

func (clock) Now() time.Time { return time.Unix(1, 0) }

// Guards against a log that blocks a duty, grows without bound, or does not report dropped lines.
func TestFullLogDropsLines(t *testing.T) {
	var output bytes.Buffer
	log := recorder.New(recorder.Config{Output: &output, Host: "h-1", Lines: 2, Clock: clock{}})
	for range 5 {
		log.Record("run_placed", almondcross.Text("task", "j.0.0.1"), almondcross.Number("run", 2), almondcross.Millis("age_ms", 1500*time.Microsecond))
	}
	require.Equal(t, int64(3), log.Dropped())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, log.Run(ctx))
	lines := bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n"))
	require.Len(t, lines, 3, "two lines and the count of dropped lines")
	seen := map[string]int{}
	for _, encoded := range lines {
		var line struct {
			Host, Msg, Task string
			Run, Lines      int
			AgeMS           float64 `json:"age_ms"`
		}
		require.NoError(t, json.Unmarshal(encoded, &line))
		require.Equal(t, "h-1", line.Host)
		seen[line.Msg]++
		if line.Msg == "lines_left_out" {
			require.Equal(t, 3, line.Lines)
			continue
		}
		require.Equal(t, "j.0.0.1", line.Task)
		require.Equal(t, 2, line.Run)
		require.InDelta(t, 1.5, line.AgeMS, 0)
	}
	// The count of dropped lines follows the first written line, or the last one when the context has ended.
	require.Equal(t, map[string]int{"run_placed": 2, "lines_left_out": 1}, seen)
	require.Equal(t, int64(3), log.Written())
}

// fullDisk fails to write until there is room.
type fullDisk struct {
	bytes.Buffer

	failures int // failures is the number of writes that fail.
}

func (fulldisk *fullDisk) Write(data []byte) (int, error) {
	if fulldisk.failures > 0 {
		fulldisk.failures--
		return 0, syscall.ENOSPC
	}
	return fulldisk.Buffer.Write(data)
}

// Guards against a full disk that ends the process, and against a log that stays silent once there is room again.
func TestLogGoesOnAfterAFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &fullDisk{failures: 2}
		log := recorder.New(recorder.Config{Output: output, Lines: 8, Clock: clock{}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- log.Run(ctx) }()
		for range 3 {
			log.Record("run_placed")
			synctest.Wait()
		}
		cancel()
		require.NoError(t, <-done)
		require.Equal(t, 1, strings.Count(output.String(), "run_placed"))
		require.Contains(t, output.String(), "lines_left_out")
	})
}

// Guards against log lines of megabytes: an error of decoding quotes the odd part of the message.
func TestLongTextIsCut(t *testing.T) {
	var output bytes.Buffer
	log := recorder.New(recorder.Config{Output: &output, Lines: 1, Clock: clock{}})
	log.Record("order_failed", almondcross.Text("reason", strings.Repeat("é", 1<<20)))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, log.Run(ctx))
	require.Less(t, output.Len(), 1200)
	require.True(t, utf8.Valid(output.Bytes()))
}
