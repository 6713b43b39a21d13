package logside_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/accountant"
	"github.com/almondcross/almondcross/command/coordinator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/retriever"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/memory"
)

// outcomeReplier receives the outcomes for one caller.
type outcomeReplier chan almondcross.Outcome

func (outcomereplier outcomeReplier) Reply(outcome almondcross.Outcome) { outcomereplier <- outcome }

func startRetriever(
	ctx context.Context, t *testing.T, log *memory.Log, sink almondcross.Sink[almondcross.CoordinatorMessage],
) *ring.Ring[almondcross.ReadAnswer] {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	messages := ring.New[almondcross.ReadAnswer](ring.Config{Name: "retriever", Capacity: 4})
	duty := retriever.New(retriever.Config{Ring: messages, Reader: log, Codec: codec, Coordinator: sink})
	go func() { _ = duty.Run(ctx) }()
	return messages
}

// startCoordinator runs a coordinator, which coordinates every key of its data centre, with its claimer and retriever.
func startCoordinator(ctx context.Context, t *testing.T, log *memory.Log, name string) *ring.Ring[almondcross.CoordinatorMessage] {
	t.Helper()
	claimant := startClaimer(ctx, t, log, name)
	synctest.Wait()
	messages := claimant.coordinator
	events := accountant.NewEventQueue(ring.New[almondcross.AccountantMessage](ring.Config{Name: "accountant", Capacity: 64}))
	duty := coordinator.New(coordinator.Config{
		Ring: messages, Claimer: claimant.ring, Answers: startRetriever(ctx, t, log, messages),
		Placer:    ring.New[almondcross.PlacerMessage](ring.Config{Name: "placer", Capacity: 4}),
		Accounter: events, Recorder: events, Clock: clock{}, Metrics: metrics.NewSet(), Logger: logrus.StandardLogger(),
		View: members{name}.View().WithReadyAt(time.Now()).WithValidUntil(time.Now().Add(time.Hour)),
	})
	go func() { _ = duty.Run(ctx) }()
	entry := almondcross.NewEntry(almondcross.EntryConfig{Name: "tally", Owner: "sales", Class: almondcross.ClassCall, Share: 1})
	require.NoError(t, messages.Put(ctx, almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{
		Catalogue: almondcross.NewCatalogueOf(1, []almondcross.Entry{entry}),
	})))
	return messages
}

func submitRequest(ctx context.Context, t *testing.T, member *ring.Ring[almondcross.CoordinatorMessage], key almondcross.Key) almondcross.Outcome {
	t.Helper()
	replier := make(outcomeReplier, 1)
	require.NoError(t, member.Put(ctx, almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Replier: replier, Request: almondcross.NewRequest(almondcross.RequestConfig{
			Key: key, Entry: "tally", IssuedAt: time.Now(), Timeout: 20 * time.Second,
		}),
	})))
	return <-replier
}

// settleKeysAndStop runs a member that claims each key and settles it as done with an answer, and stops the member.
func settleKeysAndStop(ctx context.Context, t *testing.T, log *memory.Log, answers map[almondcross.Key][]byte) {
	t.Helper()
	memberContext, stopMember := context.WithCancel(ctx)
	claimant := startClaimer(memberContext, t, log, "e1")
	synctest.Wait()
	for key, answer := range answers {
		claimant.sendClaim(t, key)
		require.True(t, claimant.awaitDecision(t).Granted())
		require.True(t, claimant.ring.Offer(almondcross.NewSettleKey(almondcross.SettleKeyConfig{
			Outcome: almondcross.NewOutcome(almondcross.OutcomeConfig{Key: key, Status: almondcross.StatusDone, Answer: answer}),
		})))
		_, ok := (<-claimant.coordinator.Messages()).(almondcross.ClaimSettlementSeen)
		require.True(t, ok)
	}
	stopMember()
	synctest.Wait()
}

// Guards against a missing, truncated or wrong answer when a caller repeats a key whose member was lost after it
// had settled the key, and against the status done when the answer is no longer in the log.
func TestStoredAnswerAfterMemberLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"})
		emptyKey, otherKey := key.WithName("rebate"), key.WithName("tally")
		// A key whose answer is too large for a record is settled without the answer.
		largeKey := key.WithName("large")
		answer := bytes.Repeat([]byte("0123456789abcdef"), 1<<14)
		settleKeysAndStop(ctx, t, log, map[almondcross.Key][]byte{
			key: answer, otherKey: []byte("42"), emptyKey: nil, largeKey: bytes.Repeat([]byte("x"), 2<<20),
		})

		member := startCoordinator(ctx, t, log, "e2")
		outcome := submitRequest(ctx, t, member, key)
		require.Equal(t, almondcross.StatusDone, outcome.Status(), outcome.Code())
		require.True(t, bytes.Equal(answer, outcome.Answer()), "the answer has %d bytes", len(outcome.Answer()))
		require.Equal(t, []byte("42"), submitRequest(ctx, t, member, otherKey).Answer())
		outcome = submitRequest(ctx, t, member, emptyKey)
		require.Equal(t, almondcross.StatusDone, outcome.Status())
		require.Empty(t, outcome.Answer())
		outcome = submitRequest(ctx, t, member, largeKey)
		require.Equal(t, almondcross.StatusUnknown, outcome.Status())
		require.Equal(t, almondcross.CodeAnswerStored, outcome.Code())

		lateMember := startCoordinator(ctx, t, log, "e3")
		log.Trim(almondcross.AnswersStream("north"), almondcross.Offset(len(log.Records(almondcross.AnswersStream("north")))))
		outcome = submitRequest(ctx, t, lateMember, key)
		require.Equal(t, almondcross.StatusUnknown, outcome.Status())
		require.Equal(t, almondcross.CodeAnswerStored, outcome.Code())
	})
}

// Guards against accepting another request's answer at the offset of a settlement, and against reads that time
// out one after the other while the log is unreachable.
func TestUnreadableAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"})
		settleKeysAndStop(ctx, t, log, map[almondcross.Key][]byte{key: []byte("42")})
		coordinator := ring.New[almondcross.CoordinatorMessage](ring.Config{Name: "coordinator", Capacity: 4})
		answers := startRetriever(ctx, t, log, coordinator)
		requestAnswer := func(settled almondcross.Key) {
			require.True(t, answers.Offer(almondcross.NewReadAnswer(almondcross.ReadAnswerConfig{
				Key: settled, Record: almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{Key: settled, DataCentre: "north"}),
			})))
		}
		receiveAnswer := func() almondcross.AnswerRead {
			answer, ok := (<-coordinator.Messages()).(almondcross.AnswerRead)
			require.True(t, ok)
			return answer
		}
		requestAnswer(key)
		require.Equal(t, []byte("42"), receiveAnswer().Outcome().Answer())
		requestAnswer(key.WithOrigin("south"))
		require.True(t, receiveAnswer().Found(), "the origin is not part of a claim")
		requestAnswer(key.WithCaller("kiosk"))
		require.False(t, receiveAnswer().Found())
		log.SetDown(true)
		for range 3 {
			requestAnswer(key)
		}
		for range 3 {
			require.False(t, receiveAnswer().Found())
		}
	})
}
