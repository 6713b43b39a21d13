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

// runningTask is a task on a fake worker.
type runningTask struct {
	task      almondcross.Task
	target    string
	startedAt time.Time
}

// cell drives a real machine in virtual time with fake workers that answer at once.
type cell struct {
	t                testing.TB
	now              time.Time
	machine          *placer.Machine
	view             almondcross.ViewConfig
	liveTargets      []almondcross.Target
	terms            map[string]almondcross.Term
	leaseCounter     uint64
	boot             uint64 // the boot number of every target
	capacity         almondcross.Resources
	refuseLeases     bool
	acquisitions     int // the number of attempts to acquire a lease
	holdStartAnswers bool
	pendingAnswers   []almondcross.PlacerMessage
	heldStartAnswers []almondcross.PlacerMessage

	onStart        func(runningTask)
	onHalt         func(almondcross.TaskID)
	discardHistory bool // do not record reports and starts
	started        []runningTask
	running        map[almondcross.TaskID]runningTask
	halted         []almondcross.TaskID
	renewLists     map[string][]almondcross.TaskID
	releases       []string
	forwarded      []almondcross.PeerMessage
	reported       []placer.Report
	codes          map[almondcross.Code]int64
}

func newCell(t testing.TB, targets int) *cell {
	return newCellWithPolicies(t, targets, placer.Policies{
		Placement: packer.New(), Share: sharer.New(), Estimator: estimator.New(), Admission: admitter.New(),
	})
}

func newCellWithPolicies(t testing.TB, targets int, policies placer.Policies) *cell {
	cell := &cell{
		t: t, now: time.Unix(1_000_000, 0), capacity: capacity, boot: 1,
		machine: placer.NewMachine(placer.MachineConfig{Policies: policies, Seed: 1}),
		terms:   map[string]almondcross.Term{}, running: map[almondcross.TaskID]runningTask{},
		renewLists: map[string][]almondcross.TaskID{}, codes: map[almondcross.Code]int64{},
		view: almondcross.ViewConfig{
			Self:  almondcross.NewMember(almondcross.MemberConfig{ID: self, DataCentre: "d"}),
			Peers: map[string]almondcross.Peer{}, ValidUntil: time.Unix(2_000_000_000, 0),
		},
	}
	for index := range targets {
		cell.liveTargets = append(cell.liveTargets, almondcross.NewTarget(almondcross.TargetConfig{
			Name: fmt.Sprintf("t%04d", index), DataCentre: "d", Rack: fmt.Sprintf("r%03d", index/8),
			Address: "127.0.0.1:1", State: almondcross.HostLive,
		}))
	}
	cell.apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(cell.view)}))
	cell.sendLiveList()
	return cell
}

func (cell *cell) sendLiveList() {
	cell.apply(almondcross.NewTargetsListed(almondcross.TargetsListedConfig{
		Hosts: almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Targets: cell.liveTargets}),
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

// preferredPeerName returns a name with which a peer would be the preferred holder of a target instead of this host.
func (cell *cell) preferredPeerName(target string) string {
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
	cell.t.Fatal("no peer name is preferred to this host")
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
	running, ok := cell.running[id]
	if !ok {
		return
	}
	delete(cell.running, id)
	cell.apply(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
		Target: running.target, Term: cell.terms[running.target],
		Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{
			Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: id, Attempt: running.task.Attempt(), Ran: ran, Code: code}),
		}),
	}))
}

// release ends a lease on the worker's side. The machine acquires the lease again, and the inventory of the
// new grant lists the given tasks.
func (cell *cell) release(target string, inventory ...almondcross.Task) {
	for id, running := range cell.running {
		if running.target == target {
			delete(cell.running, id)
		}
	}
	for _, task := range inventory {
		cell.running[task.ID()] = runningTask{task: task, target: target, startedAt: cell.now}
	}
	cell.apply(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: target, Term: cell.terms[target]}))
}

