package cell_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
)

// cell is a cell in a deterministic discrete-event simulation: entry hosts run the real decision code, while
// the clock, the network, the workers and the log are simulated.
type cell struct {
	now          time.Time
	random       *rand.Rand
	events       eventHeap
	sequence     int
	hosts        map[string]*host
	hostNames    []string
	workers      map[string]*worker
	workerNames  []string // workerNames has a fixed order, so that a seed draws the same workers in each run.
	log          *claimLog
	catalogue    almondcross.Catalogue
	checker      checker
	trace        []string
	lastArrivals map[string]time.Time // lastArrivals holds the last arrival time on each link, so that links deliver in order.
}

// event is a function to run at a point in simulated time; sequence orders events of the same time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (eventheap eventHeap) Len() int { return len(eventheap) }
func (eventheap eventHeap) Less(i, j int) bool {
	if eventheap[i].at.Equal(eventheap[j].at) {
		return eventheap[i].sequence < eventheap[j].sequence
	}
	return eventheap[i].at.Before(eventheap[j].at)
}

func (eventheap eventHeap) Swap(i, j int) { eventheap[i], eventheap[j] = eventheap[j], eventheap[i] }

func (eventheap *eventHeap) Push(item any) {
	*eventheap = append(*eventheap, item.(event))
}

func (eventheap *eventHeap) Pop() any {
	old := *eventheap
	last := old[len(old)-1]
	*eventheap = old[:len(old)-1]
	return last
}

const (
	dataCentre    = "north"
	workerSlots   = 3
	maxTraceLines = 400
	networkDelay  = 2 * time.Millisecond
)

func newCell(seed uint64, hosts, workers int) *cell {
	cell := &cell{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 1)),
		hosts:  map[string]*host{}, workers: map[string]*worker{}, lastArrivals: map[string]time.Time{},
		checker: newChecker(),
	}
	cell.log = &claimLog{
		cell: cell, firstClaims: map[almondcross.Key]almondcross.ClaimRecord{}, storedOutcomes: map[almondcross.Key]almondcross.Outcome{},
	}
	cell.catalogue = testCatalogue()
	for index := range workers {
		name := fmt.Sprintf("w%d", index)
		cell.workers[name] = newWorker(cell, name)
		cell.workerNames = append(cell.workerNames, name)
	}
	for index := range hosts {
		cell.hostNames = append(cell.hostNames, fmt.Sprintf("e%d", index))
	}
	for _, name := range cell.hostNames {
		cell.start(name)
	}
	return cell
}

func testCatalogue() almondcross.Catalogue {
	slot := almondcross.NewResources(almondcross.ResourcesConfig{Slots: 1})
	entry := func(name string, class almondcross.Class, repeatable bool) almondcross.Entry {
		return almondcross.NewEntry(almondcross.EntryConfig{
			Name: name, Owner: "team-" + name, Class: class, Resources: slot, Share: 1, Repeatable: repeatable,
		})
	}
	service := entry("front", almondcross.ClassService, true).WithReplicas(2)
	return almondcross.NewCatalogueOf(1, []almondcross.Entry{
		entry("lookup", almondcross.ClassCall, true), entry("payout", almondcross.ClassCall, false), service,
		entry("bomb", almondcross.ClassBatch, true), entry("tally", almondcross.ClassBatch, true),
	})
}

func (cell *cell) runAt(when time.Time, run func()) {
	cell.sequence++
	heap.Push(&cell.events, event{at: when, sequence: cell.sequence, run: run})
}

func (cell *cell) runAfter(delay time.Duration, run func()) { cell.runAt(cell.now.Add(delay), run) }

// advance moves the clock forward by a duration and runs every event that is due by then.
func (cell *cell) advance(duration time.Duration) {
	until := cell.now.Add(duration)
	for len(cell.events) > 0 && !cell.events[0].at.After(until) {
		next := heap.Pop(&cell.events).(event)
		cell.now = next.at
		next.run()
	}
	cell.now = until
}

