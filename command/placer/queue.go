package placer

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// queueKey identifies a queue by owner, entry, band, urgency and whether its tasks are suspects.
type queueKey struct {
	owner, entry string
	band         almondcross.Band
	urgent       bool
	suspect      bool // the tasks may not share a target with one another
}

// queue holds the waiting tasks of one queueKey in order of arrival.
type queue struct {
	key          queueKey
	attempts     []*attempt // nil for an attempt that left the queue; unused before head
	head         int
	length       int
	shareAccount almondcross.ShareAccount
	position     int // the index in Machine.activeQueues, -1 while the queue is empty

	// These are cached from the first task, so that a decision reads no other memory.
	need        almondcross.Resources
	usesReserve bool
	queuedAt    time.Time

	maxRunning int  // the number of tasks of the entry that may run at once in the data centre, 0 for no limit
	configured bool // the catalogue has the entry
}

// first returns the first task of the queue, nil for an empty queue.
func (queue *queue) first() *attempt {
	for queue.head < len(queue.attempts) {
		if attempt := queue.attempts[queue.head]; attempt != nil {
			return attempt
		}
		queue.head++
	}
	return nil
}

// cacheFirst updates the values that are cached from the first task.
func (queue *queue) cacheFirst() {
	if attempt := queue.first(); attempt != nil {
		queue.need, queue.usesReserve, queue.queuedAt = attempt.task.Resources(), attempt.mayUseReserve(), attempt.queuedAt
	}
}

// compact bounds the memory used by tasks that have left the queue.
func (queue *queue) compact() {
	if queue.length == 0 {
		clear(queue.attempts)
		queue.attempts, queue.head = queue.attempts[:0], 0
		return
	}
	if queue.head > 64 && queue.head > len(queue.attempts)/2 {
		kept := copy(queue.attempts, queue.attempts[queue.head:])
		clear(queue.attempts[kept:])
		queue.attempts, queue.head = queue.attempts[:kept], 0
	}
}

func (machine *Machine) queueFor(attempt *attempt) *queue {
	key := queueKey{attempt.task.Owner(), attempt.task.Entry(), attempt.band, attempt.task.Urgent(), attempt.task.Suspect()}
	found, ok := machine.queues[key]
	if !ok {
		found = &queue{key: key, position: -1, shareAccount: machine.Share.Account(key.owner, key.entry)}
		machine.queues[key] = found
		machine.setMaxRunning(found)
	}
	if !found.configured && attempt.task.MaxRunning() > 0 {
		found.maxRunning = attempt.task.MaxRunning()
		machine.limitedEntries[key.entry] = true
	}
	return found
}

func (machine *Machine) addToQueue(added *attempt, front bool) {
	queue := machine.queueFor(added)
	added.queue = queue
	switch {
	case front && queue.head > 0:
		queue.head--
		queue.attempts[queue.head] = added
	case front:
		queue.attempts = append([]*attempt{added}, queue.attempts...)
	default:
		queue.attempts = append(queue.attempts, added)
	}
	queue.length++
	queue.cacheFirst()
	machine.waitingCount++
	if queue.position < 0 {
		queue.position = len(machine.activeQueues)
		machine.activeQueues = append(machine.activeQueues, queue)
		machine.addToRanking(queue)
	}
	machine.Share.AddWaiting(queue.key.owner, queue.key.entry, 1)
	machine.schedulePublish()
}

func (machine *Machine) removeFromQueue(attempt *attempt) {
	queue := attempt.queue
	attempt.queue = nil
	if queue.first() == attempt {
		queue.attempts[queue.head] = nil
		queue.head++
	} else {
		for index := queue.head; index < len(queue.attempts); index++ {
			if queue.attempts[index] == attempt {
				queue.attempts[index] = nil
				break
			}
		}
	}
	queue.length--
	machine.waitingCount--
	queue.compact()
	queue.cacheFirst()
	machine.schedulePublish()
	if queue.length > 0 {
		return
	}
	last := machine.activeQueues[len(machine.activeQueues)-1]
	machine.activeQueues[queue.position] = last
	last.position = queue.position
	machine.activeQueues = machine.activeQueues[:len(machine.activeQueues)-1]
	queue.position = -1
	machine.removeFromRanking(queue)
	machine.Share.AddWaiting(queue.key.owner, queue.key.entry, -1)
}

