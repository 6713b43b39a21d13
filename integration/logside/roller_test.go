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

// ledger writes batches of two hosts to the account stream and remembers what they add up to.
type ledger struct {
	t     *testing.T
	log   *memory.Log
	codec encoder.Codec
	start time.Time
	milli float64 // the processor time of the entry in the batches that the log has, each once
	count int64   // the tasks started
}

// write appends the batches of an interval. A lost batch is not appended, a repeated one twice.
func (ledger *ledger) write(number int, lost, repeated bool) {
	for host, name := range []string{"e1", "e2"} {
		from := ledger.start.Add(time.Duration(number) * 10 * time.Second)
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
		if lost && name == "e2" {
			continue
		}
		ledger.milli += line.MilliCPUSec
		ledger.count += line.Started
		body, err := ledger.codec.EncodeUsage(batch)
		require.NoError(ledger.t, err)
		records := []almondcross.Record{almondcross.NewRecord(almondcross.RecordConfig{ID: fmt.Sprint(name, number), Body: body})}
		if repeated {
			records = append(records, records[0])
		}
		_, err = ledger.log.Append(ledger.t.Context(), account, records)
		require.NoError(ledger.t, err)
	}
}

// total adds up the lines of a report.
func total(report almondcross.ShareReport) (milli float64, started, waited int64) {
	for _, line := range report.Lines() {
		usage := line.Usage()
		milli += usage.MilliCPUSec()
		started += usage.Started()
		waited += usage.Reasons()[almondcross.CodeWaitedSlots]
	}
	return milli, started, waited
}

// trim drops the records of a stream that are older than an age.
func trim(log *memory.Log, stream almondcross.Stream, age time.Duration) {
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

// Guards against an account that changes when the log drops its batches: against sums that lose a part or
// count one twice (in a batch, in a roll-up, or in both), and against gaps that are no longer marked.
func TestAccountOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := memory.NewLog(clock{})
		codec, err := encoder.NewCodec()
		require.NoError(t, err)
		reports := reporter.New(reporter.Config{Reader: log, Codec: codec, DataCentres: []string{"north"}, Audit: noAudit{}, Clock: clock{}})
		// Each of the two hosts takes itself for the first in the order, as in a partition.
		for _, name := range []string{"e1", "e2"} {
			duty := roller.New(roller.Config{
				DataCentres: []string{"north"}, Member: name, Log: log, Reader: log, Codec: codec, Hours: reports,
				Members: members{name}, Clock: clock{}, CarryAge: 2 * time.Hour, Keep: 48 * time.Hour,
			})
			go func() { _ = duty.Run(ctx) }()
		}
		ledger := &ledger{t: t, log: log, codec: codec, start: time.Now().Truncate(time.Hour)}
		for number := range 3 * 360 {
			ledger.write(number, number == 100 || number == 359 || number == 500, number%50 == 0)
			<-time.After(10 * time.Second)
		}
		query := almondcross.NewShareQuery(almondcross.ShareQueryConfig{From: ledger.start, To: time.Now()})
		report := func() almondcross.ShareReport {
			report, err := reports.Shares(ctx, query)
			require.NoError(t, err)
			require.Empty(t, report.Missing())
			return report
		}
		whole := report()
		check := func(when string) {
			report := report()
			milli, started, waited := total(report)
			require.InDelta(t, ledger.milli, milli, 0.001, when)
			require.Equal(t, ledger.count, started, when)
			require.Equal(t, int64(2*3*360-3), waited, when)
			require.Equal(t, whole.Gaps(), report.Gaps(), when)
		}
		require.Len(t, whole.Gaps(), 3)
		check("before any trim")
		for hour := range 30 {
			<-time.After(time.Hour)
			// The log keeps records for 4 hours.
			trim(log, account, 4*time.Hour)
			trim(log, almondcross.AccountHoursStream("north"), 4*time.Hour)
			check(fmt.Sprint("hours later: ", hour+1))
		}
		require.Empty(t, log.Records(account))
		require.Len(t, report().Lines(), 3)
		// 33 hours, at most 3 copies of each in 4 hours, by 2 hosts.
		require.LessOrEqual(t, len(log.Records(almondcross.AccountHoursStream("north"))), 33*3*2)
		cancel()
		synctest.Wait()
	})
}

// Guards against an hour that looks whole although the log had dropped a part of it before it was rolled
// up, and against such a roll-up taking the place of a whole one.
func TestRollUpOfTrimmedHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		log := memory.NewLog(clock{})
		codec, err := encoder.NewCodec()
		require.NoError(t, err)
		reports := reporter.New(reporter.Config{Reader: log, Codec: codec, DataCentres: []string{"north"}, Audit: noAudit{}, Clock: clock{}})
		ledger := &ledger{t: t, log: log, codec: codec, start: time.Now().Truncate(time.Hour)}
		for number := range 360 {
			ledger.write(number, false, false)
			<-time.After(10 * time.Second)
		}
		whole, err := reports.HourOf(ctx, "north", ledger.start)
		require.NoError(t, err)
		require.False(t, whole.Incomplete())
		trim(log, account, 30*time.Minute)
		part, err := reports.HourOf(ctx, "north", ledger.start)
		require.NoError(t, err)
		require.True(t, part.Incomplete())
		require.Less(t, part.Batches(), whole.Batches())
		require.Empty(t, part.Gaps()[len(part.Gaps())-1].Member().Name())

		for index, hour := range []almondcross.UsageHour{part, whole, part} {
			body, err := codec.EncodeHour(hour)
			require.NoError(t, err)
			_, err = log.Append(ctx, almondcross.AccountHoursStream("north"), []almondcross.Record{
				almondcross.NewRecord(almondcross.RecordConfig{ID: fmt.Sprint(index), Body: body}),
			})
			require.NoError(t, err)
		}
		report, err := reports.Shares(ctx, almondcross.NewShareQuery(almondcross.ShareQueryConfig{From: ledger.start, To: time.Now()}))
		require.NoError(t, err)
		milli, started, _ := total(report)
		require.InDelta(t, ledger.milli, milli, 0.001)
		require.Equal(t, ledger.count, started)
		require.Empty(t, report.Gaps())
	})
}
