package logside_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/accountant"
	"github.com/almondcross/almondcross/command/appender"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/reporter"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/memory"
)

var accountStream = almondcross.AccountStream("north")

// oneCoreHoldings is a host that holds one target with one CPU core.
type oneCoreHoldings struct{}

func (oneCoreHoldings) HeldTargets() []almondcross.HeldTarget {
	return []almondcross.HeldTarget{almondcross.NewHeldTarget(almondcross.HeldTargetConfig{
		Total: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000}),
	})}
}

type noAudit struct{}

func (noAudit) AuditLines() []almondcross.AuditLine { return nil }

func startAccountant(ctx context.Context, t *testing.T, log *memory.Log, name string, maxPending int) (*accountant.Duty, reporter.Reporter) {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	batchAppender := appender.New(appender.Config{Stream: accountStream, Log: log, Reader: log, Clock: clock{}, Member: name})
	messages := ring.New[almondcross.AccountantMessage](ring.Config{Name: "accountant", Capacity: 64})
	duty := accountant.New(accountant.Config{
		Ring: messages, Member: members{name}.View().Self().ID(), DataCentre: "north", Codec: codec, Log: batchAppender,
		Members: members{name}, Holdings: oneCoreHoldings{}, Clock: clock{},
		Machine: accountant.MachineConfig{MaxPending: maxPending, MaxDecisions: 3},
	})
	// The appender runs until the accountant has ended, so that the accountant can append its last batch.
	appenderContext, stopAppender := context.WithCancel(context.WithoutCancel(ctx))
	go func() { _ = batchAppender.Run(appenderContext) }()
	go func() {
		_ = duty.Run(ctx)
		stopAppender()
	}()
	return duty, reporter.New(reporter.Config{
		Reader: log, Codec: codec, DataCentres: []string{"north"}, Accountant: messages, Audit: noAudit{}, Clock: clock{},
	})
}

func usageEvent(seconds int) almondcross.AccountEvent {
	return almondcross.NewAccountEvent(almondcross.AccountEventConfig{
		Entry: "tally", Owner: "sales", Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 500}),
		Duration: time.Duration(seconds) * time.Second, Count: 1,
	})
}

func shareReport(ctx context.Context, t *testing.T, reports reporter.Reporter) almondcross.ShareReport {
	t.Helper()
	report, err := reports.Shares(ctx, almondcross.ShareQuery{})
	require.NoError(t, err)
	return report
}

// Guards against a batch that is counted twice because the log contains it twice, and against shares that are
// not computed from the summed usage and capacity of both members.
func TestDuplicateBatchCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := memory.NewLog(clock{})
		first, reports := startAccountant(ctx, t, log, "e1", 0)
		second, _ := startAccountant(ctx, t, log, "e2", 0)
		synctest.Wait()
		first.Account(usageEvent(10))
		second.Account(usageEvent(4))
		<-time.After(12 * time.Second)
		records := log.Records(accountStream)
		require.Len(t, records, 2)
		_, err := log.Append(ctx, accountStream, records)
		require.NoError(t, err)

		report := shareReport(ctx, t, reports)
		require.Len(t, report.Lines(), 1)
		usage := report.Lines()[0].Usage()
		require.InDelta(t, 7000, usage.MilliCPUSec(), 0.001)
		require.InDelta(t, 0.35, usage.Received(), 0.001)
		require.False(t, report.Lines()[0].Incomplete())
		require.Empty(t, report.Gaps())
		require.Equal(t, report.Lines()[0].To(), report.FreshAt()["north"].UTC())

		log.SetDown(true)
		require.Equal(t, []string{"north"}, shareReport(ctx, t, reports).Missing())
		cancel()
		synctest.Wait()
	})
}

// Guards against sums that look complete although batches were dropped while the log was down, or although a
// host stopped without appending its last batch.
func TestLostBatchesAreReportedAsGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := memory.NewLog(clock{})
		first, reports := startAccountant(ctx, t, log, "e1", 2)
		secondContext, stopSecond := context.WithCancel(ctx)
		_, _ = startAccountant(secondContext, t, log, "e2", 0)
		<-time.After(12 * time.Second)
		log.SetDown(true)
		<-time.After(2 * time.Second)
		stopSecond() // e2 cannot append its last batch while the log is down
		for range 5 {
			first.Account(usageEvent(1))
			<-time.After(10 * time.Second)
		}
		log.SetDown(false)
		<-time.After(30 * time.Second)

		report := shareReport(ctx, t, reports)
		require.Len(t, report.Gaps(), 2)
		require.Equal(t, "e1", report.Gaps()[0].Member().Name())
		require.Equal(t, uint64(2), report.Gaps()[0].FromSequence())
		require.GreaterOrEqual(t, report.Gaps()[0].ToSequence(), uint64(3))
		require.Equal(t, "e2", report.Gaps()[1].Member().Name())
		require.Zero(t, report.Gaps()[1].ToSequence())
		require.NotEmpty(t, report.Lines())
		require.False(t, report.Lines()[0].Incomplete(), "an interval outside the gaps is marked as incomplete")
		cancel()
		<-time.After(3 * time.Second)
		last := log.Records(accountStream)[len(log.Records(accountStream))-1]
		codec, err := encoder.NewCodec()
		require.NoError(t, err)
		batch, err := codec.DecodeUsage(last)
		require.NoError(t, err)
		require.True(t, batch.Final(), "the last batch of a planned stop is missing")
	})
}

// Guards against a list of decisions that looks complete although older decisions were dropped.
func TestTruncatedDecisionHistoryIsMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		duty, reports := startAccountant(ctx, t, memory.NewLog(clock{}), "e1", 0)
		for _, event := range []string{"queued", "placed", "started", "ended"} {
			duty.Record(almondcross.NewDecisionEvent(almondcross.DecisionEventConfig{Entry: "tally", Event: event}))
		}
		history, err := reports.Decisions(ctx, almondcross.NewDecisionQuery(almondcross.DecisionQueryConfig{Entry: "tally", Limit: 2}))
		require.NoError(t, err)
		require.True(t, history.Truncated())
		require.Len(t, history.Events(), 2)
		require.Equal(t, "ended", history.Events()[1].Event())
		cancel()
		<-time.After(3 * time.Second)
	})
}