// startOrQueue starts a task at once if it can; otherwise it forwards, refuses or queues the task.
func (machine *Machine) startOrQueue(attempt *attempt) {
	task := attempt.task
	queue := machine.queueFor(attempt)
	atLimit := machine.atLimit(queue)
	if queue.length == 0 && !atLimit {
		if name, ok := machine.choose(attempt); ok {
			if name == task.Avoid() {
				if other, found := machine.chooseOther(attempt, name); found {
					name = other
				} else if machine.tryForward(attempt) {
					return
				}
			}
			machine.attempts[attempt.key()] = attempt
			machine.start(attempt, machine.targets[name])
			return
		}
	}
	attempt.waitCode = almondcross.CodeWaitedSlots
	if atLimit {
		attempt.waitCode = almondcross.CodeWaitedQuota
	}
	if machine.tryForward(attempt) {
		return
	}
	if machine.neverFits(task.Resources()) {
		machine.refuseDetached(attempt, almondcross.CodeNeverFits, 0)
		return
	}
	if answer := machine.admit(attempt); !answer.Accepted() {
		machine.refuseDetached(attempt, answer.Code(), answer.RetryAfter())
		return
	}
	machine.attempts[attempt.key()] = attempt
	machine.addToQueue(attempt, false)
	if task.Timeout() > 0 {
		machine.setTimer(task.Timeout(), timer{kind: timerTimeout, attempt: attempt})
	}
	if task.Urgent() || !attempt.long || machine.shareReclaimDue.IsZero() {
		machine.scheduleShareReclaim()
	}
	if task.Urgent() && !atLimit {
		machine.searchBudget = searchLimit
		machine.startReclaim(attempt, almondcross.CodePreemptedUrgent)
	}
}

// chooseOther returns a target other than the one on which the last attempt failed. A target on which
// every task fails quickly always has free capacity and would otherwise get the task again.
func (machine *Machine) chooseOther(attempt *attempt, avoid string) (string, bool) {
	machine.Placement.Remove(avoid)
	name, ok := machine.choose(attempt)
	machine.offerFree(machine.targets[avoid])
	return name, ok
}

// requeue puts a task that its target refused, or whose start was not sent, back at the front of its queue.
func (machine *Machine) requeue(attempt *attempt) {
	attempt.state = queued
	if attempt.task.Timeout() > 0 && machine.now.Sub(attempt.queuedAt) >= attempt.task.Timeout() {
		delete(machine.attempts, attempt.key())
		machine.refuseDetached(attempt, almondcross.CodeTimeout, 0)
		return
	}
	if machine.draining {
		delete(machine.attempts, attempt.key())
		machine.refuseDetached(attempt, almondcross.CodeStopping, 0)
		return
	}
	if attempt.task.Timeout() > 0 {
		machine.timers.push(timer{at: attempt.queuedAt.Add(attempt.task.Timeout()), kind: timerTimeout, attempt: attempt})
	}
	machine.addToQueue(attempt, true)
	machine.startFromQueue(attempt.queue)
}

func (machine *Machine) admit(attempt *attempt) almondcross.Admission {
	queue := machine.queueFor(attempt)
	oldest := time.Duration(0)
	if first := queue.first(); first != nil {
		oldest = machine.now.Sub(first.queuedAt)
	}
	config, known := machine.catalogue.Entry(attempt.task.Entry())
	if known && config.MaxWaiting() > 0 && queue.length >= machine.localShare(config.MaxWaiting()) {
		return almondcross.NewAdmission(almondcross.AdmissionConfig{Code: almondcross.CodeShedOverload, RetryAfter: oldest})
	}
	return machine.Admission.Admit(almondcross.NewAdmissionQuery(almondcross.AdmissionQueryConfig{
		Entry: attempt.task.Entry(), Class: attempt.task.Class(), Urgent: attempt.task.Urgent(), Timeout: attempt.task.Timeout(),
		Ahead: queue.length, Oldest: oldest, Waiting: machine.waitingCount,
	}), machine.now)
}

// atLimit reports whether as many tasks of the queue's entry run as this host's part of its limit allows.
func (machine *Machine) atLimit(queue *queue) bool {
	return queue.maxRunning > 0 && machine.runningByEntry[queue.key.entry] >= machine.localShare(queue.maxRunning)
}

// setMaxRunning caches the limit of the queue's entry, to avoid a look-up for each decision. An entry that the catalogue lacks
// keeps the limit that it had or that its tasks name: the catalogue may be older than that of their coordinators.
func (machine *Machine) setMaxRunning(queue *queue) {
	config, known := machine.catalogue.Entry(queue.key.entry)
	if queue.configured = known; known {
		queue.maxRunning = config.MaxRunning()
		machine.limitedEntries[queue.key.entry] = queue.maxRunning > 0
	}
}

// localShare returns this host's part of a limit of the data centre, in proportion to the targets that it
// holds, so that all holders together stay within the limit. It is at least 1.
func (machine *Machine) localShare(limit int) int {
	if machine.listedCount == 0 {
		return limit
	}
	return max(1, limit*min(machine.heldCount, machine.listedCount)/machine.listedCount)
}

