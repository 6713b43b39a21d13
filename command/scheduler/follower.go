package scheduler

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// follower is what a machine keeps while it follows the journal.
type follower struct {
	next      int64     // next is the journal offset that follows the last applied batch.
	reading   bool      // reading tells that a read is under way.
	caughtUp  bool      // caughtUp tells that the last read reached the end of the journal.
	current   bool      // current tells that the scheduler of the last batch had read all intakes.
	lastBatch time.Time // lastBatch is when the last batch came.
	aliveAt   time.Time // aliveAt is when a batch came that had been written a moment before.
	lastRead  time.Time // lastRead is when the last read was answered.
	electAt   time.Time // electAt is the earliest time of the next election.
	lastPush  time.Time // lastPush is when batches last came over the link.
	failing   bool      // failing tells that the last read had no answer.
	loadSince time.Time // loadSince is when the present load of the state began.
	trimmed   int       // trimmed counts reads in a row that found their records deleted.
}

// load begins to read the state anew.
func (machine *Machine) load(pause time.Duration) {
	if machine.role != roleLoading {
		machine.follower.loadSince = machine.now
	}
	machine.role = roleLoading
	machine.do(ReadSnapshot{Query: almondcross.NewSnapshotQuery(almondcross.SnapshotQueryConfig{Pause: pause})})
}

func (machine *Machine) snapshotRead(read almondcross.SnapshotRead) {
	if machine.role != roleLoading {
		return
	}
	switch {
	case read.Err() != nil && machine.now.Sub(machine.follower.loadSince) > loadLimit:
		// Another host may know the scheduler.
		machine.config.Log.Record("state_not_loaded", almondcross.Text("reason", read.Err().Error()))
		machine.seek()
		return
	case read.Err() != nil:
		machine.load(retryPause)
		return
	}
	trimmed := machine.follower.trimmed
	machine.state = newState(machine.config.Retain)
	machine.follower = follower{trimmed: trimmed}
	if read.Found() {
		machine.state = restore(read.Snapshot(), machine.config.Retain, machine.now)
		machine.follower.next = read.Snapshot().Next()
	}
	machine.config.Publisher.Reset()
	machine.publish(machine.views())
	machine.role = roleFollower
	machine.config.Log.Record("state_loaded", almondcross.Number("next", machine.follower.next),
		almondcross.Number("jobs", len(machine.state.jobs)), almondcross.Number("epoch", machine.state.epoch))
	machine.readJournal(0)
}

func (machine *Machine) readJournal(pause time.Duration) {
	machine.follower.reading = true
	machine.do(ReadJournal{Query: almondcross.NewJournalQuery(almondcross.JournalQueryConfig{
		From: machine.follower.next, Pause: pause, Wait: followWait,
	})})
}

func (machine *Machine) journalRead(read almondcross.JournalRead) {
	machine.follower.reading = false
	if machine.role != roleFollower {
		// A candidate must not see its own election before the answer; it reads again afterwards.
		return
	}
	if read.From() > machine.follower.next {
		// The answer belongs to what this host followed before it loaded the state anew.
		machine.readJournal(0)
		return
	}
	if read.From() < machine.follower.next && !errors.Is(read.Err(), almondcross.ErrStoreTrimmed) {
		read = skipApplied(read, machine.follower.next)
	}
	switch {
	case errors.Is(read.Err(), almondcross.ErrStoreTrimmed):
		machine.journalTrimmed(read)
		return
	case read.Err() != nil:
		machine.follower.failing = true
		machine.readJournal(retryPause)
		return
	}
	machine.follower.trimmed = 0
	if machine.follower.failing {
		// The scheduler may have been unable to write for as long as this host was unable to read.
		machine.follower.failing, machine.follower.lastBatch, machine.follower.electAt = false, machine.now, time.Time{}
	}
	machine.followBatches(read, machine.now)
	pause := followPause
	switch {
	case !machine.follower.caughtUp:
		pause = 0
	case machine.now.Sub(machine.follower.lastPush) < pushFresh:
		pause = pushedPause
	}
	machine.readJournal(pause)
}

