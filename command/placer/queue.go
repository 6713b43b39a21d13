package placer

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// lineKey names a queue: owner, then entry, then band.
type lineKey struct {
	owner, entry string
	band         almondcross.Band
	urgent       bool
}

// line is the queue of one entry and band in order of arrival.
type line struct {
	key      lineKey
	jobs     []*job // jobs before head have left the line
	head     int
	live     int
	account  almondcross.ShareAccount
	position int // the index in Machine.order, -1 when the line is empty

	// What the first task needs is kept here, so that a decision touches no other memory.
	need     almondcross.Resources
	reserve  bool
	queuedAt time.Time

	limit int // the most tasks of the entry that run at once in the data centre, 0 for no limit
}

// first returns the oldest task of the line, nil for an empty line.
func (line *line) first() *job {
	for line.head < len(line.jobs) {
		if item := line.jobs[line.head]; item != nil {
			return item
		}
		line.head++
	}
	return nil
}

// note keeps what the first task needs.
func (line *line) note() {
	if item := line.first(); item != nil {
		line.need, line.reserve, line.queuedAt = item.task.Resources(), item.mayReserve(), item.queuedAt
	}
}

// compact bounds the memory of the slots that left the line.
func (line *line) compact() {
	if line.live == 0 {
		clear(line.jobs)
		line.jobs, line.head = line.jobs[:0], 0
		return
	}
	if line.head > 64 && line.head > len(line.jobs)/2 {
		kept := copy(line.jobs, line.jobs[line.head:])
		clear(line.jobs[kept:])
		line.jobs, line.head = line.jobs[:kept], 0
	}
}

func (machine *Machine) lineOf(item *job) *line {
	key := lineKey{item.task.Owner(), item.task.Entry(), item.band, item.task.Urgent()}
	entry, ok := machine.lines[key]
	if !ok {
		entry = &line{key: key, position: -1, account: machine.Share.Account(key.owner, key.entry)}
		machine.lines[key] = entry
		machine.setLimit(entry)
	}
	return entry
}

func (machine *Machine) joinLine(item *job, front bool) {
	entry := machine.lineOf(item)
	item.line = entry
	switch {
	case front && entry.head > 0:
		entry.head--
		entry.jobs[entry.head] = item
	case front:
		entry.jobs = append([]*job{item}, entry.jobs...)
	default:
		entry.jobs = append(entry.jobs, item)
	}
	entry.live++
	entry.note()
	machine.waiting++
	if entry.position < 0 {
		entry.position = len(machine.order)
		machine.order = append(machine.order, entry)
		machine.rank(entry)
	}
	machine.Share.SetWaiting(entry.key.owner, entry.key.entry, 1)
	machine.publishSoon()
}

func (machine *Machine) leaveLine(item *job) {
	entry := item.line
	item.line = nil
	if entry.first() == item {
		entry.jobs[entry.head] = nil
		entry.head++
	} else {
		for index := entry.head; index < len(entry.jobs); index++ {
			if entry.jobs[index] == item {
				entry.jobs[index] = nil
				break
			}
		}
	}
	entry.live--
	machine.waiting--
	entry.compact()
	entry.note()
	machine.publishSoon()
	if entry.live > 0 {
		return
	}
	last := machine.order[len(machine.order)-1]
	machine.order[entry.position] = last
	last.position = entry.position
	machine.order = machine.order[:len(machine.order)-1]
	entry.position = -1
	machine.unrank(entry)
	machine.Share.SetWaiting(entry.key.owner, entry.key.entry, -1)
}

// enqueue starts a task at once or lets it wait, be forwarded or be refused.
func (machine *Machine) enqueue(item *job) {
	task := item.task
	waiting := machine.lineOf(item)
	limited := machine.limited(waiting)
	if waiting.live == 0 && !limited {
		if name, ok := machine.choose(item); ok {
			if name == task.Avoid() {
				if other, found := machine.chooseOther(item, name); found {
					name = other
				} else if machine.forward(item) {
					return
				}
			}
			machine.jobs[item.key()] = item
			machine.start(item, machine.targets[name])
			return
		}
	}
	item.waitCode = almondcross.CodeWaitedSlots
	if limited {
		item.waitCode = almondcross.CodeWaitedQuota
	}
	if machine.forward(item) {
		return
	}
	if machine.neverFits(task.Resources()) {
		machine.refuseNew(item, almondcross.CodeNeverFits, 0)
		return
	}
	if answer := machine.admit(item); !answer.Accepted() {
		machine.refuseNew(item, answer.Code(), answer.RetryAfter())
		return
	}
	machine.jobs[item.key()] = item
	machine.joinLine(item, false)
	if task.Timeout() > 0 {
		machine.after(task.Timeout(), timer{kind: timerTimeout, job: item})
	}
	if task.Urgent() || !item.long || machine.returnAt.IsZero() {
		machine.returnSoon()
	}
	if task.Urgent() && !limited {
		machine.seekBudget = seekLimit
		machine.startReclaim(item, almondcross.CodePreemptedUrgent)
	}
}

