package placer_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/placer"
	"github.com/almondcross/almondcross/policy/admitter"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/packer"
	"github.com/almondcross/almondcross/policy/sharer"
)

const slots = 8

var (
	self     = almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "h0", Incarnation: 1})
	slot     = almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000, MemoryMB: 2048, Slots: 1})
	capacity = slot.Scale(slots)
)

// running is a task on a fake worker.
type running struct {
	task   almondcross.Task
	target string
	at     time.Time
}

// cell drives the real machine in virtual time with fake workers that answer at once.
type cell struct {
	t            testing.TB
	now          time.Time
	machine      *placer.Machine
	view         almondcross.ViewConfig
	hosts        []almondcross.Target
	term         map[string]almondcross.Term
	counter      uint64
	capacity     almondcross.Resources
	refuseLeases bool
	acquisitions int // acquisitions counts the leases that were asked for
	holdAnswers  bool
	queue        []almondcross.PlacerMessage
	held         []almondcross.PlacerMessage

	onStart   func(running)
	onHalt    func(almondcross.TaskID)
	quiet     bool // do not keep the lists below
	started   []running
	live      map[almondcross.TaskID]running
	halted    []almondcross.TaskID
	named     map[string][]almondcross.TaskID
	releases  []string
	forwarded []almondcross.PeerMessage
	reported  []placer.Report
	codes     map[almondcross.Code]int64
}

func newCell(t testing.TB, targets int) *cell {
	return newCellWith(t, targets, placer.Policies{
		Placement: packer.New(), Share: sharer.New(), Estimator: estimator.New(), Admission: admitter.New(),
	})
}

func newCellWith(t testing.TB, targets int, policies placer.Policies) *cell {
	cell := &cell{
		t: t, now: time.Unix(1_000_000, 0), capacity: capacity,
		machine: placer.NewMachine(placer.MachineConfig{Policies: policies, Seed: 1}),
		term:    map[string]almondcross.Term{}, live: map[almondcross.TaskID]running{},
		named: map[string][]almondcross.TaskID{}, codes: map[almondcross.Code]int64{},
		view: almondcross.ViewConfig{
			Self:  almondcross.NewMember(almondcross.MemberConfig{ID: self, DataCentre: "d"}),
			Peers: map[string]almondcross.Peer{}, ValidUntil: time.Unix(2_000_000_000, 0),
		},
	}
	for index := range targets {
		cell.hosts = append(cell.hosts, almondcross.NewTarget(almondcross.TargetConfig{
			Name: fmt.Sprintf("t%04d", index), DataCentre: "d", Rack: fmt.Sprintf("r%03d", index/8),
			Address: "127.0.0.1:1", State: almondcross.HostLive,
		}))
	}
	cell.apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(cell.view)}))
	cell.list()
	return cell
}

func (cell *cell) list() {
	cell.apply(almondcross.NewTargetsListed(almondcross.TargetsListedConfig{
		Hosts: almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Targets: cell.hosts}),
	}))
}

func (cell *cell) removePeers() {
	cell.view.Peers = map[string]almondcross.Peer{}
	cell.apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(cell.view)}))
}

func (cell *cell) addPeer(name string, summary almondcross.Summary) {
	peers := map[string]almondcross.Peer{name: almondcross.NewPeer(almondcross.PeerConfig{
		Member: almondcross.NewMember(almondcross.MemberConfig{
			ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1}), DataCentre: "d",
		}),
		Summary: summary, LeaseUntil: cell.now.Add(time.Hour),
	})}
	cell.view.Peers = peers
	cell.apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(cell.view)}))
}

// preferredName returns the name of a peer that would be preferred to this host for a target.
func (cell *cell) preferredName(target string) string {
	for index := range 100 {
		name := fmt.Sprintf("p%d", index)
		config := cell.view
		config.Peers = map[string]almondcross.Peer{name: almondcross.NewPeer(almondcross.PeerConfig{
			Member: almondcross.NewMember(almondcross.MemberConfig{ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name}), DataCentre: "d"}),
		})}
		holder, _ := almondcross.NewView(config).PreferredHolder(almondcross.NewTarget(almondcross.TargetConfig{Name: target, DataCentre: "d"}))
		if holder.ID().Name() == name {
			return name
		}
	}
	cell.t.Fatal("no preferred name")
	return ""
}

func (cell *cell) task(owner, entry string, index int) almondcross.Task {
	return almondcross.NewTask(almondcross.TaskConfig{
		ID: almondcross.NewTaskID(almondcross.TaskIDConfig{
			Key: almondcross.NewKey(almondcross.KeyConfig{Caller: "c", Origin: "d", Name: fmt.Sprintf("%s/%s/%d", owner, entry, index)}),
		}),
		Entry: entry, Owner: owner, Class: almondcross.ClassBatch, Resources: slot, Repeatable: true, Size: 1, Attempt: 1,
		Coordinator: self, ExpectedRun: time.Minute,
	})
}

func (cell *cell) place(task almondcross.Task) {
	cell.apply(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: task}))
}

func (cell *cell) finish(id almondcross.TaskID, ran time.Duration) {
	cell.end(id, ran, almondcross.CodeNone)
}