// skipApplied leaves out the batches that came over the link while the read was under way.
func skipApplied(read almondcross.JournalRead, next int64) almondcross.JournalRead {
	applied := min(next-read.From(), int64(len(read.Batches())))
	return read.WithFrom(next).WithNext(max(next, read.Next())).WithBatches(read.Batches()[applied:])
}

// journalPushed applies batches that came over the link. The store is still read, though less often, since
// only a read shows that a silent scheduler and not the link is the cause of silence.
func (machine *Machine) journalPushed(pushed almondcross.JournalPushed) {
	if machine.role != roleFollower || pushed.From() > machine.follower.next {
		return
	}
	next := pushed.From() + int64(len(pushed.Batches()))
	if next <= machine.follower.next {
		return
	}
	machine.follower.lastPush = machine.now
	machine.followBatches(almondcross.NewJournalRead(almondcross.JournalReadConfig{
		From: machine.follower.next, Next: next, End: next, Batches: pushed.Batches()[machine.follower.next-pushed.From():],
	}), machine.follower.lastRead)
}

// followBatches applies batches; readAt is when the store was last read.
func (machine *Machine) followBatches(read almondcross.JournalRead, readAt time.Time) {
	for _, batch := range read.Batches() {
		machine.state.applyBatch(batch, machine.now)
		machine.follower.current = batch.Current()
		if machine.now.Sub(batch.At()) < batchFresh {
			machine.follower.aliveAt = machine.now
		}
	}
	machine.follower.next = read.Next()
	first := !machine.follower.caughtUp
	if len(read.Batches()) > 0 {
		machine.follower.electAt = time.Time{} // The scheduler lives; a new silence has its own delay.
	}
	machine.follower.caughtUp = read.Next() >= read.End()
	machine.follower.lastRead = readAt
	if len(read.Batches()) > 0 || machine.follower.lastBatch.IsZero() {
		machine.follower.lastBatch = machine.now
	}
	if first && machine.follower.caughtUp && machine.now.Sub(machine.state.at) > leadershipLimit {
		// Nobody has scheduled for long; there is no scheduler to wait for.
		machine.follower.lastBatch = machine.now.Add(-silenceLimit)
	}
	if first && machine.follower.caughtUp && machine.state.host == machine.config.Host && !machine.state.resigned {
		// The last scheduler was this host, which does not schedule any more. Nobody else knows that yet, unless it
		// has resigned; then a stronger host goes first.
		machine.follower.lastBatch, machine.follower.electAt = machine.now.Add(-silenceLimit), machine.now
	}
	if machine.follower.caughtUp {
		alive := machine.now.Sub(machine.follower.aliveAt) < silenceLimit
		machine.config.Publisher.Refreshed(machine.now, machine.follower.current && alive)
	}
	machine.publish(machine.views())
	if machine.follower.caughtUp {
		machine.tellLeader()
	}
}

// journalTrimmed reads the snapshot again. When even the newest snapshot is older than the oldest
// record, the journal is followed from there with a gap.
func (machine *Machine) journalTrimmed(read almondcross.JournalRead) {
	machine.follower.trimmed++
	machine.config.Log.Record("journal_trimmed", almondcross.Number("from", read.From()), almondcross.Number("first", read.Next()))
	if machine.follower.trimmed < 3 {
		machine.load(retryPause)
		return
	}
	machine.config.Log.Record("journal_gap", almondcross.Number("from", read.From()), almondcross.Number("first", read.Next()))
	machine.follower.next = read.Next()
	machine.readJournal(0)
}

