package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/coordinator"
)

// started is the time at which the member of the tests started; it has been alone since.
var started = time.Unix(1_000_000_000, 0)

// member is a coordinator machine with what it told its one caller.
type member struct {
	t       *testing.T
	machine *coordinator.Machine
	id      almondcross.MemberID
	key     almondcross.Key
	now     time.Time
	told    []almondcross.Outcome
	settled []almondcross.Outcome
	placed  int
}

// nobody takes replies in place of a caller; the tests look at the effects.
type nobody struct{}

func (nobody) Reply(almondcross.Outcome) {}

func newMember(t *testing.T) *member {
	t.Helper()
	id := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "e1", Incarnation: 1})
	member := &member{
		t: t, id: id, now: started.Add(time.Hour),
		key: almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"}),
	}
	member.machine = coordinator.NewMachine(coordinator.MachineConfig{
		View: member.view(), Start: started, Catalogue: almondcross.NewCatalogueOf(1, []almondcross.Entry{
			almondcross.NewEntry(almondcross.EntryConfig{Name: "payout", Owner: "sales", Class: almondcross.ClassCall, Share: 1}),
		}),
	})
	return member
}

// view returns a view of this member alone that was ready at the start and is valid for a second.
func (member *member) view() almondcross.View {
	return almondcross.NewView(almondcross.ViewConfig{
		Self:       almondcross.NewMember(almondcross.MemberConfig{ID: member.id, DataCentre: "north"}),
		JoinedWall: started, LostWall: started, ReadyAt: started, ValidUntil: member.now.Add(almondcross.ViewLifetime),
	})
}

func (member *member) apply(message almondcross.CoordinatorMessage) {
	for _, effect := range member.machine.Apply(message, member.now) {
		switch effect := effect.(type) {
		case coordinator.Reply:
			member.told = append(member.told, effect.Outcome)
		case coordinator.Place:
			member.placed++
		case coordinator.Claim:
			if settle, ok := effect.Message.(almondcross.SettleKey); ok {
				member.settled = append(member.settled, settle.Outcome())
			}
		}
	}
}

// submit asks for a run of a key of an age.
func (member *member) submit(age time.Duration) {
	member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Replier: nobody{}, Request: almondcross.NewRequest(almondcross.RequestConfig{
			Key: member.key, Entry: "payout", IssuedAt: member.now.Add(-age),
		}),
	}))
	require.Empty(member.t, member.told, "the key was answered before the claimer decided")
}

func (member *member) decide(code almondcross.Code, decisive almondcross.ClaimRecord) {
	member.apply(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{Key: member.key, Code: code, Decisive: decisive}))
}

func (member *member) record(kind almondcross.ClaimKind) almondcross.ClaimRecord {
	return almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: "claims/e2/1", Kind: kind, Key: member.key, DataCentre: "north", AnswerOffset: -1,
	})
}

// Guards against not_run for a key that may have run: one that is older than the memory of outcomes, or
// one whose earlier claim may be among records that were not read; and against unknown where it is certain.
func TestRefusedClaim(t *testing.T) {
	taken, void := newMember(t).record(almondcross.ClaimTaken), newMember(t).record(almondcross.ClaimVoid)
	for name, test := range map[string]struct {
		age      time.Duration
		code     almondcross.Code
		decisive almondcross.ClaimRecord
		status   almondcross.Status
	}{
		"log down, fresh key":              {0, almondcross.CodeLogDown, almondcross.ClaimRecord{}, almondcross.StatusNotRun},
		"log down, older than a minute":    {61 * time.Second, almondcross.CodeLogDown, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
		"queue full, older than a minute":  {61 * time.Second, almondcross.CodeOverloaded, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
		"gap, fresh key":                   {0, almondcross.CodeHeldBack, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
		"gap before the own claim":         {0, almondcross.CodeHeldBack, taken, almondcross.StatusUnknown},
		"gap before a void":                {0, almondcross.CodeHeldBack, void, almondcross.StatusUnknown},
		"void first, older than a minute":  {61 * time.Second, almondcross.CodeVoided, void, almondcross.StatusNotRun},
		"claim under way elsewhere, fresh": {0, almondcross.CodeClaimedElsewhere, almondcross.ClaimRecord{}, almondcross.StatusUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			member := newMember(t)
			member.submit(test.age)
			member.decide(test.code, test.decisive)
			require.Len(t, member.told, 1)
			require.Equal(t, test.status, member.told[0].Status())
			require.Equal(t, test.code, member.told[0].Code())
			require.Zero(t, member.placed)
			require.Empty(t, member.settled)
		})
	}
}

// Guards against a granted claim that is used after the member lost its standing, and against one that
// is given up without a settlement, so that its key stays open for good.
func TestGrantWithoutStanding(t *testing.T) {
	member := newMember(t)
	member.submit(2 * time.Minute)
	member.now = member.now.Add(2 * almondcross.ViewLifetime)
	member.apply(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{Key: member.key, Granted: true}))
	require.Zero(t, member.placed)
	require.Len(t, member.told, 1)
	require.Equal(t, almondcross.StatusNotRun, member.told[0].Status())
	require.Equal(t, almondcross.CodeNoStanding, member.told[0].Code())
	require.Equal(t, member.told, member.settled)
}

// Guards against a caller that never hears of the end of a key that another member claimed and settled,
// before its request or after it, and against the answer carrying the key of another origin.
func TestSettledElsewhere(t *testing.T) {
	member := newMember(t)
	settled := member.record(almondcross.ClaimSettled).WithStatus(almondcross.StatusFailed).WithCode(almondcross.CodeTargetLost)
	member.submit(2 * time.Minute)
	member.decide(almondcross.CodeClaimedElsewhere, settled.WithKey(member.key.WithOrigin("south")))
	require.Len(t, member.told, 1)
	require.Equal(t, almondcross.StatusFailed, member.told[0].Status())
	require.Equal(t, member.key, member.told[0].Key())

	member = newMember(t)
	member.submit(2 * time.Minute)
	member.decide(almondcross.CodeClaimedElsewhere, member.record(almondcross.ClaimTaken))
	require.Empty(t, member.told)
	member.apply(almondcross.NewClaimSettlementSeen(almondcross.ClaimSettlementSeenConfig{Record: settled}))
	require.Len(t, member.told, 1)
	require.Equal(t, almondcross.CodeTargetLost, member.told[0].Code())
}

// Guards against the loss of an answer that a holder repeats to the key's next coordinator while that
// one waits for the claimer, or before anybody asked it for the key.
func TestAnswerOfLostCoordinator(t *testing.T) {
	for _, asked := range []bool{true, false} {
		member := newMember(t)
		ended := almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
			Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
				ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Attempt: 7, Answer: []byte("paid"),
			}),
			Target: "w1",
		})
		if asked {
			member.submit(time.Second)
			member.apply(ended)
		} else {
			member.apply(ended)
			member.apply(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
				Replier: nobody{}, Request: almondcross.NewRequest(almondcross.RequestConfig{Key: member.key, Entry: "payout"}),
			}))
		}
		require.Len(t, member.told, 1)
		require.Equal(t, almondcross.StatusDone, member.told[0].Status())
		require.Equal(t, "paid", string(member.told[0].Answer()))
		require.Len(t, member.settled, 1)
		require.Zero(t, member.placed)
	}
}
