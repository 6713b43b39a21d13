package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/coordinator"
)

// startTime is the time at which the member under test started; it has had no peers since.
var startTime = time.Unix(1_000_000_000, 0)

// member is a coordinator machine under test with the effects that it returned.
type member struct {
	t           *testing.T
	machine     *coordinator.Machine
	id          almondcross.MemberID
	key         almondcross.Key
	now         time.Time
	replies     []almondcross.Outcome
	settlements []almondcross.Outcome
	placements  int
	peers       map[string]almondcross.Peer
	effects     []coordinator.Effect // effects holds every effect, in order.
}

// noopReplier discards replies; the tests check the reply effects instead.
type noopReplier struct{}

func (noopReplier) Reply(almondcross.Outcome) {}

func newMember(t *testing.T) *member {
	t.Helper()
	id := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "e1", Incarnation: 1})
	member := &member{
		t: t, id: id, now: startTime.Add(time.Hour),
		key: almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"}),
	}
	member.machine = coordinator.NewMachine(coordinator.MachineConfig{
		View: member.view(), Start: startTime, Catalogue: almondcross.NewCatalogueOf(1, []almondcross.Entry{
			almondcross.NewEntry(almondcross.EntryConfig{Name: "payout", Owner: "sales", Class: almondcross.ClassCall, Share: 1}),
			almondcross.NewEntry(almondcross.EntryConfig{Name: "tally", Owner: "sales", Class: almondcross.ClassBatch, Share: 1, Repeatable: true}),
			almondcross.NewEntry(almondcross.EntryConfig{Name: "crew", Owner: "sales", Class: almondcross.ClassGang, Tasks: 2, Share: 1, Repeatable: true}),
		}),
	})
	return member
}

// view returns a view without peers that was ready at startTime and is valid for ViewLifetime from now.
func (member *member) view() almondcross.View {
	return almondcross.NewView(almondcross.ViewConfig{
		Self:       almondcross.NewMember(almondcross.MemberConfig{ID: member.id, DataCentre: "north"}),
		JoinedWall: startTime, LostWall: startTime, ReadyAt: startTime, ValidUntil: member.now.Add(almondcross.ViewLifetime),
		Peers: member.peers,
	})
}

func (member *member) apply(message almondcross.CoordinatorMessage) {
	member.perform(member.machine.Apply(message, member.now))
}

func (member *member) perform(effects []coordinator.Effect) {
	member.effects = append(member.effects, effects...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case coordinator.Reply:
			member.replies = append(member.replies, effect.Outcome)
		case coordinator.NotifyPlacer:
			member.placements++
		case coordinator.NotifyClaimer:
			if settle, ok := effect.Message.(almondcross.SettleKey); ok {
				member.settlements = append(member.settlements, settle.Outcome())
			}
		}
	}
}

// submit submits a request for the key that was issued age ago.
func (member *member) submit(age time.Duration) {
	member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Replier: noopReplier{}, Request: almondcross.NewRequest(almondcross.RequestConfig{
			Key: member.key, Entry: "payout", IssuedAt: member.now.Add(-age),
		}),
	}))
	require.Empty(member.t, member.replies, "the key was answered before the claimer decided")
}

func (member *member) decideClaim(code almondcross.Code, decisive almondcross.ClaimRecord) {
	member.apply(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{Key: member.key, Code: code, Decisive: decisive}))
}

func (member *member) claimRecord(kind almondcross.ClaimKind) almondcross.ClaimRecord {
	return almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: "claims/e2/1", Kind: kind, Key: member.key, DataCentre: "north", AnswerOffset: -1,
	})
}

