package accountant

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// Defaults of the configuration.
const (
	// DefaultInterval is the length of an interval.
	DefaultInterval = 10 * time.Second
	// DefaultMaxPending is the number of batches that wait for the log: an hour at 10 s.
	DefaultMaxPending = 360
	// DefaultMaxLines bounds a batch, so that its record stays below 1 MiB at about 200 bytes a line.
	DefaultMaxLines = 4000
	// DefaultMaxStories is the number of decisions that are kept, at about 250 bytes each.
	DefaultMaxStories = 50000

	// maxInFlight bounds the batches that are appended at once after an outage.
	maxInFlight = 16
	// answerLimit is the time after which an append without an answer is repeated.
	answerLimit = 30 * time.Second
)

// MachineConfig holds the limits of a machine; zero values stand for the defaults.
type MachineConfig struct {
	Self       almondcross.MemberID // Self is the host with its incarnation at the start.
	DataCentre string
	Interval   time.Duration
	MaxPending int
	MaxLines   int
	MaxStories int
}

// Effect is something that the duty does for the machine.
type Effect interface{ effect() }

// AppendBatch appends a batch to the account stream under an id.
type AppendBatch struct {
	ID    string
	Batch almondcross.UsageBatch
}

// AnswerStory answers a lookup.
type AnswerStory struct {
	Replier almondcross.StoryReplier
	Story   almondcross.Story
}

func (AppendBatch) effect() {}
func (AnswerStory) effect() {}

// pending is a batch that the log has not taken yet.
type pending struct {
	id     string
	batch  almondcross.UsageBatch
	sentAt time.Time // the time of the append that has no answer yet, zero for none
}

// lineKey names a line of the open interval.
type lineKey struct{ entry, owner string }

// Machine decides for the accountant; it is not safe for concurrent use.
type Machine struct {
	config   MachineConfig
	self     almondcross.MemberID
	sequence uint64
	from     time.Time // the start of the open interval, zero before the first message
	lines    map[lineKey]almondcross.UsageLineConfig
	partial  bool   // whether events of the open interval are missing
	refused  uint64 // the refused events at the last tick
	capacity almondcross.Resources
	promised map[string]float64
	pending  []pending
	dropped  uint64
	stories  stories
}

