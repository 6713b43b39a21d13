package logside_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/appender"
	"github.com/almondcross/almondcross/command/claimer"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/memory"
)

// claimant is a claimer with its tail and appenders.
type claimant struct {
	ring        *ring.Ring[almondcross.ClaimerMessage]
	coordinator *ring.Ring[almondcross.CoordinatorMessage]
	claims      *appender.Appender
}

func startClaimer(ctx context.Context, t *testing.T, log *memory.Log, name string) claimant {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	claims := appender.New(appender.Config{Stream: almondcross.StreamClaims, Log: log, Reader: log, Clock: clock{}, Member: name})
	answers := appender.New(appender.Config{
		Stream: almondcross.AnswersStream("north"), Log: log, Reader: log, Clock: clock{}, Member: name,
	})
	messages := ring.New[almondcross.ClaimerMessage](ring.Config{Name: "claimer", Capacity: 64})
	coordinator := ring.New[almondcross.CoordinatorMessage](ring.Config{Name: "coordinator", Capacity: 64})
	duty := claimer.New(claimer.Config{
		Ring: messages, Member: members{name}.View().Self().ID(), DataCentre: "north", Codec: codec, Claims: claims,
		Answers: answers, Members: members{name}, Clock: clock{}, Coordinator: coordinator,
	})
	tail := claimer.NewTail(claimer.TailConfig{Reader: log, Codec: codec, Sink: messages})
	for _, run := range []func(context.Context) error{claims.Run, answers.Run, duty.Run, tail.Run} {
		go func() { _ = run(ctx) }()
	}
	return claimant{ring: messages, coordinator: coordinator, claims: claims}
}

func (claimant claimant) sendClaim(t *testing.T, key almondcross.Key) {
	t.Helper()
	require.True(t, claimant.ring.Offer(almondcross.NewClaimKey(almondcross.ClaimKeyConfig{
		Key: key, Entry: "tally", Request: almondcross.NewRequest(almondcross.RequestConfig{Key: key, IssuedAt: time.Now()}),
	})))
}

func (claimant claimant) awaitDecision(t *testing.T) almondcross.ClaimDecided {
	t.Helper()
	decided, ok := (<-claimant.coordinator.Messages()).(almondcross.ClaimDecided)
	require.True(t, ok)
	return decided
}

// Guards against two members that are both granted a key when the responses to their appends are lost, against a
// settled key whose answer cannot be read, and against further claim appends while the log is down.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		first, second := startClaimer(ctx, t, log, "e1"), startClaimer(ctx, t, log, "e2")
		synctest.Wait()
		log.InjectFaults(memory.FaultResponseLost, memory.FaultResponseLost)
		key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"})
		first.sendClaim(t, key)
		second.sendClaim(t, key)
		firstDecision, secondDecision := first.awaitDecision(t), second.awaitDecision(t)
		require.NotEqual(t, firstDecision.Granted(), secondDecision.Granted())
		winner, loser := first, second
		if secondDecision.Granted() {
			winner, loser = second, first
		}

		outcome := almondcross.NewOutcome(almondcross.OutcomeConfig{
			Key: key, Status: almondcross.StatusDone, Answer: []byte("42"),
		})
		require.True(t, winner.ring.Offer(almondcross.NewSettleKey(almondcross.SettleKeyConfig{Outcome: outcome})))
		settlement, ok := (<-loser.coordinator.Messages()).(almondcross.ClaimSettlementSeen)
		require.True(t, ok)
		require.Equal(t, almondcross.StatusDone, settlement.Record().Status())
		batch, err := log.Read(ctx, almondcross.AnswersStream(settlement.Record().DataCentre()), settlement.Record().AnswerOffset(), 1, 0)
		require.NoError(t, err)
		codec, err := encoder.NewCodec()
		require.NoError(t, err)
		stored, err := codec.DecodeAnswer(batch.Records()[0])
		require.NoError(t, err)
		require.Equal(t, outcome, stored)

		log.InjectFaults(memory.FaultRefused)
		loser.sendClaim(t, key.WithName("late"))
		require.Equal(t, almondcross.CodeLogDown, loser.awaitDecision(t).Code())
		recordCount := len(log.Records(almondcross.StreamClaims))
		loser.sendClaim(t, key.WithName("later"))
		require.Equal(t, almondcross.CodeLogDown, loser.awaitDecision(t).Code())
		synctest.Wait()
		require.Len(t, log.Records(almondcross.StreamClaims), recordCount)

		third := startClaimer(ctx, t, log, "e3")
		<-time.After(time.Second)
		third.sendClaim(t, key)
		decided := third.awaitDecision(t)
		require.False(t, decided.Granted())
		require.Equal(t, settlement.Record(), decided.Decisive())
	})
}

// Guards against a claim that stays undecided forever when its append is lost before it reaches the log.
func TestUnansweredClaimIsVoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		host := startClaimer(ctx, t, log, "e1")
		synctest.Wait()
		log.InjectFaults(memory.FaultRequestLost, memory.FaultRequestLost)
		host.sendClaim(t, almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Name: "run-1"}))
		require.Equal(t, almondcross.CodeVoided, host.awaitDecision(t).Code())
	})
}
