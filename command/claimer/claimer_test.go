package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/claimer"
)

// streamRecord is one record of the simulated claims stream: a claim record or a part of a checkpoint.
type streamRecord struct {
	claim      almondcross.ClaimRecord
	part       almondcross.ClaimCheckpoint
	appendedAt time.Time
}

// host is a claimer machine with its read position in the stream.
type host struct {
	machine    *claimer.Machine
	id         almondcross.MemberID
	origin     string // the data centre of the host, which is the origin of the keys that it claims
	nextOffset int
	started    bool
}

// cell simulates a claims stream with hosts whose appends may be refused, unanswered, delayed or duplicated.
type cell struct {
	t               *rapid.T
	now             time.Time
	stream          []streamRecord
	oldest          int
	delayed         []almondcross.ClaimRecord
	hosts           []*host
	lastIncarnation uint64
	issued          map[string]time.Time // the times of issue by key name
	granted         map[string]int       // the number of grants by key name, for all origins together
	ruledOut        map[string]bool      // the key names for which a claimer reported that they never run
}

func newCell(t *rapid.T) *cell {
	cell := &cell{
		t: t, now: time.Unix(1_000_000, 0), issued: map[string]time.Time{},
		granted: map[string]int{}, ruledOut: map[string]bool{},
	}
	for range 3 {
		cell.hosts = append(cell.hosts, cell.newHost(len(cell.hosts)))
	}
	return cell
}

func (cell *cell) newHost(index int) *host {
	cell.lastIncarnation++
	id := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: fmt.Sprint("h", index), Incarnation: cell.lastIncarnation})
	origin := []string{"north", "north", "south"}[index]
	return &host{id: id, origin: origin, machine: claimer.NewMachine(claimer.MachineConfig{
		Prefix: fmt.Sprint(cell.lastIncarnation), DataCentre: origin, Self: id, CheckpointAge: 10 * time.Second, PartSize: 2,
	})}
}

func (cell *cell) pickHost() *host {
	cell.now = cell.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(cell.t, "milliseconds")) * time.Millisecond)
	return rapid.SampledFrom(cell.hosts).Draw(cell.t, "host")
}

func (cell *cell) drawKey(host *host) almondcross.Key {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(cell.t, "key")
	key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: host.origin, Name: name})
	if _, ok := cell.issued[name]; !ok {
		cell.issued[name] = cell.now
	}
	return key
}

func (cell *cell) apply(host *host, message almondcross.ClaimerMessage) {
	for _, effect := range host.machine.Apply(message, cell.now) {
		switch effect := effect.(type) {
		case claimer.AppendClaim:
			cell.appendRecord(host, effect.Record)
		case claimer.AppendPart:
			cell.stream = append(cell.stream, streamRecord{part: effect.Part.WithOffset(almondcross.Offset(len(cell.stream))), appendedAt: cell.now})
			cell.answerAppend(host, effect.ID, almondcross.AppendAccepted)
		case claimer.NotifyCoordinator:
			cell.checkDecision(host, effect.Message)
		}
	}
}

func (cell *cell) writeRecord(record almondcross.ClaimRecord) {
	cell.stream = append(cell.stream, streamRecord{claim: record.WithOffset(almondcross.Offset(len(cell.stream))), appendedAt: cell.now})
}

func (cell *cell) answerAppend(host *host, id string, result almondcross.AppendResult) {
	cell.apply(host, almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{IDs: []string{id}, Result: result}))
}

func (cell *cell) appendRecord(host *host, record almondcross.ClaimRecord) {
	result := almondcross.AppendUncertain
	switch rapid.SampledFrom([]string{"taken", "taken", "refused", "unanswered", "late", "twice"}).Draw(cell.t, "append") {
	case "taken":
		cell.writeRecord(record)
		result = almondcross.AppendAccepted
	case "refused":
		result = almondcross.AppendRefused
	case "unanswered":
		cell.writeRecord(record)
	case "late":
		cell.delayed = append(cell.delayed, record)
	case "twice":
		cell.writeRecord(record)
		cell.delayed = append(cell.delayed, record)
		result = almondcross.AppendAccepted
	}
	if record.Kind() == almondcross.ClaimVoid && result == almondcross.AppendUncertain {
		return // the result of the append never reaches the claimer
	}
	cell.answerAppend(host, record.ID(), result)
}

