package logside_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/roller"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/reporter"
	"github.com/almondcross/almondcross/standin/memory"
)

// batchWriter writes the usage batches of two hosts to the account stream and sums up their contents.
type batchWriter struct {
	t            *testing.T
	log          *memory.Log
	codec        encoder.Codec
	start        time.Time
	milliCPUSec  float64 // the CPU time of the entry in all appended batches, without duplicates
	startedTasks int64   // the number of started tasks, without duplicates
}

// write appends the batches of an interval. With dropSecond, the batch of the second host is not appended; with
// duplicate, each batch is appended twice.
func (batchwriter *batchWriter) write(number int, dropSecond, duplicate bool) {
	for host, name := range []string{"e1", "e2"} {
		from := batchwriter.start.Add(time.Duration(number) * 10 * time.Second)
		line := almondcross.UsageLineConfig{
			Entry: "tally", Owner: "sales", MilliCPUSec: float64(number%7 + host), Started: int64(host + 1),
			Reasons: map[almondcross.Code]int64{almondcross.CodeWaitedSlots: 1},
		}
		batch := almondcross.NewUsageBatch(almondcross.UsageBatchConfig{
			Member:     almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1}),
			DataCentre: "north", Sequence: uint64(number + 1), From: from, To: from.Add(10 * time.Second),
			Lines: []almondcross.UsageLine{
				almondcross.NewUsageLine(line), almondcross.NewUsageLine(almondcross.UsageLineConfig{MilliCPUSec: 10_000}),
			},
		})
		if dropSecond && name == "e2" {
			continue
		}
		batchwriter.milliCPUSec += line.MilliCPUSec
		batchwriter.startedTasks += line.Started
		body, err := batchwriter.codec.EncodeUsage(batch)
		require.NoError(batchwriter.t, err)
		records := []almondcross.Record{almondcross.NewRecord(almondcross.RecordConfig{ID: fmt.Sprint(name, number), Body: body})}
		if duplicate {
			records = append(records, records[0])
		}
		_, err = batchwriter.log.Append(batchwriter.t.Context(), accountStream, records)
		require.NoError(batchwriter.t, err)
	}
}

// sumLines sums up the lines of a report.
func sumLines(report almondcross.ShareReport) (milliCPUSec float64, started, waited int64) {
	for _, line := range report.Lines() {
		usage := line.Usage()
		milliCPUSec += usage.MilliCPUSec()
		started += usage.Started()
		waited += usage.Reasons()[almondcross.CodeWaitedSlots]
	}
	return milliCPUSec, started, waited
}

// trimOlderThan trims the records of a stream whose age is at least the given age.
func trimOlderThan(log *memory.Log, stream almondcross.Stream, age time.Duration) {
	records := log.Records(stream)
	for index, record := range records {
		if time.Since(record.Appended()) < age {
			log.Trim(stream, record.Offset())
			return
		}
		if index == len(records)-1 {
			log.Trim(stream, record.Offset()+1)
		}
	}
}

