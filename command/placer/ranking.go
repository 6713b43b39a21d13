package placer

import (
	"cmp"
	"slices"
)

// ownerQueues holds the non-empty queues of one owner, except those of urgent tasks.
type ownerQueues struct {
	name   string
	ratio  float64 // the owner's ratio when its usage last changed
	queues []*queue
}

func compareOwners(first, second *ownerQueues) int {
	if order := cmp.Compare(first.ratio, second.ratio); order != 0 {
		return order
	}
	return cmp.Compare(first.name, second.name)
}

// ranking orders the owners with non-empty queues by their ratio, lowest first. An owner is moved only
// when its own usage changes, so a decision does not have to compare all owners.
type ranking struct {
	owners map[string]*ownerQueues
	order  []*ownerQueues
	urgent []*queue
}

func (ranking *ranking) insert(owner *ownerQueues) {
	index, _ := slices.BinarySearchFunc(ranking.order, owner, compareOwners)
	ranking.order = slices.Insert(ranking.order, index, owner)
}

func (ranking *ranking) remove(owner *ownerQueues) {
	if index, ok := slices.BinarySearchFunc(ranking.order, owner, compareOwners); ok {
		ranking.order = slices.Delete(ranking.order, index, index+1)
	}
}

// addToRanking adds a queue that is no longer empty.
func (machine *Machine) addToRanking(queue *queue) {
	ranking := &machine.ranking
	if queue.key.urgent {
		ranking.urgent = append(ranking.urgent, queue)
		return
	}
	owner, ok := ranking.owners[queue.key.owner]
	if !ok {
		owner = &ownerQueues{name: queue.key.owner}
		ranking.owners[queue.key.owner] = owner
	}
	owner.queues = append(owner.queues, queue)
	if len(owner.queues) == 1 {
		owner.ratio = queue.shareAccount.OwnerRatio(queue.need)
		ranking.insert(owner)
	}
}

// removeFromRanking removes a queue that became empty.
func (machine *Machine) removeFromRanking(removed *queue) {
	ranking := &machine.ranking
	isRemoved := func(candidate *queue) bool { return candidate == removed }
	if removed.key.urgent {
		ranking.urgent = slices.DeleteFunc(ranking.urgent, isRemoved)
		return
	}
	owner := ranking.owners[removed.key.owner]
	owner.queues = slices.DeleteFunc(owner.queues, isRemoved)
	if len(owner.queues) == 0 {
		ranking.remove(owner)
	}
}

// updateRank moves an owner after its usage changed.
func (machine *Machine) updateRank(ownerName string) {
	ranking := &machine.ranking
	owner, ok := ranking.owners[ownerName]
	if !ok || len(owner.queues) == 0 {
		return
	}
	ranking.remove(owner)
	owner.ratio = owner.queues[0].shareAccount.OwnerRatio(owner.queues[0].need)
	ranking.insert(owner)
}

// updateAllRanks sorts the owners again after the total capacity or the catalogue changed.
func (machine *Machine) updateAllRanks() {
	for _, owner := range machine.ranking.order {
		owner.ratio = owner.queues[0].shareAccount.OwnerRatio(owner.queues[0].need)
	}
	slices.SortFunc(machine.ranking.order, compareOwners)
}

// nextWaiting returns the waiting task to start next on a target, nil for none: urgent tasks first, then
// the owner and the entry that received least of their promised share, then shorter bands, then the
// longest wait.
func (machine *Machine) nextWaiting(target *target) *attempt {
	if best := machine.bestQueue(machine.ranking.urgent, target); best != nil {
		return best.first()
	}
	for _, owner := range machine.ranking.order {
		if best := machine.bestQueue(owner.queues, target); best != nil {
			return best.first()
		}
	}
	return nil
}

// bestQueue returns the first in order among the queues whose first task fits a target, nil for none.
func (machine *Machine) bestQueue(queues []*queue, target *target) *queue {
	var best *queue
	var bestRatio float64
	for _, queue := range queues {
		free := &target.regularFree
		if queue.usesReserve {
			free = &target.free
		}
		if !queue.need.Fits(*free) || machine.atLimit(queue) || queue.key.suspect && target.hasSuspect() {
			continue
		}
		ratio := queue.shareAccount.EntryRatio(queue.need)
		if best == nil || queueBefore(queue, best, ratio, bestRatio) {
			best, bestRatio = queue, ratio
		}
	}
	return best
}

func queueBefore(first, second *queue, firstRatio, secondRatio float64) bool {
	if firstRatio != secondRatio {
		return firstRatio < secondRatio
	}
	if first.key.band != second.key.band {
		return first.key.band < second.key.band
	}
	return first.queuedAt.Before(second.queuedAt)
}
