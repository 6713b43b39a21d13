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

// line is one record of the modelled claims stream.
type line struct {
	claim almondcross.ClaimRecord
	part  almondcross.ClaimCheckpoint
	at    time.Time
}

// host is a machine with its position in the stream.
type host struct {
	machine *claimer.Machine
	id      almondcross.MemberID
	origin  string // the data centre of the host, which is the origin of the keys that it claims
	next    int
	started bool
}

// cell is a claims stream with hosts whose appends are refused, lost, late or repeated.
type cell struct {
	t       *rapid.T
	now     time.Time
	lines   []line
	oldest  int
	late    []almondcross.ClaimRecord
	hosts   []*host
	runs    uint64
	issued  map[string]time.Time // the times of issue by the name of the key
	granted map[string]int       // the grants by the name of the key, whatever its origin
	ruled   map[string]bool      // the names of which a host was told that they never run
}

func newCell(t *rapid.T) *cell {
	cell := &cell{
		t: t, now: time.Unix(1_000_000, 0), issued: map[string]time.Time{},
		granted: map[string]int{}, ruled: map[string]bool{},
	}
	for range 3 {
		cell.hosts = append(cell.hosts, cell.newHost(len(cell.hosts)))
	}
	return cell
}

func (cell *cell) newHost(index int) *host {
	cell.runs++
	id := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: fmt.Sprint("h", index), Incarnation: cell.runs})
	origin := []string{"north", "north", "south"}[index]
	return &host{id: id, origin: origin, machine: claimer.NewMachine(claimer.MachineConfig{
		Prefix: fmt.Sprint(cell.runs), DataCentre: origin, Self: id, CheckpointAge: 10 * time.Second, PartSize: 2,
	})}
}

func (cell *cell) pick() *host {
	cell.now = cell.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(cell.t, "milliseconds")) * time.Millisecond)
	return rapid.SampledFrom(cell.hosts).Draw(cell.t, "host")
}

func (cell *cell) key(host *host) almondcross.Key {
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
			cell.append(host, effect.Record)
		case claimer.AppendPart:
			cell.lines = append(cell.lines, line{part: effect.Part.WithOffset(almondcross.Offset(len(cell.lines))), at: cell.now})
			cell.answer(host, effect.ID, almondcross.AppendTaken)
		case claimer.TellCoordinator:
			cell.told(host, effect.Message)
		}
	}
}

func (cell *cell) write(record almondcross.ClaimRecord) {
	cell.lines = append(cell.lines, line{claim: record.WithOffset(almondcross.Offset(len(cell.lines))), at: cell.now})
}

func (cell *cell) answer(host *host, id string, result almondcross.AppendResult) {
	cell.apply(host, almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{IDs: []string{id}, Outcome: result}))
}

func (cell *cell) append(host *host, record almondcross.ClaimRecord) {
	result := almondcross.AppendUncertain
	switch rapid.SampledFrom([]string{"taken", "taken", "refused", "unanswered", "late", "twice"}).Draw(cell.t, "append") {
	case "taken":
		cell.write(record)
		result = almondcross.AppendTaken
	case "refused":
		result = almondcross.AppendRefused
	case "unanswered":
		cell.write(record)
	case "late":
		cell.late = append(cell.late, record)
	case "twice":
		cell.write(record)
		cell.late = append(cell.late, record)
		result = almondcross.AppendTaken
	}
	if record.Kind() == almondcross.ClaimVoid && result == almondcross.AppendUncertain {
		return // the answer is lost between the appender and the claimer as well
	}
	cell.answer(host, record.ID(), result)
}

func (cell *cell) told(host *host, message almondcross.CoordinatorMessage) {
	decided, ok := message.(almondcross.ClaimDecided)
	if !ok {
		return
	}
	key := decided.Key().Name()
	if decided.Granted() {
		cell.granted[key]++
		require.Equal(cell.t, 1, cell.granted[key], "name %s was granted twice", key)
		require.False(cell.t, cell.ruled[key], "name %s was granted after it was ruled out", key)
		require.Equal(cell.t, host.id, decided.Decisive().Claimant(), "the grant went to another incarnation")
		return
	}
	if decided.Code() == almondcross.CodeVoided {
		cell.ruled[key] = true
		require.Zero(cell.t, cell.granted[key], "name %s was ruled out after it was granted", key)
	}
}

// read passes the next records of the stream to a host.
func (cell *cell) read(host *host) {
	if host.next < cell.oldest || !host.started {
		host.next, host.started = cell.oldest, true
		config := almondcross.ClaimsStartedConfig{Oldest: almondcross.Offset(cell.oldest), Trimmed: cell.oldest > 0}
		if cell.oldest < len(cell.lines) {
			config.Since = cell.lines[cell.oldest].at
		}
		cell.apply(host, almondcross.NewClaimsStarted(config))
	}
	for range rapid.IntRange(0, 8).Draw(cell.t, "records") {
		if host.next >= len(cell.lines) {
			return
		}
		line := cell.lines[host.next]
		host.next++
		if line.part.Parts() > 0 {
			cell.apply(host, almondcross.NewClaimCheckpointRead(
				almondcross.ClaimCheckpointReadConfig{Checkpoint: line.part, Appended: line.at},
			))
			continue
		}
		cell.apply(host, almondcross.NewClaimRecordsRead(almondcross.ClaimRecordsReadConfig{
			Records: []almondcross.ClaimRecord{line.claim}, Next: almondcross.Offset(host.next),
		}))
	}
}