// Guards against a usage report that changes when the log trims batches: usage that is missing or counted twice
// (in two batches, in two roll-ups, or in one of each), and gaps that are no longer reported.
func TestUsageSurvivesLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := memory.NewLog(clock{})
		codec, err := encoder.NewCodec()
		require.NoError(t, err)
		reports := reporter.New(reporter.Config{Reader: log, Codec: codec, DataCentres: []string{"north"}, Audit: noAudit{}, Clock: clock{}})
		// Each of the two hosts considers itself the first in the order, as in a network partition, so both roll up.
		for _, name := range []string{"e1", "e2"} {
			duty := roller.New(roller.Config{
				DataCentres: []string{"north"}, Member: name, Log: log, Reader: log, Codec: codec, Hours: reports,
				Members: members{name}, Clock: clock{}, ReappendAge: 2 * time.Hour, Retention: 48 * time.Hour,
			})
			go func() { _ = duty.Run(ctx) }()
		}
		batchWriter := &batchWriter{t: t, log: log, codec: codec, start: time.Now().Truncate(time.Hour)}
		for number := range 3 * 360 {
			batchWriter.write(number, number == 100 || number == 359 || number == 500, number%50 == 0)
			<-time.After(10 * time.Second)
		}
		query := almondcross.NewShareQuery(almondcross.ShareQueryConfig{From: batchWriter.start, To: time.Now()})
		report := func() almondcross.ShareReport {
			report, err := reports.Shares(ctx, query)
			require.NoError(t, err)
			require.Empty(t, report.Missing())
			return report
		}
		untrimmed := report()
		check := func(phase string) {
			report := report()
			milliCPUSec, started, waited := sumLines(report)
			require.InDelta(t, batchWriter.milliCPUSec, milliCPUSec, 0.001, phase)
			require.Equal(t, batchWriter.startedTasks, started, phase)
			require.Equal(t, int64(2*3*360-3), waited, phase)
			require.Equal(t, untrimmed.Gaps(), report.Gaps(), phase)
		}
		require.Len(t, untrimmed.Gaps(), 3)
		check("before any trim")
		for hour := range 30 {
			<-time.After(time.Hour)
			// The log keeps records for 4 hours.
			trimOlderThan(log, accountStream, 4*time.Hour)
			trimOlderThan(log, almondcross.AccountHoursStream("north"), 4*time.Hour)
			check(fmt.Sprint("hours later: ", hour+1))
		}
		require.Empty(t, log.Records(accountStream))
		require.Len(t, report().Lines(), 3)
		// The log keeps 4 hours, in which each of the 2 hosts writes at most 3 roll-ups of each of the 33 hours.
		require.LessOrEqual(t, len(log.Records(almondcross.AccountHoursStream("north"))), 33*3*2)
		cancel()
		synctest.Wait()
	})
}

// Guards against an hour that looks complete although the log had trimmed a part of it before the roll-up, and
// against an incomplete roll-up that replaces a complete one.
func TestRollUpOfTrimmedHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		log := memory.NewLog(clock{})
		codec, err := encoder.NewCodec()
		require.NoError(t, err)
		reports := reporter.New(reporter.Config{Reader: log, Codec: codec, DataCentres: []string{"north"}, Audit: noAudit{}, Clock: clock{}})
		batchWriter := &batchWriter{t: t, log: log, codec: codec, start: time.Now().Truncate(time.Hour)}
		for number := range 360 {
			batchWriter.write(number, false, false)
			<-time.After(10 * time.Second)
		}
		complete, err := reports.AggregateHour(ctx, "north", batchWriter.start)
		require.NoError(t, err)
		require.False(t, complete.Incomplete())
		trimOlderThan(log, accountStream, 30*time.Minute)
		partial, err := reports.AggregateHour(ctx, "north", batchWriter.start)
		require.NoError(t, err)
		require.True(t, partial.Incomplete())
		require.Less(t, partial.Batches(), complete.Batches())
		require.Empty(t, partial.Gaps()[len(partial.Gaps())-1].Member().Name())

		for index, hour := range []almondcross.UsageHour{partial, complete, partial} {
			body, err := codec.EncodeUsageHour(hour)
			require.NoError(t, err)
			_, err = log.Append(ctx, almondcross.AccountHoursStream("north"), []almondcross.Record{
				almondcross.NewRecord(almondcross.RecordConfig{ID: fmt.Sprint(index), Body: body}),
			})
			require.NoError(t, err)
		}
		report, err := reports.Shares(ctx, almondcross.NewShareQuery(almondcross.ShareQueryConfig{From: batchWriter.start, To: time.Now()}))
		require.NoError(t, err)
		milliCPUSec, started, _ := sumLines(report)
		require.InDelta(t, batchWriter.milliCPUSec, milliCPUSec, 0.001)
		require.Equal(t, batchWriter.startedTasks, started)
		require.Empty(t, report.Gaps())
	})
}
