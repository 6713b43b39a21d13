package accountant

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// Defaults and limits of a machine.
const (
	// DefaultInterval is the length of an interval.
	DefaultInterval = 10 * time.Second
	// DefaultMaxPending is the maximum number of batches that wait for their append: one hour of intervals of 10 s.
	DefaultMaxPending = 360
	// DefaultMaxLines is the maximum number of lines in a batch; at about 200 bytes a line its record stays below 1 MiB.
	DefaultMaxLines = 4000
	// DefaultMaxDecisions is the number of decisions that are kept, at about 250 bytes each.
	DefaultMaxDecisions = 50000

	// maxInFlight limits the number of batches that are appended at the same time after an outage.
	maxInFlight = 16
	// appendTimeout is the time after which an append without an answer is repeated.
	appendTimeout = 30 * time.Second
)

// MachineConfig holds the identity and limits of a machine; a limit of zero selects its default.
type MachineConfig struct {
	Self         almondcross.MemberID // Self is the host with its incarnation at the start.
	DataCentre   string
	Interval     time.Duration
	MaxPending   int
	MaxLines     int
	MaxDecisions int
}

// Effect is an action that the machine requests and the duty performs.
type Effect interface{ effect() }

// AppendBatch appends a batch to the account stream with a record id.
type AppendBatch struct {
	ID    string
	Batch almondcross.UsageBatch
}

// ReplyDecisions sends the decisions that a lookup selected.
type ReplyDecisions struct {
	Replier   almondcross.DecisionReplier
	Decisions almondcross.DecisionHistory
}

func (AppendBatch) effect()    {}
func (ReplyDecisions) effect() {}

// pendingBatch is a batch that is not known to be in the log yet.
type pendingBatch struct {
	id     string
	batch  almondcross.UsageBatch
	sentAt time.Time // the time of the append that has no answer yet, zero for none
}

// lineKey identifies a line of the current interval.
type lineKey struct{ entry, owner string }

// Machine contains the logic of the accountant; it is not safe for concurrent use.
type Machine struct {
	config         MachineConfig
	self           almondcross.MemberID
	sequence       uint64
	intervalStart  time.Time // the start of the current interval, zero before the first message
	lines          map[lineKey]almondcross.UsageLineConfig
	incomplete     bool   // whether events of the current interval are missing
	lastRefused    uint64 // the number of refused events at the last tick
	capacity       almondcross.Resources
	promisedShares map[string]float64
	pendingBatches []pendingBatch
	dropped        uint64
	decisions      decisionBuffer
}