func (cell *cell) end(id almondcross.TaskID, ran time.Duration, code almondcross.Code) {
	item, ok := cell.live[id]
	if !ok {
		return
	}
	delete(cell.live, id)
	cell.apply(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
		Target: item.target, Term: cell.term[item.target],
		Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{
			Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: id, Attempt: item.task.Attempt(), Ran: ran, Code: code}),
		}),
	}))
}

// release ends a lease on the worker's side; the machine acquires again and finds the given tasks.
func (cell *cell) release(target string, inventory ...almondcross.Task) {
	for id, item := range cell.live {
		if item.target == target {
			delete(cell.live, id)
		}
	}
	for _, task := range inventory {
		cell.live[task.ID()] = running{task: task, target: target, at: cell.now}
	}
	cell.apply(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: target, Term: cell.term[target]}))
}

// apply gives the machine a message and the answers of the fake workers that follow from it.
func (cell *cell) apply(message almondcross.PlacerMessage) {
	cell.take(cell.machine.Apply(message, cell.now))
	for len(cell.queue) > 0 {
		next := cell.queue[0]
		cell.queue = cell.queue[1:]
		cell.take(cell.machine.Apply(next, cell.now))
	}
}

// advance moves the time on and fires the timers that are due on the way.
func (cell *cell) advance(by time.Duration) {
	end := cell.now.Add(by)
	for {
		deadline, ok := cell.machine.NextDeadline()
		if !ok || deadline.After(end) {
			break
		}
		if deadline.After(cell.now) {
			cell.now = deadline
		}
		cell.take(cell.machine.Tick(cell.now))
		cell.drain()
	}
	cell.now = end
}

func (cell *cell) drain() {
	for len(cell.queue) > 0 {
		next := cell.queue[0]
		cell.queue = cell.queue[1:]
		cell.take(cell.machine.Apply(next, cell.now))
	}
}

func (cell *cell) answerStarts() {
	cell.queue, cell.held = append(cell.queue, cell.held...), nil
	cell.drain()
}

func (cell *cell) take(effects []placer.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case placer.EffectSend:
			cell.dispatch(effect.Name, effect.Dispatch)
		case placer.EffectReport:
			if !cell.quiet {
				cell.reported = append(cell.reported, effect.Report)
			}
		case placer.EffectForward:
			cell.forwarded = append(cell.forwarded, effect.Peer)
		case placer.EffectAccount:
			cell.codes[effect.Account.Code()] += effect.Account.Count()
		default:
		}
	}
}

func (cell *cell) dispatch(target string, message almondcross.DispatcherMessage) {
	switch message := message.(type) {
	case almondcross.AcquireLease:
		cell.acquisitions++
		cell.acquire(target)
	case almondcross.ReleaseLease:
		cell.releases = append(cell.releases, target)
		cell.refuseLeases = true
		cell.queue = append(cell.queue, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: target, Term: cell.term[target]}))
	case almondcross.RenewTasks:
		cell.named[target] = message.IDs()
	case almondcross.HaltTask:
		cell.halted = append(cell.halted, message.ID())
		if cell.onHalt != nil {
			cell.onHalt(message.ID())
		}
	case almondcross.StartTask:
		item := running{task: message.Task(), target: target, at: cell.now}
		if other, twice := cell.live[message.Task().ID()]; twice {
			cell.t.Fatalf("%v runs on %s and %s", message.Task().ID(), other.target, target)
		}
		cell.live[message.Task().ID()] = item
		if !cell.quiet {
			cell.started = append(cell.started, item)
		}
		if cell.onStart != nil {
			cell.onStart(item)
		}
		answer := almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{
			Target: target, Term: message.Term(), ID: message.Task().ID(), Attempt: message.Task().Attempt(), Accepted: true,
		})
		if cell.holdAnswers {
			cell.held = append(cell.held, answer)
		} else {
			cell.queue = append(cell.queue, answer)
		}
	}
}

// ordered returns the running tasks in order of their ids, so that a seed gives the same history each time.
func (cell *cell) ordered() []running {
	return slices.SortedFunc(maps.Values(cell.live), func(first, second running) int {
		one, two := first.task.ID(), second.task.ID()
		return cmp.Or(one.Key().Compare(two.Key()), cmp.Compare(one.Index(), two.Index()))
	})
}

func (cell *cell) acquire(name string) {
	if cell.refuseLeases {
		cell.queue = append(cell.queue, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: name}))
		return
	}
	cell.counter++
	cell.term[name] = almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: cell.counter})
	var inventory []almondcross.InventoryItem
	for _, item := range cell.ordered() {
		if item.target == name {
			inventory = append(inventory, almondcross.NewInventoryItem(almondcross.InventoryItemConfig{Task: item.task}))
		}
	}
	cell.queue = append(cell.queue, almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{
		Grant: almondcross.NewGrant(almondcross.GrantConfig{Target: name, Term: cell.term[name], Capacity: cell.capacity, Inventory: inventory}),
	}))
}

// reports returns the reports of one type in order.
func reports[T any](cell *cell) []T {
	var list []T
	for _, report := range cell.reported {
		if report, ok := report.(T); ok {
			list = append(list, report)
		}
	}
	return list
}