// seldom skips an action in most cases.
func seldom(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "seldom") != 0 {
		t.Skip("seldom")
	}
}

// Guards against a key that may not be repeated being started twice, under one origin or under two, or
// after its caller was told that it never runs, whatever appends are lost, late or repeated, hosts rejoin or restart, and the log trims.
func TestKeyIsGrantedOnce(t *testing.T) {
	grants, ruledOut := 0, 0
	check := func(t *rapid.T) {
		cell := newCell(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(*rapid.T) {
				host := cell.pick()
				key := cell.key(host)
				cell.apply(host, almondcross.NewClaimKey(almondcross.ClaimKeyConfig{
					Key: key, Entry: "tally",
					Request: almondcross.NewRequest(almondcross.RequestConfig{Key: key, IssuedAt: cell.issued[key.Name()]}),
				}))
			},
			"void": func(*rapid.T) {
				host := cell.pick()
				cell.apply(host, almondcross.NewVoidKey(almondcross.VoidKeyConfig{Key: cell.key(host)}))
			},
			"settle": func(t *rapid.T) {
				host := cell.pick()
				key := cell.key(host)
				if cell.granted[key.Name()] == 0 {
					t.Skip("not granted")
				}
				cell.apply(host, almondcross.NewSettleKey(almondcross.SettleKeyConfig{
					Outcome: almondcross.NewOutcome(almondcross.OutcomeConfig{Key: key, Status: almondcross.StatusDone}),
				}))
			},
			"read": func(*rapid.T) { cell.read(cell.pick()) },
			"arrive": func(t *rapid.T) {
				if len(cell.late) == 0 {
					t.Skip("nothing is late")
				}
				cell.write(cell.late[0])
				cell.late = cell.late[1:]
			},
			"tick": func(t *rapid.T) {
				down := rapid.Bool().Draw(t, "down")
				cell.apply(cell.pick(), almondcross.NewClaimTick(almondcross.ClaimTickConfig{Writer: true, LogDown: down}))
			},
			"rejoin": func(t *rapid.T) {
				seldom(t)
				host := cell.pick()
				cell.runs++
				host.id = host.id.WithIncarnation(cell.runs)
				cell.apply(host, almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(
					almondcross.ViewConfig{Self: almondcross.NewMember(almondcross.MemberConfig{ID: host.id})},
				)}))
			},
			"restart": func(t *rapid.T) {
				seldom(t)
				index := rapid.IntRange(0, len(cell.hosts)-1).Draw(t, "index")
				cell.hosts[index] = cell.newHost(index)
			},
			"trim": func(t *rapid.T) {
				seldom(t)
				if len(cell.lines) <= cell.oldest {
					t.Skip("nothing to trim")
				}
				cell.oldest = rapid.IntRange(cell.oldest, len(cell.lines)-1).Draw(t, "oldest")
			},
		})
		grants += len(cell.granted)
		ruledOut += len(cell.ruled)
	}
	rapid.Check(t, check)
	require.Positive(t, grants, "no key was granted in any run")
	require.Positive(t, ruledOut, "no key was ruled out in any run")
	t.Logf("%d keys granted, %d ruled out", grants, ruledOut)
}

// Guards against a start without a claim while the log is down, and against keys too old to be known.
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
		require.Equal(t, code, effects[0].(claimer.TellCoordinator).Message.(almondcross.ClaimDecided).Code())
	}
}

// Guards against a second run of a name that its caller sent to two data centres, and against a caller
// in the second one that never hears how the run in the first one ended.
func TestNameClaimedUnderAnotherOrigin(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	north := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Origin: "north", Name: "run-1"})
	south := north.WithOrigin("south")
	machine := claimer.NewMachine(claimer.MachineConfig{DataCentre: "south"})
	record := almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: "north/1", Kind: almondcross.ClaimTaken, Key: north, IssuedAt: now, AnswerOffset: -1,
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
	decided, ok := effects[0].(claimer.TellCoordinator).Message.(almondcross.ClaimDecided)
	require.True(t, ok)
	require.Equal(t, south, decided.Key())
	require.Equal(t, almondcross.CodeClaimedElsewhere, decided.Code())

	effects = read(record.WithID("north/2").WithKind(almondcross.ClaimSettled).WithStatus(almondcross.StatusFailed).WithOffset(1))
	require.Len(t, effects, 1)
	seen, ok := effects[0].(claimer.TellCoordinator).Message.(almondcross.ClaimSettlementSeen)
	require.True(t, ok)
	require.Equal(t, south, seen.Record().Key())
}