// NewMachine returns a machine without events.
func NewMachine(config MachineConfig) *Machine {
	config.Interval = orDefault(config.Interval, DefaultInterval)
	config.MaxPending = orDefault(config.MaxPending, DefaultMaxPending)
	config.MaxLines = orDefault(config.MaxLines, DefaultMaxLines)
	config.MaxDecisions = orDefault(config.MaxDecisions, DefaultMaxDecisions)
	return &Machine{
		config: config, self: config.Self, lines: map[lineKey]almondcross.UsageLineConfig{},
		decisions: decisionBuffer{capacity: config.MaxDecisions},
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Dropped returns the number of batches that were dropped before their append.
func (machine *Machine) Dropped() uint64 { return machine.dropped }

// Apply processes a message and returns the effects that the duty must perform.
func (machine *Machine) Apply(message almondcross.AccountantMessage, now time.Time) []Effect {
	if machine.intervalStart.IsZero() {
		machine.intervalStart = now.Truncate(machine.config.Interval)
	}
	switch message := message.(type) {
	case almondcross.AccountEvent:
		machine.addEvent(message)
	case almondcross.DecisionEvent:
		machine.decisions.add(message)
	case almondcross.LookupDecisions:
		return []Effect{ReplyDecisions{Replier: message.Replier(), Decisions: machine.decisions.find(message.Query())}}
	case almondcross.AppendAnswered:
		machine.appendAnswered(message)
	case almondcross.CatalogueChanged:
		machine.setPromisedShares(message.Catalogue())
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

// addEvent adds one event to the current interval.
func (machine *Machine) addEvent(event almondcross.AccountEvent) {
	key := lineKey{entry: event.Entry(), owner: event.Owner()}
	line, ok := machine.lines[key]
	if !ok {
		if len(machine.lines) >= machine.config.MaxLines {
			machine.incomplete = true
			return
		}
		line = almondcross.UsageLineConfig{Entry: key.entry, Owner: key.owner, Reasons: map[almondcross.Code]int64{}}
	}
	switch event.Code() {
	case almondcross.CodeNone:
		addUsage(&line, event.Resources(), event.Duration().Seconds()*float64(max(event.Count(), 1)))
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

func addUsage(line *almondcross.UsageLineConfig, resources almondcross.Resources, seconds float64) {
	line.MilliCPUSec += float64(resources.MilliCPU()) * seconds
	line.MemoryMBSec += float64(resources.MemoryMB()) * seconds
	line.AcceleratorSec += float64(resources.Accelerators()) * seconds
	line.SlotSec += float64(resources.Slots()) * seconds
}

// setPromisedShares computes the promised share, as a fraction, of each entry that may run in the data centre.
func (machine *Machine) setPromisedShares(catalogue almondcross.Catalogue) {
	total := int64(0)
	for entry := range catalogue.Entries {
		if entry.RunsIn(machine.config.DataCentre) {
			total += entry.Share()
		}
	}
	machine.promisedShares = map[string]float64{}
	for entry := range catalogue.Entries {
		if total > 0 && entry.RunsIn(machine.config.DataCentre) {
			machine.promisedShares[entry.Name()] = float64(entry.Share()) / float64(total)
		}
	}
}

func (machine *Machine) tick(message almondcross.AccountTick, now time.Time) []Effect {
	if message.Refused() != machine.lastRefused {
		machine.incomplete = true
		machine.lastRefused = message.Refused()
	}
	machine.capacity = message.Capacity()
	if message.Final() || !now.Before(machine.intervalStart.Add(machine.config.Interval)) {
		machine.closeInterval(now, message.Final())
	}
	return machine.appendPending(now)
}

// closeInterval builds the batch of the current interval and starts the interval that contains now. An interval
// without events has a batch too, so that a missing sequence number always means a lost batch. final marks the last
// batch of an incarnation, at a rejoin or a planned stop.
func (machine *Machine) closeInterval(now time.Time, final bool) {
	config := almondcross.UsageBatchConfig{
		Member: machine.self, DataCentre: machine.config.DataCentre, Sequence: machine.sequence + 1,
		From: machine.intervalStart, To: machine.intervalStart.Add(machine.config.Interval), Incomplete: machine.incomplete, Final: final,
	}
	capacity := almondcross.UsageLineConfig{}
	addUsage(&capacity, machine.capacity, machine.config.Interval.Seconds())
	for key, line := range machine.lines {
		line.Promised = machine.promisedShares[key.entry]
		line.Received = receivedShare(line, capacity)
		config.Lines = append(config.Lines, almondcross.NewUsageLine(line))
	}
	sort.Slice(config.Lines, func(i, j int) bool {
		first, second := config.Lines[i], config.Lines[j]
		return first.Entry() < second.Entry() || (first.Entry() == second.Entry() && first.Owner() < second.Owner())
	})
	config.Lines = append(config.Lines, almondcross.NewUsageLine(capacity))
	machine.sequence++
	machine.pendingBatches = append(machine.pendingBatches, pendingBatch{
		id:    fmt.Sprintf("usage/%s/%d/%d", machine.self.Name(), machine.self.Incarnation(), machine.sequence),
		batch: almondcross.NewUsageBatch(config),
	})
	if overflow := len(machine.pendingBatches) - machine.config.MaxPending; overflow > 0 {
		machine.pendingBatches = append([]pendingBatch(nil), machine.pendingBatches[overflow:]...)
		machine.dropped += uint64(overflow)
	}
	machine.intervalStart = now.Truncate(machine.config.Interval)
	machine.lines = map[lineKey]almondcross.UsageLineConfig{}
	machine.incomplete = false
}

// receivedShare returns the largest fraction of the host's capacity that a line used of any resource.
func receivedShare(line, capacity almondcross.UsageLineConfig) float64 {
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

// appendPending returns the appends of pending batches that were not sent yet or have timed out, oldest first.
func (machine *Machine) appendPending(now time.Time) []Effect {
	var effects []Effect
	for index := range machine.pendingBatches[:min(len(machine.pendingBatches), maxInFlight)] {
		batch := &machine.pendingBatches[index]
		if batch.sentAt.IsZero() || now.Sub(batch.sentAt) >= appendTimeout {
			batch.sentAt = now
			effects = append(effects, AppendBatch{ID: batch.id, Batch: batch.batch})
		}
	}
	return effects
}

// appendAnswered removes the batches that the log has. The others are appended again at the next tick with the same id,
// even if the log may already have them.
func (machine *Machine) appendAnswered(message almondcross.AppendAnswered) {
	for _, id := range message.IDs() {
		for index, batch := range machine.pendingBatches {
			if batch.id != id {
				continue
			}
			if message.Result() == almondcross.AppendAccepted {
				machine.pendingBatches = append(machine.pendingBatches[:index:index], machine.pendingBatches[index+1:]...)
			} else {
				machine.pendingBatches[index].sentAt = time.Time{}
			}
			break
		}
	}
}

// discard drops a batch that cannot be encoded.
func (machine *Machine) discard(id string) {
	for index, batch := range machine.pendingBatches {
		if batch.id == id {
			machine.pendingBatches = append(machine.pendingBatches[:index:index], machine.pendingBatches[index+1:]...)
			machine.dropped++
			return
		}
	}
}
