package cell_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
)

// world is a cell in virtual time: entry hosts with the real decision machines, and fakes of the
// network, the workers and the log at the interfaces.
type world struct {
	now       time.Time
	random    *rand.Rand
	events    eventHeap
	order     int
	hosts     map[string]*host
	hostNames []string
	workers   map[string]*worker
	names     []string // names holds the names of the workers.
	log       *claimLog
	catalogue almondcross.Catalogue
	checks    checks
	trace     []string
	delays    map[string]time.Time // delays holds the arrival of the last message on each link, which keeps order.
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (eventheap eventHeap) Len() int { return len(eventheap) }
func (eventheap eventHeap) Less(i, j int) bool {
	if eventheap[i].at.Equal(eventheap[j].at) {
		return eventheap[i].order < eventheap[j].order
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
	dataCentre   = "north"
	workerSlots  = 3
	mostTrace    = 400
	networkDelay = 2 * time.Millisecond
)

func newWorld(seed uint64, hosts, workers int) *world {
	world := &world{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 1)),
		hosts:  map[string]*host{}, workers: map[string]*worker{}, delays: map[string]time.Time{},
		checks: newChecks(),
	}
	world.log = &claimLog{
		world: world, first: map[almondcross.Key]almondcross.ClaimRecord{}, ends: map[almondcross.Key]almondcross.Outcome{},
	}
	world.catalogue = testCatalogue()
	for index := range workers {
		name := fmt.Sprintf("w%d", index)
		world.workers[name] = newWorker(world, name)
		world.names = append(world.names, name)
	}
	for index := range hosts {
		world.hostNames = append(world.hostNames, fmt.Sprintf("e%d", index))
	}
	for _, name := range world.hostNames {
		world.start(name)
	}
	return world
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
	})
}

func (world *world) at(when time.Time, run func()) {
	world.order++
	heap.Push(&world.events, event{at: when, order: world.order, run: run})
}

func (world *world) after(wait time.Duration, run func()) { world.at(world.now.Add(wait), run) }

// advance runs every event up to a time from now.
func (world *world) advance(length time.Duration) {
	until := world.now.Add(length)
	for len(world.events) > 0 && !world.events[0].at.After(until) {
		next := heap.Pop(&world.events).(event)
		world.now = next.at
		next.run()
	}
	world.now = until
}

// delay returns the arrival time of a message; messages of one link keep their order.
func (world *world) delay(link string) time.Time {
	arrival := world.now.Add(time.Duration(1 + world.random.Int64N(int64(networkDelay))))
	if last := world.delays[link]; arrival.Before(last) {
		arrival = last
	}
	world.delays[link] = arrival
	return arrival
}

func (world *world) note(format string, arguments ...any) {
	line := world.now.Format("05.000 ") + fmt.Sprintf(format, arguments...)
	world.trace = append(world.trace, line)
	if len(world.trace) > mostTrace {
		world.trace = world.trace[1:]
	}
}

// claimLog is the claims stream reduced to its order: the first record of a key decides.
type claimLog struct {
	world *world
	down  bool
	lossy bool // lossy delays the settlement of appends, as a lost answer does.
	first map[almondcross.Key]almondcross.ClaimRecord
	ends  map[almondcross.Key]almondcross.Outcome // ends holds the stored answers.
	next  int                                     // next numbers the claims, so that a claim is granted once.
}

// settle records the end of a claimed key.
func (claimlog *claimLog) settle(outcome almondcross.Outcome) {
	claimlog.world.after(20*time.Millisecond, func() {
		if claim, ok := claimlog.first[outcome.Key()]; ok {
			claimlog.first[outcome.Key()] = claim.WithKind(almondcross.ClaimSettled).WithStatus(outcome.Status()).WithCode(outcome.Code())
			claimlog.ends[outcome.Key()] = outcome
		}
	})
}

// fetch reads a stored answer, which fails while the log is down.
func (claimlog *claimLog) fetch(host *host, message almondcross.ReadAnswer) {
	claimlog.world.after(20*time.Millisecond, func() {
		host.tell(almondcross.NewAnswerRead(almondcross.AnswerReadConfig{
			Key: message.Key(), Found: !claimlog.down, Outcome: claimlog.ends[message.Key()],
		}))
	})
}

// claim appends a claim and tells the host how the log decided.
func (claimlog *claimLog) claim(host *host, key almondcross.Key) {
	if decisive, ok := claimlog.first[key]; claimlog.down && ok && decisive.Claimant() == host.self().ID() {
		// A host knows its own claims.
		host.tell(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
			Key: key, Code: almondcross.CodeClaimedElsewhere, Decisive: decisive,
		}))
		return
	}
	if claimlog.down {
		host.tell(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{Key: key, Code: almondcross.CodeLogDown}))
		return
	}
	wait := 20 * time.Millisecond
	if claimlog.lossy {
		wait = time.Duration(claimlog.world.random.Int64N(int64(5 * time.Second)))
	}
	claimant := host.self().ID()
	claimlog.next++
	id := fmt.Sprint(claimlog.next)
	claimlog.world.after(wait/2, func() {
		if _, ok := claimlog.first[key]; !ok {
			claimlog.first[key] = almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
				ID: id, Kind: almondcross.ClaimTaken, Key: key, Claimant: claimant, DataCentre: dataCentre,
			})
		}
	})
	claimlog.world.after(wait, func() {
		decisive := claimlog.first[key]
		host.tell(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
			Key: key, Granted: decisive.ID() == id && decisive.Kind() == almondcross.ClaimTaken,
			Code: almondcross.CodeClaimedElsewhere, Decisive: decisive,
		}))
	})
}
