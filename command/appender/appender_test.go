package appender_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/appender"
	"github.com/almondcross/almondcross/standin/memory"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// bench runs an appender in virtual time; answers arrive on results.
type bench struct {
	log     *memory.Log
	duty    *appender.Appender
	results chan almondcross.AppendAnswered
}

func run(t *testing.T, body func(bench bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := memory.NewLog(clock{})
		duty := appender.New(appender.Config{
			Stream: almondcross.StreamClaims, Log: log, Reader: log, Clock: clock{}, Member: "e1",
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- duty.Run(ctx) }()
		body(bench{log: log, duty: duty, results: make(chan almondcross.AppendAnswered, 1000)})
		cancel()
		require.NoError(t, <-done)
	})
}

func (bench bench) append(id string) bool {
	record := almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: []byte(id)})
	return bench.duty.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: []almondcross.Record{record},
		Answer:  func(answer almondcross.AppendAnswered) { bench.results <- answer },
	}))
}

func (bench bench) ids() []string {
	var ids []string
	for _, record := range bench.log.Records(almondcross.StreamClaims) {
		ids = append(ids, record.ID())
	}
	return ids
}

// Guards against an append for each record, which would exceed what the log accepts in a second.
func TestManyRecordsMakeAtMostFiftyAppendsASecond(t *testing.T) {
	run(t, func(bench bench) {
		for index := range 500 {
			require.True(t, bench.append(strconv.Itoa(index)))
			<-time.After(2 * time.Millisecond)
		}
		synctest.Wait()
		require.LessOrEqual(t, bench.log.Appends(), 51)
		<-time.After(appender.DefaultInterval)
		synctest.Wait()
		require.Len(t, bench.ids(), 500)
		require.Len(t, bench.results, 500)
	})
}

// Guards against reporting records as uncertain although the stream shows that they were taken.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	run(t, func(bench bench) {
		bench.log.Fail(memory.FaultAnswerLost)
		require.True(t, bench.append("a"))
		require.Equal(t, almondcross.AppendTaken, (<-bench.results).Outcome())
		require.Equal(t, []string{"a"}, bench.ids())
	})
}

// Guards against a repeated append under a new id, which readers would take for a second record.
func TestLostRequestIsRepeatedWithItsID(t *testing.T) {
	run(t, func(bench bench) {
		bench.log.Fail(memory.FaultRequestLost)
		require.True(t, bench.append("a"))
		require.Equal(t, almondcross.AppendTaken, (<-bench.results).Outcome())
		require.Equal(t, []string{"a"}, bench.ids())
		require.False(t, bench.duty.Down())
	})
}

// Guards against a certain answer for records whose fate the log has not shown.
func TestUnsettledRecordsAreUncertain(t *testing.T) {
	run(t, func(bench bench) {
		bench.log.Fail(memory.FaultRequestLost, memory.FaultRefused)
		require.True(t, bench.append("a"))
		require.Equal(t, almondcross.AppendUncertain, (<-bench.results).Outcome())
	})
}

// Guards against appends while the log is down: it gets one probe a second, and callers are refused at once.
func TestDownLogGetsOneProbeASecond(t *testing.T) {
	run(t, func(bench bench) {
		bench.log.Fail(memory.FaultRefused)
		bench.log.SetDown(true)
		require.True(t, bench.append("a"))
		<-bench.results
		require.True(t, bench.duty.Down())
		before := bench.log.Appends()
		<-time.After(10500 * time.Millisecond)
		require.False(t, bench.append("b"))
		require.Equal(t, 10, bench.log.Appends()-before)
		bench.log.SetDown(false)
		<-time.After(time.Second)
		synctest.Wait()
		require.False(t, bench.duty.Down())
		require.True(t, bench.append("c"))
		require.Equal(t, almondcross.AppendTaken, (<-bench.results).Outcome())
	})
}