// neverFits reports whether a task exceeds the capacity of every target with a known capacity, of this
// host and of the peers of the data centre. It is false as long as no capacity is known.
func (machine *Machine) neverFits(resources almondcross.Resources) bool {
	known := false
	for _, target := range machine.sortedTargets {
		if !target.capacityKnown {
			continue
		}
		if resources.Fits(target.capacity) {
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

// forwardBatch bounds how many tasks of one queue are forwarded after a new view. The capacity that they
// use is subtracted from the peers' summaries, which are not updated until the next pings.
const forwardBatch = 256

// forwardedWaitTimeout is how long a task that another holder forwarded may wait while this host holds no
// target. It is then refused, and its coordinator places it again.
const forwardedWaitTimeout = 2 * time.Second

// tryForward forwards a new task if a peer has free capacity for it.
func (machine *Machine) tryForward(attempt *attempt) bool {
	peer, ok := machine.choosePeer(attempt)
	if !ok {
		return false
	}
	machine.forwardTo(attempt, peer)
	machine.removeShort(attempt)
	attempt.markDone()
	return true
}

// forwardWaiting forwards waiting tasks to peers that gained free capacity since the tasks arrived. A
// host that holds no target has no other way to get them started.
func (machine *Machine) forwardWaiting() {
	if machine.waitingCount == 0 {
		return
	}
	for _, queue := range slices.Clone(machine.activeQueues) {
		for range forwardBatch {
			attempt := queue.first()
			if attempt == nil || attempt.gang != nil || attempt.reclaim != nil {
				break
			}
			if attempt.forwarded && machine.heldCount == 0 && machine.now.Sub(attempt.queuedAt) >= forwardedWaitTimeout {
				machine.refuse(attempt, almondcross.CodeNotHere)
				continue
			}
			peer, ok := machine.choosePeer(attempt)
			if !ok {
				break
			}
			// The message needs the payload, which discard releases.
			machine.forwardTo(attempt, peer)
			machine.discard(attempt)
		}
	}
}

// choosePeer returns the peer of the data centre to which a task may be forwarded. Candidates are peers
// whose latest summary shows enough free capacity and fewer waiting tasks than this host has. It returns
// the better of two random candidates, so that hosts with the same summaries do not all choose the same peer.
func (machine *Machine) choosePeer(attempt *attempt) (almondcross.Peer, bool) {
	if attempt.forwarded || attempt.task.Size() > 1 {
		return almondcross.Peer{}, false
	}
	var best, second almondcross.Peer
	candidates := uint64(0)
	for _, peer := range machine.peers {
		member := peer.Member()
		if member.Leaving() || member.DataCentre() != machine.dataCentre() || !machine.view.HasLease(member.ID(), machine.now) {
			continue
		}
		if !attempt.task.Resources().Fits(peer.Summary().LargestFree()) || peer.Summary().Waiting() >= max(machine.waitingCount, 1) {
			continue
		}
		candidates++
		switch candidates {
		case 1:
			best = peer
		case 2:
			second = peer
		default:
			if slot := machine.nextRandom() % candidates; slot == 0 {
				best = peer
			} else if slot == 1 {
				second = peer
			}
		}
	}
	if candidates > 1 && betterPeer(second, best) {
		best = second
	}
	return best, candidates > 0
}

// forwardTo sends a task to another holder and reports this to the coordinator.
func (machine *Machine) forwardTo(attempt *attempt, peer almondcross.Peer) {
	member := peer.Member().ID()
	machine.recordClosed(attempt.task, closedAttempt{forwarded: member})
	machine.subtractFromSummary(member, attempt.task.Resources())
	machine.emit(Effect{
		Kind: EffectForward, Member: member,
		Peer: almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{
			Task: attempt.task.WithTimeout(remainingTimeout(attempt, machine.now)), Forwarded: true,
		}),
	})
	machine.reportForwarded(attempt.task, member)
	machine.recordDecision(attempt.task, "forwarded", attempt.waitCode, "", member.Name())
}

// reportForwarded tells the coordinator of a task which holder has it.
func (machine *Machine) reportForwarded(task almondcross.Task, holder almondcross.MemberID) {
	machine.report(task.Coordinator(), almondcross.NewTaskForwarded(almondcross.TaskForwardedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: holder,
	}))
}

// subtractFromSummary subtracts the resources of a forwarded task from the summary of its new holder.
func (machine *Machine) subtractFromSummary(member almondcross.MemberID, resources almondcross.Resources) {
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
	// This host may hold no target, so the shares are relative to the free capacity of both peers.
	combined := first.Summary().Free().Add(second.Summary().Free())
	return second.Summary().Free().Dominant(combined) < first.Summary().Free().Dominant(combined)
}

// remainingTimeout returns the time that is left to start a task, at least 1 ms, or 0 for no limit.
func remainingTimeout(attempt *attempt, now time.Time) time.Duration {
	if attempt.task.Timeout() == 0 {
		return 0
	}
	return max(attempt.task.Timeout()-now.Sub(attempt.queuedAt), time.Millisecond)
}