// arrivalTime returns the arrival time of a message that is sent now; a link delivers in order.
func (cell *cell) arrivalTime(link string) time.Time {
	arrival := cell.now.Add(time.Duration(1 + cell.random.Int64N(int64(networkDelay))))
	if last := cell.lastArrivals[link]; arrival.Before(last) {
		arrival = last
	}
	cell.lastArrivals[link] = arrival
	return arrival
}

func (cell *cell) tracef(format string, arguments ...any) {
	line := cell.now.Format("05.000 ") + fmt.Sprintf(format, arguments...)
	cell.trace = append(cell.trace, line)
	if len(cell.trace) > maxTraceLines {
		cell.trace = cell.trace[1:]
	}
}

// claimLog is a fake of the claims stream: the first record of a key decides who may start it.
type claimLog struct {
	cell           *cell
	down           bool
	delayAppends   bool // delayAppends confirms appends after up to 5 s, as a retry after a lost response does.
	firstClaims    map[almondcross.Key]almondcross.ClaimRecord
	storedOutcomes map[almondcross.Key]almondcross.Outcome // storedOutcomes holds the outcomes of settled keys.
	claimCount     int                                     // claimCount gives each claim a unique ID, so that one claim is granted only once.
}

// settle records the outcome of a claimed key.
func (claimlog *claimLog) settle(outcome almondcross.Outcome) {
	claimlog.cell.runAfter(20*time.Millisecond, func() {
		if claim, ok := claimlog.firstClaims[outcome.Key()]; ok {
			claimlog.firstClaims[outcome.Key()] = claim.WithKind(almondcross.ClaimSettled).WithStatus(outcome.Status()).WithCode(outcome.Code())
			claimlog.storedOutcomes[outcome.Key()] = outcome
		}
	})
}

// fetch reads a stored outcome and sends it to the host's coordinator; it fails while the log is down.
func (claimlog *claimLog) fetch(host *host, message almondcross.ReadAnswer) {
	claimlog.cell.runAfter(20*time.Millisecond, func() {
		host.sendToCoordinator(almondcross.NewAnswerRead(almondcross.AnswerReadConfig{
			Key: message.Key(), Found: !claimlog.down, Outcome: claimlog.storedOutcomes[message.Key()],
		}))
	})
}

// claim appends a claim and reports to the host's coordinator whether it was granted.
func (claimlog *claimLog) claim(host *host, key almondcross.Key) {
	if decisive, ok := claimlog.firstClaims[key]; claimlog.down && ok && decisive.Claimant() == host.self().ID() {
		// A host knows its own claims without reading the log.
		host.sendToCoordinator(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
			Key: key, Code: almondcross.CodeClaimedElsewhere, Decisive: decisive,
		}))
		return
	}
	if claimlog.down {
		host.sendToCoordinator(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{Key: key, Code: almondcross.CodeLogDown}))
		return
	}
	wait := 20 * time.Millisecond
	if claimlog.delayAppends {
		wait = time.Duration(claimlog.cell.random.Int64N(int64(5 * time.Second)))
	}
	claimant := host.self().ID()
	claimlog.claimCount++
	id := fmt.Sprint(claimlog.claimCount)
	claimlog.cell.runAfter(wait/2, func() {
		if _, ok := claimlog.firstClaims[key]; !ok {
			claimlog.firstClaims[key] = almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
				ID: id, Kind: almondcross.ClaimRequested, Key: key, Claimant: claimant, DataCentre: dataCentre,
			})
		}
	})
	claimlog.cell.runAfter(wait, func() {
		decisive := claimlog.firstClaims[key]
		host.sendToCoordinator(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
			Key: key, Granted: decisive.ID() == id && decisive.Kind() == almondcross.ClaimRequested,
			Code: almondcross.CodeClaimedElsewhere, Decisive: decisive,
		}))
	})
}
