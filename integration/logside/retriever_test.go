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

// replies receives the outcomes of one caller.
type replies chan almondcross.Outcome

func (replies replies) Reply(outcome almondcross.Outcome) { replies <- outcome }

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

// startMember runs a claimer, a retriever and a coordinator that coordinates every key of its data centre.
func startMember(ctx context.Context, t *testing.T, log *memory.Log, name string) *ring.Ring[almondcross.CoordinatorMessage] {
	t.Helper()
	claimant := startClaimer(ctx, t, log, name)
	synctest.Wait()
	messages := claimant.coordinator
	intake := accountant.NewIntake(ring.New[almondcross.AccountantMessage](ring.Config{Name: "accountant", Capacity: 64}))
	duty := coordinator.New(coordinator.Config{
		Ring: messages, Claimer: claimant.ring, Answers: startRetriever(ctx, t, log, messages),
		Placer:    ring.New[almondcross.PlacerMessage](ring.Config{Name: "placer", Capacity: 4}),
		Accounter: intake, Recorder: intake, Clock: clock{}, Metrics: metrics.NewSet(), Logger: logrus.StandardLogger(),
		View: members{name}.View().WithReadyAt(time.Now()).WithValidUntil(time.Now().Add(time.Hour)),
	})
	go func() { _ = duty.Run(ctx) }()
	entry := almondcross.NewEntry(almondcross.EntryConfig{Name: "tally", Owner: "sales", Class: almondcross.ClassCall, Share: 1})
	require.NoError(t, messages.Put(ctx, almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{
		Catalogue: almondcross.NewCatalogueOf(1, []almondcross.Entry{entry}),
	})))
	return messages
}

func ask(ctx context.Context, t *testing.T, member *ring.Ring[almondcross.CoordinatorMessage], key almondcross.Key) almondcross.Outcome {
	t.Helper()
	caller := make(replies, 1)
	require.NoError(t, member.Put(ctx, almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Replier: caller, Request: almondcross.NewRequest(almondcross.RequestConfig{
			Key: key, Entry: "tally", IssuedAt: time.Now(), Timeout: 20 * time.Second,
		}),
	})))
	return <-caller
}

// runAndLose claims keys at a member, settles each as done with an answer, and ends the member.
func runAndLose(ctx context.Context, t *testing.T, log *memory.Log, answers map[almondcross.Key][]byte) {
	t.Helper()
	life, end := context.WithCancel(ctx)
	claimant := startClaimer(life, t, log, "e1")
	synctest.Wait()
	for key, answer := range answers {
		claimant.claim(t, key)
		require.True(t, claimant.decided(t).Granted())
		require.True(t, claimant.ring.Offer(almondcross.NewSettleKey(almondcross.SettleKeyConfig{
			Outcome: almondcross.NewOutcome(almondcross.OutcomeConfig{Key: key, Status: almondcross.StatusDone, Answer: answer}),
		})))
		_, ok := (<-claimant.coordinator.Messages()).(almondcross.ClaimSettlementSeen)
		require.True(t, ok)
	}
	end()
	synctest.Wait()
}

// Guards against a caller that gets no answer, part of one or another request's, when it asks again for a
// key whose member was lost after it had settled the key, and against done for an answer that is gone.
func TestAnswerOfLostMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"})
		empty, other := key.WithName("rebate"), key.WithName("tally")
		// An answer that is too large for a record is settled without it.
		large := key.WithName("large")
		whole := bytes.Repeat([]byte("0123456789abcdef"), 1<<14)
		runAndLose(ctx, t, log, map[almondcross.Key][]byte{
			key: whole, other: []byte("42"), empty: nil, large: bytes.Repeat([]byte("x"), 2<<20),
		})

		member := startMember(ctx, t, log, "e2")
		outcome := ask(ctx, t, member, key)
		require.Equal(t, almondcross.StatusDone, outcome.Status(), outcome.Code())
		require.True(t, bytes.Equal(whole, outcome.Answer()), "the answer has %d bytes", len(outcome.Answer()))
		require.Equal(t, []byte("42"), ask(ctx, t, member, other).Answer())
		outcome = ask(ctx, t, member, empty)
		require.Equal(t, almondcross.StatusDone, outcome.Status())
		require.Empty(t, outcome.Answer())
		outcome = ask(ctx, t, member, large)
		require.Equal(t, almondcross.StatusUnknown, outcome.Status())
		require.Equal(t, almondcross.CodeAnswerStored, outcome.Code())

		late := startMember(ctx, t, log, "e3")
		log.Trim(almondcross.AnswersStream("north"), almondcross.Offset(len(log.Records(almondcross.AnswersStream("north")))))
		outcome = ask(ctx, t, late, key)
		require.Equal(t, almondcross.StatusUnknown, outcome.Status())
		require.Equal(t, almondcross.CodeAnswerStored, outcome.Code())
	})
}

// Guards against an answer of another request at the offset of a settlement, and against requests that
// wait one after the other for a log that cannot be reached.
func TestUnreadableAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := memory.NewLog(clock{})
		key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"})
		runAndLose(ctx, t, log, map[almondcross.Key][]byte{key: []byte("42")})
		coordinator := ring.New[almondcross.CoordinatorMessage](ring.Config{Name: "coordinator", Capacity: 4})
		answers := startRetriever(ctx, t, log, coordinator)
		read := func(settled almondcross.Key) {
			require.True(t, answers.Offer(almondcross.NewReadAnswer(almondcross.ReadAnswerConfig{
				Key: settled, Record: almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{Key: settled, DataCentre: "north"}),
			})))
		}
		next := func() almondcross.AnswerRead {
			answer, ok := (<-coordinator.Messages()).(almondcross.AnswerRead)
			require.True(t, ok)
			return answer
		}
		read(key)
		require.Equal(t, []byte("42"), next().Outcome().Answer())
		read(key.WithOrigin("south"))
		require.True(t, next().Found(), "the origin is no part of a claim")
		read(key.WithCaller("kiosk"))
		require.False(t, next().Found())
		log.SetDown(true)
		for range 3 {
			read(key)
		}
		for range 3 {
			require.False(t, next().Found())
		}
	})
}