// NewMachine returns a machine with an empty account.
func NewMachine(config MachineConfig) *Machine {
	config.Interval = orDefault(config.Interval, DefaultInterval)
	config.MaxPending = orDefault(config.MaxPending, DefaultMaxPending)
	config.MaxLines = orDefault(config.MaxLines, DefaultMaxLines)
	config.MaxStories = orDefault(config.MaxStories, DefaultMaxStories)
	return &Machine{
		config: config, self: config.Self, lines: map[lineKey]almondcross.UsageLineConfig{},
		stories: stories{capacity: config.MaxStories},
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Dropped returns the number of batches that were given up.
func (machine *Machine) Dropped() uint64 { return machine.dropped }

// Apply changes the state by one message and returns what is to be done.
func (machine *Machine) Apply(message almondcross.AccountantMessage, now time.Time) []Effect {
	if machine.from.IsZero() {
		machine.from = now.Truncate(machine.config.Interval)
	}
	switch message := message.(type) {
	case almondcross.AccountEvent:
		machine.add(message)
	case almondcross.StoryEvent:
		machine.stories.add(message)
	case almondcross.LookupStory:
		return []Effect{AnswerStory{Replier: message.Replier(), Story: machine.stories.find(message.Query())}}
	case almondcross.AppendAnswered:
		machine.answered(message)
	case almondcross.CatalogueChanged:
		machine.promise(message.Catalogue())
	case almondcross.ViewChanged:
		if self := message.View().Self().ID(); self != machine.self {
			machine.closeInterval(now, true)
			machine.self, machine.sequence = self, 0
		}
	case almondcross.AccountTick:
		return machine.tick(message, now)
	}
	return nil
}

// add counts one event in the open interval.
func (machine *Machine) add(event almondcross.AccountEvent) {
	key := lineKey{entry: event.Entry(), owner: event.Owner()}
	line, ok := machine.lines[key]
	if !ok {
		if len(machine.lines) >= machine.config.MaxLines {
			machine.partial = true
			return
		}
		line = almondcross.UsageLineConfig{Entry: key.entry, Owner: key.owner, Reasons: map[almondcross.Code]int64{}}
	}
	switch event.Code() {
	case almondcross.CodeNone:
		use(&line, event.Resources(), event.Duration().Seconds()*float64(max(event.Count(), 1)))
	case almondcross.CodeTaskStarted:
		line.Started += event.Count()
	case almondcross.CodeTaskFinished:
		line.Finished += event.Count()
	default:
		line.Reasons[event.Code()] += event.Count()
		if strings.HasPrefix(string(event.Code()), "waited_") {
			line.WaitedSec += event.Duration().Seconds()
		}
	}
	machine.lines[key] = line
}

func use(line *almondcross.UsageLineConfig, resources almondcross.Resources, seconds float64) {
	line.MilliCPUSec += float64(resources.MilliCPU()) * seconds
	line.MemoryMBSec += float64(resources.MemoryMB()) * seconds
	line.AcceleratorSec += float64(resources.Accelerators()) * seconds
	line.SlotSec += float64(resources.Slots()) * seconds
}

// promise computes the promised fraction of each entry that may run in the data centre.
func (machine *Machine) promise(catalogue almondcross.Catalogue) {
	total := int64(0)
	for entry := range catalogue.Entries {
		if entry.RunsIn(machine.config.DataCentre) {
			total += entry.Share()
		}
	}
	machine.promised = map[string]float64{}
	for entry := range catalogue.Entries {
		if total > 0 && entry.RunsIn(machine.config.DataCentre) {
			machine.promised[entry.Name()] = float64(entry.Share()) / float64(total)
		}
	}
}

func (machine *Machine) tick(message almondcross.AccountTick, now time.Time) []Effect {
	if message.Refused() != machine.refused {
		machine.partial = true
		machine.refused = message.Refused()
	}
	machine.capacity = message.Capacity()
	if message.Final() || !now.Before(machine.from.Add(machine.config.Interval)) {
		machine.closeInterval(now, message.Final())
	}
	return machine.send(now)
}

// closeInterval makes the batch of the open interval and opens the one that holds now. An interval
// without events makes a batch too, so that a missing number is always a lost batch.
func (machine *Machine) closeInterval(now time.Time, final bool) {
	config := almondcross.UsageBatchConfig{
		Member: machine.self, DataCentre: machine.config.DataCentre, Sequence: machine.sequence + 1,
		From: machine.from, To: machine.from.Add(machine.config.Interval), Incomplete: machine.partial, Final: final,
	}
	capacity := almondcross.UsageLineConfig{}
	use(&capacity, machine.capacity, machine.config.Interval.Seconds())
	for key, line := range machine.lines {
		line.Promised = machine.promised[key.entry]
		line.Received = received(line, capacity)
		config.Lines = append(config.Lines, almondcross.NewUsageLine(line))
	}
	sort.Slice(config.Lines, func(i, j int) bool {
		first, second := config.Lines[i], config.Lines[j]
		return first.Entry() < second.Entry() || (first.Entry() == second.Entry() && first.Owner() < second.Owner())
	})
	config.Lines = append(config.Lines, almondcross.NewUsageLine(capacity))
	machine.sequence++
	machine.pending = append(machine.pending, pending{
		id:    fmt.Sprintf("usage/%s/%d/%d", machine.self.Name(), machine.self.Incarnation(), machine.sequence),
		batch: almondcross.NewUsageBatch(config),
	})
	if excess := len(machine.pending) - machine.config.MaxPending; excess > 0 {
		machine.pending = append([]pending(nil), machine.pending[excess:]...)
		machine.dropped += uint64(excess)
	}
	machine.from = now.Truncate(machine.config.Interval)
	machine.lines = map[lineKey]almondcross.UsageLineConfig{}
	machine.partial = false
}

// received returns the largest fraction of the host's capacity that a line took of any resource.
func received(line, capacity almondcross.UsageLineConfig) float64 {
	return max(
		fraction(line.MilliCPUSec, capacity.MilliCPUSec), fraction(line.MemoryMBSec, capacity.MemoryMBSec),
		fraction(line.AcceleratorSec, capacity.AcceleratorSec), fraction(line.SlotSec, capacity.SlotSec),
	)
}

func fraction(part, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return part / total
}

// send asks for the append of waiting batches, the oldest first.
func (machine *Machine) send(now time.Time) []Effect {
	var effects []Effect
	for index := range machine.pending[:min(len(machine.pending), maxInFlight)] {
		waiting := &machine.pending[index]
		if waiting.sentAt.IsZero() || now.Sub(waiting.sentAt) >= answerLimit {
			waiting.sentAt = now
			effects = append(effects, AppendBatch{ID: waiting.id, Batch: waiting.batch})
		}
	}
	return effects
}

// answered drops the batches that the log has. The others are appended again at the next tick with
// the same id, also when the log may have them.
func (machine *Machine) answered(message almondcross.AppendAnswered) {
	for _, id := range message.IDs() {
		for index, waiting := range machine.pending {
			if waiting.id != id {
				continue
			}
			if message.Outcome() == almondcross.AppendTaken {
				machine.pending = append(machine.pending[:index:index], machine.pending[index+1:]...)
			} else {
				machine.pending[index].sentAt = time.Time{}
			}
			break
		}
	}
}

// discard gives up a batch that cannot be encoded.
func (machine *Machine) discard(id string) {
	for index, waiting := range machine.pending {
		if waiting.id == id {
			machine.pending = append(machine.pending[:index:index], machine.pending[index+1:]...)
			machine.dropped++
			return
		}
	}
}
