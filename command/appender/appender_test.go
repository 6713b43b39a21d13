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

// harness runs an appender in virtual time; its answers are sent to results.
type harness struct {
	log     *memory.Log
	duty    *appender.Appender
	results chan almondcross.AppendAnswered
}

func run(t *testing.T, body func(harness harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := memory.NewLog(clock{})
		duty := appender.New(appender.Config{
			Stream: almondcross.StreamClaims, Log: log, Reader: log, Clock: clock{}, Member: "e1",
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- duty.Run(ctx) }()
		body(harness{log: log, duty: duty, results: make(chan almondcross.AppendAnswered, 1000)})
		cancel()
		require.NoError(t, <-done)
	})
}

func (harness harness) append(id string) bool {
	record := almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: []byte(id)})
	return harness.duty.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: []almondcross.Record{record},
		Answer:  func(answer almondcross.AppendAnswered) { harness.results <- answer },
	}))
}

func (harness harness) ids() []string {
	var ids []string
	for _, record := range harness.log.Records(almondcross.StreamClaims) {
		ids = append(ids, record.ID())
	}
	return ids
}

// Guards against one append per record, which would exceed the append rate that the log accepts.
func TestAppendsAreLimitedToFiftyPerSecond(t *testing.T) {
	run(t, func(harness harness) {
		for index := range 500 {
			require.True(t, harness.append(strconv.Itoa(index)))
			<-time.After(2 * time.Millisecond)
		}
		synctest.Wait()
		require.LessOrEqual(t, harness.log.AppendCount(), 51)
		<-time.After(appender.DefaultInterval)
		synctest.Wait()
		require.Len(t, harness.ids(), 500)
		require.Len(t, harness.results, 500)
	})
}

// Guards against reporting records as uncertain although they are in the stream.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	run(t, func(harness harness) {
		harness.log.InjectFaults(memory.FaultResponseLost)
		require.True(t, harness.append("a"))
		require.Equal(t, almondcross.AppendAccepted, (<-harness.results).Result())
		require.Equal(t, []string{"a"}, harness.ids())
	})
}

// Guards against a retried append with a new ID, which readers would treat as a second record.
func TestLostRequestIsRetriedWithSameID(t *testing.T) {
	run(t, func(harness harness) {
		harness.log.InjectFaults(memory.FaultRequestLost)
		require.True(t, harness.append("a"))
		require.Equal(t, almondcross.AppendAccepted, (<-harness.results).Result())
		require.Equal(t, []string{"a"}, harness.ids())
		require.False(t, harness.duty.Down())
	})
}

// Guards against reporting records as accepted or refused when reading the log did not show whether it has them.
func TestUnresolvedRecordsAreUncertain(t *testing.T) {
	run(t, func(harness harness) {
		harness.log.InjectFaults(memory.FaultRequestLost, memory.FaultRefused)
		require.True(t, harness.append("a"))
		require.Equal(t, almondcross.AppendUncertain, (<-harness.results).Result())
	})
}

// Guards against appends other than one probe a second while the log is down; callers must be refused immediately.
func TestUnavailableLogIsProbedOncePerSecond(t *testing.T) {
	run(t, func(harness harness) {
		harness.log.InjectFaults(memory.FaultRefused)
		harness.log.SetDown(true)
		require.True(t, harness.append("a"))
		<-harness.results
		require.True(t, harness.duty.Down())
		before := harness.log.AppendCount()
		<-time.After(10500 * time.Millisecond)
		require.False(t, harness.append("b"))
		require.Equal(t, 10, harness.log.AppendCount()-before)
		harness.log.SetDown(false)
		<-time.After(time.Second)
		synctest.Wait()
		require.False(t, harness.duty.Down())
		require.True(t, harness.append("c"))
		require.Equal(t, almondcross.AppendAccepted, (<-harness.results).Result())
	})
}
