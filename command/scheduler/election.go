package scheduler

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// endedScheduler is a scheduler whose process has ended, as far as a host can tell: its link has broken, and another one is refused.
// Standbys need not wait for its silence.
type endedScheduler struct {
	epoch        int64 // epoch is that of the scheduler.
	highestEpoch int64 // highestEpoch is the highest epoch in the journal when this host learned it. A higher one is that of a candidate.
	candidacies  int   // candidacies counts the elections that this host has lost since then to records that it had not read.
}

// noteRefusal notes that nothing accepts links at the address of the scheduler. It counts once for each scheduler: once a candidate
// has written to the journal, this host waits for its election.
func (machine *Machine) noteRefusal(scheduler string) {
	state := machine.state
	if machine.role == roleFollower && scheduler == state.schedulerHost && machine.follower.ended.epoch != state.schedulerEpoch {
		machine.follower.ended = endedScheduler{epoch: state.schedulerEpoch, highestEpoch: state.highestEpoch}
	}
}

// schedulerEnded reports whether the scheduler's process has ended, as far as this host can tell, and no candidate is known.
func (machine *Machine) schedulerEnded() bool {
	ended, state := machine.follower.ended, machine.state
	return ended.epoch > 0 && ended.epoch == state.schedulerEpoch && ended.highestEpoch == state.highestEpoch && ended.candidacies < maxEndedCandidacies
}

// checkElection stands for election when the scheduler has resigned or ended, or when no batch arrives although the store
// answers.
func (machine *Machine) checkElection() {
	follower := &machine.follower
	if !follower.caughtUp || follower.readFailing || machine.stopping || !machine.readsFormat() || machine.now.Before(follower.electionAt) {
		return
	}
	silence := machine.now.Sub(follower.lastBatchAt)
	switch {
	case machine.schedulerEnded():
		if follower.lostElectionEnd == follower.nextOffset {
			return // The journal has records that this host has not read yet.
		}
	case machine.now.Sub(follower.lastReadAt) > freshReadAge, silence < electionTimeout && !machine.state.resigned:
		return
	}
	if follower.electionAt.IsZero() {
		follower.electionAt = machine.now.Add(machine.candidacyDelay())
		if machine.now.Before(follower.electionAt) {
			return
		}
	}
	machine.standForElection(silence)
}

// candidacyDelay returns how long this host waits before it stands for election. Standbys that the scheduler has ranked stand one
// after the other. Any other host waits for a random time, and longer if it is weak.
func (machine *Machine) candidacyDelay() time.Duration {
	if rank := machine.discovery.rank; rank > 0 {
		return time.Duration(rank-1) * candidacyInterval
	}
	jitter := time.Duration(machine.config.Random.Int64N(int64(electionJitter)))
	return jitter + time.Duration(fullStrength-min(machine.strength(), fullStrength))*electionDelayPerPoint
}

// standForElection sends the first append of an election.
func (machine *Machine) standForElection(silence time.Duration) {
	follower := &machine.follower
	epoch, found := machine.nextEpoch()
	if !found {
		follower.electionAt = machine.now.Add(lastTermRetryDelay)
		machine.config.Log.Record("election_terms_used_up", almondcross.Number("epoch", machine.state.highestEpoch))
		return
	}
	machine.triedEpoch = epoch
	machine.role = roleCandidate
	machine.config.Log.Record("election_started", almondcross.Number("epoch", epoch), almondcross.Millis("silence_ms", silence),
		almondcross.Text("last_scheduler", machine.state.schedulerHost), almondcross.Number("end", follower.nextOffset))
	at := machine.now
	if at.Before(machine.state.batchTime) {
		at = machine.state.batchTime
	}
	machine.emit(Commit{Request: almondcross.NewJournalCommit(almondcross.JournalCommitConfig{
		Epoch: epoch, Election: true, ExpectedEnd: follower.nextOffset,
		Batches: []almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{
			Epoch: epoch, At: at,
		})},
	})})
}

// electionAnswered makes this host the scheduler or returns it to the follower role. An election takes two
// appends. The first carries no epoch, so that one of several candidates wins and the others have no effect.
// The second carries the winner's epoch, which fences off the previous scheduler; it fails if that scheduler
// is still alive and has written in between. Only the second append names the new scheduler, because hosts
// must not leave a scheduler that continues after a failed election.
func (machine *Machine) electionAnswered(answer almondcross.JournalCommitted) {
	if machine.role != roleCandidate || answer.Commit().Epoch() != machine.triedEpoch {
		return
	}
	machine.follower.electionAt = machine.now.Add(electionBackoff + time.Duration(machine.config.Random.Int64N(int64(electionJitter))))
	if answer.Err() != nil || answer.Appended().Offset() != machine.follower.nextOffset {
		machine.role = roleFollower
		machine.candidacyLost(answer)
		machine.config.Log.Record("election_lost", almondcross.Number("epoch", answer.Commit().Epoch()), almondcross.Text("reason", electionFailure(answer.Err())))
		machine.readJournal(0)
		return
	}
	for _, batch := range answer.Commit().Batches() {
		machine.state.applyBatch(batch, machine.now)
	}
	machine.follower.nextOffset = answer.Appended().End()
	if answer.Commit().Sequence() > 0 {
		machine.startLeading(answer)
		return
	}
	machine.emit(Commit{Request: answer.Commit().WithSequence(1).WithExpectedEnd(machine.follower.nextOffset).WithBatches(
		[]almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{
			Epoch: answer.Commit().Epoch(), At: machine.state.batchTime, Changes: []almondcross.Change{
				almondcross.NewChange(almondcross.ChangeConfig{
					Kind: almondcross.ChangeElected, Host: machine.config.Host, Address: machine.config.Address,
				}),
				almondcross.NewChange(machine.formatChange()),
			},
		})},
	)})
}

// candidacyLost has this host stand again at once after the end of a scheduler, when it has read the records behind which it stood
// too early. After several candidacies it waits for the silence of the journal, as the scheduler may go on.
func (machine *Machine) candidacyLost(answer almondcross.JournalCommitted) {
	follower := &machine.follower
	stale := answer.Err() == nil || errors.Is(answer.Err(), almondcross.ErrStoreEndMismatch)
	if !stale || !machine.schedulerEnded() {
		return
	}
	follower.ended.candidacies++
	follower.electionAt, follower.lostElectionEnd = time.Time{}, follower.nextOffset
}

func electionFailure(err error) string {
	if err == nil {
		return "another append came first"
	}
	return err.Error()
}