func (cell *cell) checkDecision(host *host, message almondcross.CoordinatorMessage) {
	decided, ok := message.(almondcross.ClaimDecided)
	if !ok {
		return
	}
	key := decided.Key().Name()
	if decided.Granted() {
		cell.granted[key]++
		require.Equal(cell.t, 1, cell.granted[key], "name %s was granted twice", key)
		require.False(cell.t, cell.ruledOut[key], "name %s was granted after it was ruled out", key)
		require.Equal(cell.t, host.id, decided.Decisive().Claimant(), "the claim of another incarnation was granted")
		return
	}
	if decided.Code() == almondcross.CodeVoided {
		cell.ruledOut[key] = true
		require.Zero(cell.t, cell.granted[key], "name %s was ruled out after it was granted", key)
	}
}

// readStream passes the next records of the stream to a host.
func (cell *cell) readStream(host *host) {
	if host.nextOffset < cell.oldest || !host.started {
		host.nextOffset, host.started = cell.oldest, true
		config := almondcross.ClaimsStartedConfig{Oldest: almondcross.Offset(cell.oldest), Trimmed: cell.oldest > 0}
		if cell.oldest < len(cell.stream) {
			config.Since = cell.stream[cell.oldest].appendedAt
		}
		cell.apply(host, almondcross.NewClaimsStarted(config))
	}
	for range rapid.IntRange(0, 8).Draw(cell.t, "records") {
		if host.nextOffset >= len(cell.stream) {
			return
		}
		record := cell.stream[host.nextOffset]
		host.nextOffset++
		if record.part.Parts() > 0 {
			cell.apply(host, almondcross.NewClaimCheckpointRead(
				almondcross.ClaimCheckpointReadConfig{Checkpoint: record.part, Appended: record.appendedAt},
			))
			continue
		}
		cell.apply(host, almondcross.NewClaimRecordsRead(almondcross.ClaimRecordsReadConfig{
			Records: []almondcross.ClaimRecord{record.claim}, Next: almondcross.Offset(host.nextOffset),
		}))
	}
}

// skipMostly skips an action in four of five cases.
func skipMostly(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "seldom") != 0 {
		t.Skip("seldom")
	}
}

// Guards against two starts of a key that may not be repeated, under the same origin or different ones, and against
// a start after the key was ruled out. Appends may be lost, delayed or duplicated, hosts may rejoin or restart, and
// the log may trim the stream.
func TestKeyIsGrantedOnce(t *testing.T) {
	grants, ruledOut := 0, 0
	check := func(t *rapid.T) {
		cell := newCell(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(*rapid.T) {
				host := cell.pickHost()
				key := cell.drawKey(host)
				cell.apply(host, almondcross.NewClaimKey(almondcross.ClaimKeyConfig{
					Key: key, Entry: "tally",
					Request: almondcross.NewRequest(almondcross.RequestConfig{Key: key, IssuedAt: cell.issued[key.Name()]}),
				}))
			},
			"void": func(*rapid.T) {
				host := cell.pickHost()
				cell.apply(host, almondcross.NewVoidKey(almondcross.VoidKeyConfig{Key: cell.drawKey(host)}))
			},
			"settle": func(t *rapid.T) {
				host := cell.pickHost()
				key := cell.drawKey(host)
				if cell.granted[key.Name()] == 0 {
					t.Skip("not granted")
				}
				cell.apply(host, almondcross.NewSettleKey(almondcross.SettleKeyConfig{
					Outcome: almondcross.NewOutcome(almondcross.OutcomeConfig{Key: key, Status: almondcross.StatusDone}),
				}))
			},
			"read": func(*rapid.T) { cell.readStream(cell.pickHost()) },
			"arrive": func(t *rapid.T) {
				if len(cell.delayed) == 0 {
					t.Skip("no append is delayed")
				}
				cell.writeRecord(cell.delayed[0])
				cell.delayed = cell.delayed[1:]
			},
			"tick": func(t *rapid.T) {
				down := rapid.Bool().Draw(t, "down")
				cell.apply(cell.pickHost(), almondcross.NewClaimTick(almondcross.ClaimTickConfig{Writer: true, LogDown: down}))
			},
			"rejoin": func(t *rapid.T) {
				skipMostly(t)
				host := cell.pickHost()
				cell.lastIncarnation++
				host.id = host.id.WithIncarnation(cell.lastIncarnation)
				cell.apply(host, almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(
					almondcross.ViewConfig{Self: almondcross.NewMember(almondcross.MemberConfig{ID: host.id})},
				)}))
			},
			"restart": func(t *rapid.T) {
				skipMostly(t)
				index := rapid.IntRange(0, len(cell.hosts)-1).Draw(t, "index")
				cell.hosts[index] = cell.newHost(index)
			},
			"trim": func(t *rapid.T) {
				skipMostly(t)
				if len(cell.stream) <= cell.oldest {
					t.Skip("nothing to trim")
				}
				cell.oldest = rapid.IntRange(cell.oldest, len(cell.stream)-1).Draw(t, "oldest")
			},
		})
		grants += len(cell.granted)
		ruledOut += len(cell.ruledOut)
	}
	rapid.Check(t, check)
	require.Positive(t, grants, "no key was granted in any run")
	require.Positive(t, ruledOut, "no key was ruled out in any run")
	t.Logf("%d keys granted, %d ruled out", grants, ruledOut)
}

