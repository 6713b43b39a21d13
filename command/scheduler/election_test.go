package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// Guards against a token that is not above those of earlier terms while hosts of this version and of the one before take
// turns: a worker that has seen the higher one would refuse the later scheduler. Tokens also have to be exact as floating
// point numbers.
func TestTokensRiseAcrossVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newHarness(t)
		epoch := rapid.Int64Range(0, almondcross.MaxEpoch).Draw(t, "epoch")
		highest := int64(0)
		for range rapid.IntRange(1, 8).Draw(t, "schedulers") {
			var first, last int64
			if rapid.Bool().Draw(t, "earlier version") {
				if epoch>>epochRandomBits >= maxTerm {
					return
				}
				epoch = (epoch>>epochRandomBits+1)<<epochRandomBits | rapid.Int64Range(0, 1<<epochRandomBits-1).Draw(t, "random bits")
				first = epoch << fenceEpochShift
				last = first + 1<<fenceEpochShift - 1
			} else {
				harness.machine.state.highestEpoch = epoch
				next, found := harness.machine.nextEpoch()
				require.Equal(t, epoch>>epochRandomBits < maxTerm, found)
				if !found {
					return
				}
				epoch, first, last = next, firstFence(next), lastFence(next)
				require.Equal(t, epoch, first>>fenceEpochShift)
				require.Equal(t, epoch>>epochRandomBits, last>>(fenceEpochShift+epochRandomBits), "the counter leaves the term")
			}
			require.Greater(t, first, highest)
			require.Less(t, last, int64(1)<<53)
			require.LessOrEqual(t, epoch, int64(almondcross.MaxEpoch))
			highest = rapid.Int64Range(first, last).Draw(t, "highest token")
		}
	})
}

// electionStore is a journal with conditional appends and a writer whose epochs are compared.
type electionStore struct {
	batches           []almondcross.JournalBatch
	epoch             int64
	offsets           map[int64]int64 // offsets holds the offset of each append of the epoch by its sequence number.
	conditionSetsMark bool            // conditionSetsMark is set if an append with a failed condition sets the epoch.
}

func (store *electionStore) append(commit almondcross.JournalCommit) almondcross.JournalCommittedConfig {
	answer := almondcross.JournalCommittedConfig{Commit: commit}
	end := int64(len(store.batches))
	holds := !commit.Election() || commit.ExpectedEnd() == end
	if commit.Sequence() > 0 {
		if commit.Epoch() < store.epoch {
			answer.Err = almondcross.ErrStoreFenced
			return answer
		}
		if commit.Epoch() > store.epoch && (holds || store.conditionSetsMark) {
			store.epoch, store.offsets = commit.Epoch(), map[int64]int64{}
		}
		if offset, repeated := store.offsets[commit.Sequence()]; repeated && commit.Epoch() == store.epoch {
			answer.Appended = appendedAt(offset, len(commit.Batches()))
			return answer
		}
	}
	if !holds {
		answer.Err = almondcross.ErrStoreEndMismatch
		return answer
	}
	if commit.Sequence() > 0 {
		store.offsets[commit.Sequence()] = end
	}
	store.batches = append(store.batches, commit.Batches()...)
	answer.Appended = appendedAt(end, len(commit.Batches()))
	return answer
}

func appendedAt(offset int64, count int) almondcross.StoreAppended {
	return almondcross.NewStoreAppended(almondcross.StoreAppendedConfig{Offset: offset, End: offset + int64(count)})
}

// electionModel is a store and hosts of which several stand at a time. All hosts draw the same candidate bits.
type electionModel struct {
	t       *rapid.T
	store   *electionStore
	hosts   []*harness
	late    []almondcross.JournalCommit // late holds appends that were given up and may still arrive.
	elected []int64                     // elected holds the epoch of each start of a scheduler.
}

func (model *electionModel) boot(index int) {
	booted := newHarness(model.t)
	booted.machine.config.Host = string(rune('a' + index))
	if previous := model.hosts[index]; previous != nil {
		booted.now = previous.now
	}
	booted.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	model.hosts[index] = booted
}

// step lets a host wait, read and append; answers of appends may be lost, and lost appends may arrive later.
func (model *electionModel) step(index int) {
	host := model.hosts[index]
	led := host.machine.Leads()
	switch rapid.IntRange(0, 19).Draw(model.t, "event") {
	case 0:
		model.boot(index)
		return
	case 1:
		if len(model.late) > 0 {
			model.store.append(model.late[0])
			model.late = model.late[1:]
		}
	case 2, 3, 4, 5, 6:
		model.answerAppend(host)
	default:
		model.answerReads(host)
		host.advance(time.Duration(rapid.IntRange(20, 500).Draw(model.t, "wait")) * time.Millisecond)
	}
	if host.machine.Leads() && !led {
		model.elected = append(model.elected, host.machine.leader.epoch)
	}
}

func (model *electionModel) answerAppend(host *harness) {
	commit, found := takeEffect[Commit](host)
	if !found {
		return
	}
	answer := almondcross.JournalCommittedConfig{Commit: commit.Request, Err: almondcross.ErrStoreUncertain}
	switch rapid.IntRange(0, 7).Draw(model.t, "fate") {
	case 0:
		model.late = append(model.late, commit.Request)
	case 1:
		model.store.append(commit.Request)
	default:
		answer = model.store.append(commit.Request)
	}
	host.apply(almondcross.NewJournalCommitted(answer))
}

func (model *electionModel) answerReads(host *harness) {
	if _, found := takeEffect[ReadPointer](host); found {
		host.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	}
	if _, found := takeEffect[ReadSnapshot](host); found {
		host.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	}
	if read, found := takeEffect[ReadJournal](host); found {
		from, end := read.Query.From(), int64(len(model.store.batches))
		host.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: from, Next: end, End: end, Batches: slices.Clone(model.store.batches[from:])}))
	}
}

// Guards against two schedulers with one epoch, whose tokens workers could not tell apart: several hosts stand in one term,
// with the same candidate bits in the worst case, appends arrive after they were given up, and hosts restart without the
// epochs that they tried. The store has to tell the candidates apart by its conditions and sequence numbers alone.
func TestCandidatesOfATermAreNotElectedTogether(t *testing.T) {
	elections := 0
	rapid.Check(t, func(t *rapid.T) {
		model := &electionModel{t: t, hosts: make([]*harness, 3), store: &electionStore{conditionSetsMark: rapid.Bool().Draw(t, "mark")}}
		for index := range model.hosts {
			model.boot(index)
		}
		for range 250 {
			model.step(rapid.IntRange(0, len(model.hosts)-1).Draw(t, "host"))
		}
		elections += len(model.elected)
		slices.Sort(model.elected)
		require.Len(t, slices.Compact(slices.Clone(model.elected)), len(model.elected), "two schedulers have one epoch: %v", model.elected)
		recorded := int64(0)
		for _, batch := range model.store.batches {
			for _, change := range batch.Changes() {
				if change.Kind() == almondcross.ChangeElected {
					require.Greater(t, batch.Epoch(), recorded)
					recorded = batch.Epoch()
				}
			}
		}
	})
	require.Positive(t, elections)
}