// tellLeader tells the link to whom to connect when the scheduler has changed.
func (machine *Machine) tellLeader() {
	host, address := machine.Leader()
	known := almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: machine.state.elected, Host: host, Address: address})
	if known == machine.seeker.pointer || host == machine.config.Host && machine.role != roleLeader {
		return
	}
	machine.seeker.pointer = known
	machine.config.Log.Record("scheduler_known", almondcross.Text("host", host), almondcross.Number("epoch", known.Epoch()))
	machine.do(Lead{Pointer: known, Own: machine.role == roleLeader, Strength: machine.strength()})
}

// considerElection stands for election when the scheduler is silent while the store answers.
func (machine *Machine) considerElection() {
	follower := &machine.follower
	if !follower.caughtUp || follower.failing || machine.stopping || machine.now.Sub(follower.lastRead) > readFresh || machine.now.Before(follower.electAt) {
		return
	}
	silence := machine.now.Sub(follower.lastBatch)
	if silence < silenceLimit && !machine.state.resigned {
		return
	}
	if follower.electAt.IsZero() {
		jitter := time.Duration(machine.config.Random.Int64N(int64(electionJitter)))
		follower.electAt = machine.now.Add(jitter + time.Duration(fullStrength-min(machine.strength(), fullStrength))*weaknessDelay)
		return
	}
	term := max(machine.state.epoch, machine.tried)>>epochRandomBits + 1
	epoch := term<<epochRandomBits | machine.config.Random.Int64N(1<<epochRandomBits)
	machine.tried = epoch
	machine.role = roleCandidate
	machine.config.Log.Record("election_started", almondcross.Number("epoch", epoch), almondcross.Millis("silence_ms", silence),
		almondcross.Text("last_scheduler", machine.state.host), almondcross.Number("end", follower.next))
	at := machine.now
	if at.Before(machine.state.at) {
		at = machine.state.at
	}
	machine.do(Commit{Request: almondcross.NewJournalCommit(almondcross.JournalCommitConfig{
		Epoch: epoch, Election: true, ExpectedEnd: follower.next,
		Batches: []almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{
			Epoch: epoch, At: at,
		})},
	})})
}

// electionAnswered begins to lead or goes back to following. An election has two appends. The first one
// carries no epoch, so that of several candidates one wins and the others do no harm. The second one
// carries the winner's epoch, which shuts out the earlier scheduler; it fails if that one is still alive
// and has written in between. Only the second one names the scheduler: hosts must not leave a scheduler that
// goes on because the election has failed.
func (machine *Machine) electionAnswered(answer almondcross.JournalCommitted) {
	if machine.role != roleCandidate || answer.Commit().Epoch() != machine.tried {
		return
	}
	machine.follower.electAt = machine.now.Add(electionBackoff + time.Duration(machine.config.Random.Int64N(int64(electionJitter))))
	if answer.Err() != nil || answer.Appended().Offset() != machine.follower.next {
		machine.role = roleFollower
		machine.config.Log.Record("election_lost", almondcross.Number("epoch", answer.Commit().Epoch()), almondcross.Text("reason", reason(answer.Err())))
		if !machine.follower.reading {
			machine.readJournal(0)
		}
		return
	}
	for _, batch := range answer.Commit().Batches() {
		machine.state.applyBatch(batch, machine.now)
	}
	machine.follower.next = answer.Appended().End()
	if answer.Commit().Sequence() > 0 {
		machine.startLeading(answer)
		return
	}
	machine.do(Commit{Request: answer.Commit().WithSequence(1).WithExpectedEnd(machine.follower.next).WithBatches(
		[]almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{
			Epoch: answer.Commit().Epoch(), At: machine.state.at, Changes: []almondcross.Change{
				almondcross.NewChange(almondcross.ChangeConfig{
					Kind: almondcross.ChangeElected, Host: machine.config.Host, Address: machine.config.Address,
				}),
			},
		})},
	)})
}

func reason(err error) string {
	if err == nil {
		return "the journal moved"
	}
	return err.Error()
}