// Guards against a claim record for a key without an issue time, and for a key that is older than the horizon and whose
// earlier claim may have expired.
func TestRefusalsAppendNothing(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	machine := claimer.NewMachine(claimer.MachineConfig{})
	for issuedAt, code := range map[time.Time]almondcross.Code{
		{}: almondcross.CodeIssuedAtMissing,
		now.Add(-claimer.DefaultHorizon - time.Second): almondcross.CodeKeyExpired,
	} {
		effects := machine.Apply(almondcross.NewClaimKey(almondcross.ClaimKeyConfig{
			Request: almondcross.NewRequest(almondcross.RequestConfig{IssuedAt: issuedAt}),
		}), now)
		require.Len(t, effects, 1)
		require.Equal(t, code, effects[0].(claimer.NotifyCoordinator).Message.(almondcross.ClaimDecided).Code())
	}
}

// Guards against a second run of a key name that its caller sent to two data centres, and against a coordinator in the
// second one that is not notified of the settlement in the first one.
func TestNameClaimedUnderAnotherOrigin(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	north := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"})
	south := north.WithOrigin("south")
	machine := claimer.NewMachine(claimer.MachineConfig{DataCentre: "south"})
	record := almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: "north/1", Kind: almondcross.ClaimRequested, Key: north, IssuedAt: now, AnswerOffset: -1,
	})
	read := func(record almondcross.ClaimRecord) []claimer.Effect {
		return machine.Apply(almondcross.NewClaimRecordsRead(almondcross.ClaimRecordsReadConfig{
			Records: []almondcross.ClaimRecord{record}, Next: record.Offset() + 1,
		}), now)
	}
	machine.Apply(almondcross.ClaimsCaughtUp{}, now)
	require.Empty(t, read(record))
	effects := machine.Apply(almondcross.NewClaimKey(almondcross.ClaimKeyConfig{
		Key: south, Request: almondcross.NewRequest(almondcross.RequestConfig{Key: south, IssuedAt: now}),
	}), now)
	require.Len(t, effects, 1)
	decided, ok := effects[0].(claimer.NotifyCoordinator).Message.(almondcross.ClaimDecided)
	require.True(t, ok)
	require.Equal(t, south, decided.Key())
	require.Equal(t, almondcross.CodeClaimedElsewhere, decided.Code())

	effects = read(record.WithID("north/2").WithKind(almondcross.ClaimSettled).WithStatus(almondcross.StatusFailed).WithOffset(1))
	require.Len(t, effects, 1)
	seen, ok := effects[0].(claimer.NotifyCoordinator).Message.(almondcross.ClaimSettlementSeen)
	require.True(t, ok)
	require.Equal(t, south, seen.Record().Key())
}