// chooseOther returns a target other than the one on which the last attempt failed. A target that
// fails everything has free room at once and would get the task again.
func (machine *Machine) chooseOther(item *job, avoid string) (string, bool) {
	entry := machine.targets[avoid]
	machine.Placement.Remove(avoid)
	name, ok := machine.choose(item)
	machine.Placement.SetRoom(almondcross.NewTargetRoom(almondcross.TargetRoomConfig{
		Name: avoid, Rack: entry.target.Rack(), Capacity: entry.capacity, Free: entry.free, LongFree: entry.longFree,
	}))
	return name, ok
}

// requeue puts a task whose start was refused back to the front of its line.
func (machine *Machine) requeue(item *job) {
	item.state = jobQueued
	if item.task.Timeout() > 0 && machine.now.Sub(item.queuedAt) >= item.task.Timeout() {
		delete(machine.jobs, item.key())
		machine.refuseNew(item, almondcross.CodeTimeout, 0)
		return
	}
	if machine.draining {
		delete(machine.jobs, item.key())
		machine.refuseNew(item, almondcross.CodeStopping, 0)
		return
	}
	if item.task.Timeout() > 0 {
		machine.timers.push(timer{at: item.queuedAt.Add(item.task.Timeout()), kind: timerTimeout, job: item})
	}
	machine.joinLine(item, true)
	machine.retryLine(item.line)
}

func (machine *Machine) admit(item *job) almondcross.Admission {
	entry := machine.lineOf(item)
	oldest := time.Duration(0)
	if first := entry.first(); first != nil {
		oldest = machine.now.Sub(first.queuedAt)
	}
	config, known := machine.catalogue.Entry(item.task.Entry())
	if known && config.MaxWaiting() > 0 && entry.live >= machine.portion(config.MaxWaiting()) {
		return almondcross.NewAdmission(almondcross.AdmissionConfig{Code: almondcross.CodeShedOverload, RetryAfter: oldest})
	}
	return machine.Admission.Admit(almondcross.NewAdmissionQuery(almondcross.AdmissionQueryConfig{
		Entry: item.task.Entry(), Class: item.task.Class(), Urgent: item.task.Urgent(), Timeout: item.task.Timeout(),
		Ahead: entry.live, Oldest: oldest, Waiting: machine.waiting,
	}), machine.now)
}

// limited reports whether an entry runs as many tasks as this host's part of its limit allows.
func (machine *Machine) limited(entry *line) bool {
	return entry.limit > 0 && machine.running[entry.key.entry] >= machine.portion(entry.limit)
}

// setLimit keeps the limit of a line's entry, so that it need not be looked up for each decision.
func (machine *Machine) setLimit(entry *line) {
	config, _ := machine.catalogue.Entry(entry.key.entry)
	entry.limit = config.MaxRunning()
}

// portion returns this host's part of a limit of the data centre, by the targets that it holds,
// so that the holders together stay within the limit. It is at least 1.
func (machine *Machine) portion(limit int) int {
	if machine.listed == 0 {
		return limit
	}
	return max(1, limit*min(machine.heldTargets, machine.listed)/machine.listed)
}

// neverFits reports whether no target with a known capacity, here or at a peer of the data centre,
// could ever run a task.
func (machine *Machine) neverFits(resources almondcross.Resources) bool {
	known := false
	for _, entry := range machine.sorted {
		if !entry.known {
			continue
		}
		if resources.Fits(entry.capacity) {
			return false
		}
		known = true
	}
	for _, peer := range machine.peers {
		if peer.Member().DataCentre() == machine.dataCentre() && resources.Fits(peer.Summary().Largest()) {
			return false
		}
	}
	return known
}

// forwardBatch bounds how many tasks of one line are passed on after a new view. The room that they
// take is subtracted from the peers' summaries, which do not change until the next pings.
const forwardBatch = 256

