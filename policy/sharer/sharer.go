package sharer

import (
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// recentHalfLife is the half-life of the averages of usage. The load of an owner is judged over some ten seconds: bursts are
	// shorter, and an owner that sends more than its share for longer goes behind them.
	recentHalfLife = 30 * time.Second
	// advanceInterval is the minimum time between two updates of the averages.
	advanceInterval = 50 * time.Millisecond
	// currentPart is the part of the current usage in RecentRatio. It orders owners while the averages are still equal, as after
	// a start.
	currentPart = 0.1
)

// defaultShare is the weight of an owner or entry that has none.
const defaultShare = 1

// Sharer implements almondcross.SharePolicy with weighted dominant resource fairness. It is not safe for
// concurrent use.
type Sharer struct {
	capacity     almondcross.Resources
	owners       map[string]*ownerState
	weights      map[string]int64 // the weight of each entry that has one
	totalWeight  int64            // the sum of the weights of all owners that have one
	activeWeight int64            // the sum of the weights of the owners with waiting or running tasks
	advancedAt   time.Time        // the time of the last update of the averages
}

type ownerState struct {
	weight  int64
	used    almondcross.Resources
	recent  float64 // the average dominant share
	tasks   int
	waiting int // the number of queues with waiting tasks
	entries map[string]*entryState
}

type entryState struct {
	weight  int64
	used    almondcross.Resources
	tasks   int
	waiting int // the number of queues with waiting tasks
}

func (ownerstate *ownerState) active() bool { return ownerstate.tasks > 0 || ownerstate.waiting > 0 }

// New returns a sharer without capacity and entries.
func New() *Sharer {
	return &Sharer{owners: map[string]*ownerState{}, weights: map[string]int64{}}
}

// SetTotal sets the total capacity that the owners share.
func (sharer *Sharer) SetTotal(capacity almondcross.Resources) { sharer.capacity = capacity }

// SetWeights sets the weights of the entries and their owners.
func (sharer *Sharer) SetWeights(weights []almondcross.ShareWeight) {
	clear(sharer.weights)
	ownerWeights := map[string]int64{}
	sharer.totalWeight = 0
	for _, given := range weights {
		weight := max(given.Weight(), defaultShare)
		if given.Entry() != "" {
			sharer.weights[given.Entry()] = weight
		}
		ownerWeights[given.Owner()] += weight
		sharer.totalWeight += weight
	}
	sharer.activeWeight = 0
	for name := range ownerWeights {
		sharer.owner(name)
	}
	for name, owner := range sharer.owners {
		owner.weight = max(ownerWeights[name], defaultShare)
		if owner.active() {
			sharer.activeWeight += owner.weight
		}
		for entryName, entry := range owner.entries {
			entry.weight = max(sharer.weights[entryName], defaultShare)
		}
	}
}

func (sharer *Sharer) owner(name string) *ownerState {
	owner, ok := sharer.owners[name]
	if !ok {
		owner = &ownerState{weight: defaultShare, entries: map[string]*entryState{}}
		sharer.owners[name] = owner
	}
	return owner
}

func (sharer *Sharer) entry(owner *ownerState, name string) *entryState {
	entry, ok := owner.entries[name]
	if !ok {
		entry = &entryState{weight: max(sharer.weights[name], defaultShare)}
		owner.entries[name] = entry
	}
	return entry
}

// update applies a change to an owner and one of its entries and adjusts activeWeight.
func (sharer *Sharer) update(ownerName, entryName string, apply func(*ownerState, *entryState)) {
	owner := sharer.owner(ownerName)
	before := owner.active()
	apply(owner, sharer.entry(owner, entryName))
	switch after := owner.active(); {
	case after && !before:
		sharer.activeWeight += owner.weight
	case before && !after:
		sharer.activeWeight -= owner.weight
	}
}

// AddUsage adds the resources of a started task to the use of an entry.
func (sharer *Sharer) AddUsage(ownerName, entryName string, resources almondcross.Resources) {
	sharer.update(ownerName, entryName, func(owner *ownerState, entry *entryState) {
		owner.used, entry.used = owner.used.Add(resources), entry.used.Add(resources)
		owner.tasks++
		entry.tasks++
	})
}