// Guards against not_run for a key that may have run, because it is older than outcomeRetention or because an
// earlier claim may be among records that were not read, and against unknown for a key that certainly has not run.
func TestRefusedClaim(t *testing.T) {
	requested, void := newMember(t).claimRecord(almondcross.ClaimRequested), newMember(t).claimRecord(almondcross.ClaimVoid)
	for name, test := range map[string]struct {
		age      time.Duration
		code     almondcross.Code
		decisive almondcross.ClaimRecord
		status   almondcross.Status
	}{
		"log down, fresh key":                {0, almondcross.CodeLogDown, almondcross.ClaimRecord{}, almondcross.StatusNotRun},
		"log down, older than a minute":      {61 * time.Second, almondcross.CodeLogDown, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
		"queue full, older than a minute":    {61 * time.Second, almondcross.CodeOverloaded, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
		"gap, fresh key":                     {0, almondcross.CodeHeldBack, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
		"gap before the own claim":           {0, almondcross.CodeHeldBack, requested, almondcross.StatusUnknown},
		"gap before a void":                  {0, almondcross.CodeHeldBack, void, almondcross.StatusUnknown},
		"void first, older than a minute":    {61 * time.Second, almondcross.CodeVoided, void, almondcross.StatusNotRun},
		"claim pending elsewhere, fresh key": {0, almondcross.CodeClaimedElsewhere, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			member := newMember(t)
			member.submit(test.age)
			member.decideClaim(test.code, test.decisive)
			require.Len(t, member.replies, 1)
			require.Equal(t, test.status, member.replies[0].Status())
			require.Equal(t, test.code, member.replies[0].Code())
			require.Zero(t, member.placements)
			require.Empty(t, member.settlements)
		})
	}
}

// Guards against a start under a granted claim when the member no longer has a valid link lease from every peer,
// and against dropping such a claim without a settlement, which would leave the key undecided forever.
func TestGrantWithoutLinkLeases(t *testing.T) {
	member := newMember(t)
	member.submit(2 * time.Minute)
	member.now = member.now.Add(2 * almondcross.ViewLifetime)
	member.apply(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{Key: member.key, Granted: true}))
	require.Zero(t, member.placements)
	require.Len(t, member.replies, 1)
	require.Equal(t, almondcross.StatusNotRun, member.replies[0].Status())
	require.Equal(t, almondcross.CodeNoLinkLease, member.replies[0].Code())
	require.Equal(t, member.replies, member.settlements)
}

// Guards against a caller that gets no outcome for a key that another member claimed and settled, before or
// after the caller's request, and against a reply that has the key with another origin.
func TestSettledElsewhere(t *testing.T) {
	member := newMember(t)
	settlement := member.claimRecord(almondcross.ClaimSettled).WithStatus(almondcross.StatusFailed).WithCode(almondcross.CodeTargetLost)
	member.submit(2 * time.Minute)
	member.decideClaim(almondcross.CodeClaimedElsewhere, settlement.WithKey(member.key.WithOrigin("south")))
	require.Len(t, member.replies, 1)
	require.Equal(t, almondcross.StatusFailed, member.replies[0].Status())
	require.Equal(t, member.key, member.replies[0].Key())

	member = newMember(t)
	member.submit(2 * time.Minute)
	member.decideClaim(almondcross.CodeClaimedElsewhere, member.claimRecord(almondcross.ClaimRequested))
	require.Empty(t, member.replies)
	member.apply(almondcross.NewClaimSettlementSeen(almondcross.ClaimSettlementSeenConfig{Record: settlement}))
	require.Len(t, member.replies, 1)
	require.Equal(t, almondcross.CodeTargetLost, member.replies[0].Code())
}

// Guards against the loss of an answer that a holder resends to the key's new coordinator while that coordinator
// waits for the claimer, or before it has a request for the key.
func TestAnswerOfLostCoordinator(t *testing.T) {
	for _, submitted := range []bool{true, false} {
		member := newMember(t)
		taskEnded := almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
			Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
				ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Attempt: 7, Answer: []byte("paid"),
			}),
			Target: "w1",
		})
		if submitted {
			member.submit(time.Second)
			member.apply(taskEnded)
		} else {
			member.apply(taskEnded)
			member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
				Replier: noopReplier{}, Request: almondcross.NewRequest(almondcross.RequestConfig{Key: member.key, Entry: "payout"}),
			}))
		}
		require.Len(t, member.replies, 1)
		require.Equal(t, almondcross.StatusDone, member.replies[0].Status())
		require.Equal(t, "paid", string(member.replies[0].Answer()))
		require.Len(t, member.settlements, 1)
		require.Zero(t, member.placements)
	}
}

// Guards against not_run from a member that was paused or cut off, so that others may have removed it from their views
// and started the key.
func TestRefusalWithoutLinkLeases(t *testing.T) {
	member := newMember(t)
	member.submit(0)
	member.now = member.now.Add(2 * almondcross.ViewLifetime)
	member.decideClaim(almondcross.CodeLogDown, almondcross.ClaimRecord{})
	require.Len(t, member.replies, 1)
	require.Equal(t, almondcross.StatusUnknown, member.replies[0].Status())
	require.Equal(t, almondcross.CodeLogDown, member.replies[0].Code())
}