// apply passes a message and the resulting answers of the fake workers to the machine.
func (cell *cell) apply(message almondcross.PlacerMessage) {
	cell.handleEffects(cell.machine.Apply(message, cell.now))
	for len(cell.pendingAnswers) > 0 {
		next := cell.pendingAnswers[0]
		cell.pendingAnswers = cell.pendingAnswers[1:]
		cell.handleEffects(cell.machine.Apply(next, cell.now))
	}
}

// advance moves the virtual time forward and fires the timers that become due.
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
		cell.handleEffects(cell.machine.Tick(cell.now))
		cell.deliverAnswers()
	}
	cell.now = end
}

func (cell *cell) deliverAnswers() {
	for len(cell.pendingAnswers) > 0 {
		next := cell.pendingAnswers[0]
		cell.pendingAnswers = cell.pendingAnswers[1:]
		cell.handleEffects(cell.machine.Apply(next, cell.now))
	}
}

func (cell *cell) answerStarts() {
	cell.pendingAnswers, cell.heldStartAnswers = append(cell.pendingAnswers, cell.heldStartAnswers...), nil
	cell.deliverAnswers()
}

func (cell *cell) handleEffects(effects []placer.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case placer.EffectSend:
			cell.dispatch(effect.Name, effect.Dispatch)
		case placer.EffectReport:
			if !cell.discardHistory {
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
		// Another holder gets the lease next.
		cell.refuseLeases = true
		cell.pendingAnswers = append(cell.pendingAnswers, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: target, Term: cell.terms[target]}))
	case almondcross.RenewTasks:
		cell.renewLists[target] = message.IDs()
	case almondcross.HaltTask:
		cell.halted = append(cell.halted, message.ID())
		if cell.onHalt != nil {
			cell.onHalt(message.ID())
		}
	case almondcross.StartTask:
		running := runningTask{task: message.Task(), target: target, startedAt: cell.now}
		if other, alreadyRunning := cell.running[message.Task().ID()]; alreadyRunning {
			cell.t.Fatalf("%v runs on %s and %s", message.Task().ID(), other.target, target)
		}
		cell.running[message.Task().ID()] = running
		if !cell.discardHistory {
			cell.started = append(cell.started, running)
		}
		if cell.onStart != nil {
			cell.onStart(running)
		}
		answer := almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{
			Target: target, Term: message.Term(), ID: message.Task().ID(), Attempt: message.Task().Attempt(), Accepted: true,
		})
		if cell.holdStartAnswers {
			cell.heldStartAnswers = append(cell.heldStartAnswers, answer)
		} else {
			cell.pendingAnswers = append(cell.pendingAnswers, answer)
		}
	}
}

// orderedRunning returns the running tasks in order of their IDs, so that a run is reproducible from its seed.
func (cell *cell) orderedRunning() []runningTask {
	return slices.SortedFunc(maps.Values(cell.running), func(first, second runningTask) int {
		one, two := first.task.ID(), second.task.ID()
		return cmp.Or(one.Key().Compare(two.Key()), cmp.Compare(one.Index(), two.Index()))
	})
}

func (cell *cell) acquire(name string) {
	if cell.refuseLeases {
		cell.pendingAnswers = append(cell.pendingAnswers, almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: name}))
		return
	}
	cell.leaseCounter++
	cell.terms[name] = almondcross.NewTerm(almondcross.TermConfig{Boot: cell.boot, Counter: cell.leaseCounter})
	var inventory []almondcross.InventoryItem
	for _, running := range cell.orderedRunning() {
		if running.target == name {
			inventory = append(inventory, almondcross.NewInventoryItem(almondcross.InventoryItemConfig{Task: running.task}))
		}
	}
	cell.pendingAnswers = append(cell.pendingAnswers, almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{
		Grant: almondcross.NewGrant(almondcross.GrantConfig{Target: name, Term: cell.terms[name], Capacity: cell.capacity, Inventory: inventory}),
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