// strandedAfter is how long a task that another holder passed on may wait here while this host holds
// no target, before it goes back to its coordinator, which places it anew.
const strandedAfter = 2 * time.Second

// forward passes a new task on when a peer has room for it.
func (machine *Machine) forward(item *job) bool {
	peer, ok := machine.peerFor(item)
	if !ok {
		return false
	}
	item.state = jobDone
	machine.passOn(item, peer)
	return true
}

// forwardWaiting passes waiting tasks on to peers that have gained room since the tasks arrived. A
// host that holds no target has no other way to start them.
func (machine *Machine) forwardWaiting() {
	if machine.waiting == 0 {
		return
	}
	for _, waiting := range slices.Clone(machine.order) {
		for range forwardBatch {
			item := waiting.first()
			if item == nil || item.gang != nil || item.reclaim != nil {
				break
			}
			if item.forwarded && machine.heldTargets == 0 && machine.now.Sub(item.queuedAt) >= strandedAfter {
				machine.refuse(item, almondcross.CodeNotHere)
				continue
			}
			peer, ok := machine.peerFor(item)
			if !ok {
				break
			}
			// The message needs the payload, which an ended job lets go of.
			machine.passOn(item, peer)
			machine.discard(item)
		}
	}
}

// peerFor returns the peer of the data centre that a task may be passed on to: one whose last summary
// shows room and fewer waiting tasks. Of two peers chosen at random it takes the better one, so that
// hosts with the same summaries do not all choose the same peer.
func (machine *Machine) peerFor(item *job) (almondcross.Peer, bool) {
	if item.forwarded || item.task.Size() > 1 {
		return almondcross.Peer{}, false
	}
	var best, second almondcross.Peer
	seen := uint64(0)
	for _, peer := range machine.peers {
		member := peer.Member()
		if member.Leaving() || member.DataCentre() != machine.dataCentre() || !machine.view.HasLease(member.ID(), machine.now) {
			continue
		}
		if !item.task.Resources().Fits(peer.Summary().LargestFree()) || peer.Summary().Waiting() >= max(machine.waiting, 1) {
			continue
		}
		seen++
		switch seen {
		case 1:
			best = peer
		case 2:
			second = peer
		default:
			if slot := machine.nextRandom() % seen; slot == 0 {
				best = peer
			} else if slot == 1 {
				second = peer
			}
		}
	}
	if seen > 1 && betterPeer(second, best) {
		best = second
	}
	return best, seen > 0
}

// passOn sends a task to another holder and tells the coordinator.
func (machine *Machine) passOn(item *job, peer almondcross.Peer) {
	member := peer.Member().ID()
	machine.remember(item.task, ended{forwarded: member})
	machine.occupy(member, item.task.Resources())
	machine.emit(Effect{
		Kind: EffectForward, Member: member,
		Peer: almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{
			Task: item.task.WithTimeout(remaining(item, machine.now)), Forwarded: true,
		}),
	})
	machine.report(item.task.Coordinator(), almondcross.NewTaskForwarded(almondcross.TaskForwardedConfig{
		ID: item.task.ID(), Attempt: item.task.Attempt(), Holder: member,
	}))
	machine.story(item.task, "forwarded", item.waitCode, "", member.Name())
}

// occupy subtracts the room of a task that was passed on from the summary of its new holder.
func (machine *Machine) occupy(member almondcross.MemberID, resources almondcross.Resources) {
	for index, peer := range machine.peers {
		if peer.Member().ID() != member {
			continue
		}
		summary := peer.Summary()
		free := summary.Free().Sub(resources)
		summary = summary.WithFree(free)
		if !summary.LargestFree().Fits(free) {
			summary = summary.WithLargestFree(free)
		}
		machine.peers[index] = peer.WithSummary(summary)
	}
}

func betterPeer(first, second almondcross.Peer) bool {
	if first.Summary().Waiting() != second.Summary().Waiting() {
		return first.Summary().Waiting() < second.Summary().Waiting()
	}
	// This host may hold no target, so its own capacity is no measure.
	both := first.Summary().Free().Add(second.Summary().Free())
	return second.Summary().Free().Dominant(both) < first.Summary().Free().Dominant(both)
}

// remaining returns the time that is left for a useful start, 0 for no limit.
func remaining(item *job, now time.Time) time.Duration {
	if item.task.Timeout() == 0 {
		return 0
	}
	return max(item.task.Timeout()-now.Sub(item.queuedAt), time.Millisecond)
}
