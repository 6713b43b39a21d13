package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against placing a cancelled request again because the placer that had its task could not start it.
func TestCancelledTaskIsNotPlacedAgain(t *testing.T) {
	for _, code := range []almondcross.Code{almondcross.CodeNoLinkLease, almondcross.CodeStopping, almondcross.CodeNotHere} {
		member := newMember(t)
		member.chooseKey("e1", "e2")
		member.post("tally")
		task := member.placed()[0]
		member.cancel()
		member.apply(almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
			ID: task.ID(), Attempt: task.Attempt(), Holder: memberID("e2"), Code: code,
		}))
		member.advance(time.Second)
		require.Len(t, member.placed(), 1)
		require.Len(t, member.replies, 2)
		for _, reply := range member.replies {
			require.Equal(t, almondcross.StatusNotRun, reply.Status())
			require.Equal(t, almondcross.CodeCancelled, reply.Code())
		}
	}
}

// Guards against a cancelled request that is submitted again, and run, by the incarnation that a member takes after a
// pause: its cancellation has to be repeated instead.
func TestRejoinKeepsCancellation(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2")
	member.post("tally")
	task := member.placed()[0]
	member.started(task, "e2", "w1", 1)
	member.cancel()
	member.id = member.id.WithIncarnation(2)
	member.setPeers("e2")
	member.advance(5 * time.Second)
	require.Len(t, member.placed(), 1)
	lookups := sent[almondcross.PeerLookup](member, "e2")
	require.NotEmpty(t, lookups)
	member.apply(almondcross.NewPeerReply(almondcross.PeerReplyConfig{
		Correlation: lookups[len(lookups)-1].Correlation(),
		Outcome: almondcross.NewOutcome(almondcross.OutcomeConfig{
			Key: member.key, Status: almondcross.StatusUnknown, Code: almondcross.CodeNotHere,
		}),
	}))
	member.advance(20 * time.Second)
	require.Len(t, member.placed(), 1)
	require.Len(t, member.replies, 2)
}

// Guards against a cancellation that ends a key while its members are being asked for it, although one of them runs it.
func TestCancellationFollowsTheKey(t *testing.T) {
	for _, submitted := range []bool{true, false} {
		member := newMember(t)
		member.chooseKey("e1", "e2")
		if submitted {
			member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
				Replier: noopReplier{}, Request: almondcross.NewRequest(almondcross.RequestConfig{
					Key: member.key, Entry: "tally", Timeout: time.Minute,
				}),
			}))
		}
		member.cancel()
		require.Empty(t, member.replies)
		lookups := sent[almondcross.PeerLookup](member, "e2")
		require.Len(t, lookups, 1)
		member.apply(almondcross.NewPeerReply(almondcross.PeerReplyConfig{
			Correlation: lookups[0].Correlation(),
			Outcome:     almondcross.NewOutcome(almondcross.OutcomeConfig{Key: member.key, Status: almondcross.StatusRunning}),
		}))
		require.Len(t, sent[almondcross.PeerCancel](member, "e2"), 1)
		require.Equal(t, member.key, sent[almondcross.PeerCancel](member, "e2")[0].Key())
	}
}

// Guards against a task that is adopted and runs on after the cancellation of its key ended the hold-back.
func TestAdoptionAfterCancellationIsRefused(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2")
	member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Replier: noopReplier{}, Request: almondcross.NewRequest(almondcross.RequestConfig{
			Key: member.key, Entry: "tally", Timeout: time.Minute,
		}),
	}))
	lookups := sent[almondcross.PeerLookup](member, "e2")
	require.Len(t, lookups, 1)
	member.cancel()
	member.apply(almondcross.NewPeerReply(almondcross.PeerReplyConfig{
		Correlation: lookups[0].Correlation(),
		Outcome: almondcross.NewOutcome(almondcross.OutcomeConfig{
			Key: member.key, Status: almondcross.StatusUnknown, Code: almondcross.CodeNotHere,
		}),
	}))
	require.Len(t, member.replies, 2)
	require.Equal(t, almondcross.StatusUnknown, member.replies[0].Status())
	require.Equal(t, almondcross.CodeCancelled, member.replies[0].Code())
	member.requestAdoption(almondcross.NewTask(almondcross.TaskConfig{
		ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Entry: "tally", Attempt: 7, Size: 1, Repeatable: true,
		Coordinator: memberID("e9"),
	}), "e2", "w1", 1)
	answers := sent[almondcross.AdoptAnswered](member, "e2")
	require.Len(t, answers, 1)
	require.False(t, answers[0].Accepted())
}