// RemoveUsage undoes one call of AddUsage.
func (sharer *Sharer) RemoveUsage(ownerName, entryName string, resources almondcross.Resources) {
	sharer.update(ownerName, entryName, func(owner *ownerState, entry *entryState) {
		owner.used, entry.used = owner.used.Sub(resources), entry.used.Sub(resources)
		owner.tasks--
		entry.tasks--
	})
}

// Advance averages the dominant shares of the owners up to a time.
func (sharer *Sharer) Advance(now time.Time) {
	elapsed := now.Sub(sharer.advancedAt)
	if elapsed < advanceInterval {
		return
	}
	if !sharer.advancedAt.IsZero() {
		part := 1 - math.Exp2(-elapsed.Seconds()/recentHalfLife.Seconds())
		for _, owner := range sharer.owners {
			owner.recent += part * (owner.used.Dominant(sharer.capacity) - owner.recent)
		}
	}
	sharer.advancedAt = now
}

// AddWaiting adds delta, which may be negative, to the number of queues of an entry that have waiting tasks.
func (sharer *Sharer) AddWaiting(ownerName, entryName string, delta int) {
	sharer.update(ownerName, entryName, func(owner *ownerState, entry *entryState) {
		owner.waiting += delta
		entry.waiting += delta
	})
}

// account implements almondcross.ShareAccount for an entry.
type account struct {
	sharer *Sharer
	owner  *ownerState
	entry  *entryState
}

// Account returns the account of an entry of an owner, which stays valid.
func (sharer *Sharer) Account(ownerName, entryName string) almondcross.ShareAccount {
	owner := sharer.owner(ownerName)
	return &account{sharer: sharer, owner: owner, entry: sharer.entry(owner, entryName)}
}

// OwnerRatio returns the received share per weight of the owner, with half of its next task included.
func (account *account) OwnerRatio(nextTask almondcross.Resources) float64 {
	return account.sharer.midpointShare(account.owner.used, nextTask) / float64(account.owner.weight)
}

// RecentRatio returns the average received share per weight of the owner, with a part of the current one.
func (account *account) RecentRatio(nextTask almondcross.Resources) float64 {
	return account.owner.recent/float64(account.owner.weight) + currentPart*account.OwnerRatio(nextTask)
}

// midpointShare returns the mean of the dominant shares before and after the next task starts.
func (sharer *Sharer) midpointShare(used, nextTask almondcross.Resources) float64 {
	return (used.Dominant(sharer.capacity) + used.Add(nextTask).Dominant(sharer.capacity)) / 2
}

// EntryRatio returns the received share per weight of the entry, with half of its next task included.
func (account *account) EntryRatio(nextTask almondcross.Resources) float64 {
	return account.sharer.midpointShare(account.entry.used, nextTask) / float64(account.entry.weight)
}

// ExceedsFairShare reports whether the owner would exceed its current fair share with additional resources.
func (account *account) ExceedsFairShare(additional almondcross.Resources) bool {
	weight := account.owner.weight
	fairShare := float64(weight) / float64(max(account.sharer.activeWeight, weight))
	return account.owner.used.Add(additional).Dominant(account.sharer.capacity) > fairShare
}

// BorrowedShare returns the part of an owner's dominant share that exceeds its promised share, which the owner
// borrows from other owners.
func (sharer *Sharer) BorrowedShare(ownerName string) float64 {
	owner, ok := sharer.owners[ownerName]
	if !ok {
		return 0
	}
	return max(0, owner.used.Dominant(sharer.capacity)-sharer.PromisedShare(ownerName))
}

// PromisedShare returns the promised share of an owner as a fraction of the capacity.
func (sharer *Sharer) PromisedShare(ownerName string) float64 {
	owner, ok := sharer.owners[ownerName]
	if !ok {
		return 0
	}
	return float64(owner.weight) / float64(max(sharer.totalWeight, owner.weight))
}

// FairShare returns the current fair share of an owner as a fraction of the capacity, including its part of
// the shares lent by owners without tasks.
func (sharer *Sharer) FairShare(ownerName string) float64 {
	owner, ok := sharer.owners[ownerName]
	if !ok {
		return 0
	}
	return float64(owner.weight) / float64(max(sharer.activeWeight, owner.weight))
}
