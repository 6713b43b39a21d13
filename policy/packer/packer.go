package packer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/almondcross/almondcross"
)

const (
	tierReserved = 0 // free capacity including the reserve, for short and urgent tasks
	tierRegular  = 1 // free capacity without the reserve, for other tasks
	tiers        = 2

	kindCPUOnly     = 0 // targets without accelerators
	kindAccelerated = 1
	kinds           = 2

	// scoreUnit is the score of one resource that is free up to the largest capacity.
	scoreUnit = 1 << 20
)

// Packer implements almondcross.PlacementPolicy. It is not safe for concurrent use.
type Packer struct {
	targets     map[string]*target
	trees       [kinds][tiers]tree
	rackIndexes map[string]int
	rackTrees   []*[kinds][tiers]tree
	rackCounts  map[string]*rackCounts
	maxCapacity vector // the largest capacity seen of each resource, which scales the scores
	comparisons uint64
}

type target struct {
	kind, rack int
	free       [tiers]vector
	nodes      [tiers]node // nodes in the trees of all targets
	rackNodes  [tiers]node // nodes in the trees of the rack
}

// New returns a packer without targets.
func New() *Packer {
	packer := &Packer{targets: map[string]*target{}, rackIndexes: map[string]int{}, rackCounts: map[string]*rackCounts{}}
	packer.attachCounter(&packer.trees)
	return packer
}

func (packer *Packer) attachCounter(trees *[kinds][tiers]tree) {
	for kind := range trees {
		for tier := range trees[kind] {
			trees[kind][tier].comparisons = &packer.comparisons
		}
	}
}

// Comparisons returns the number of tree nodes and racks visited or compared so far.
func (packer *Packer) Comparisons() uint64 { return packer.comparisons }

// SetTarget adds a target or updates its free capacity.
func (packer *Packer) SetTarget(update almondcross.TargetCapacity) {
	free := [tiers]vector{vectorOf(update.Free()), vectorOf(update.RegularFree())}
	target, ok := packer.targets[update.Name()]
	if !ok {
		target = packer.add(update)
		for tier := range tiers {
			packer.addToTrees(target, tier, free[tier])
		}
		return
	}
	for tier := range tiers {
		if target.free[tier] != free[tier] {
			packer.removeFromTrees(target, tier)
			packer.addToTrees(target, tier, free[tier])
		}
	}
}

func (packer *Packer) add(update almondcross.TargetCapacity) *target {
	capacity := vectorOf(update.Capacity())
	if !capacity.fits(&packer.maxCapacity) {
		packer.maxCapacity.setMax(&capacity)
		packer.rescore()
	}
	target := &target{rack: packer.rackIndex(update.Rack())}
	if update.Capacity().Accelerators() > 0 {
		target.kind = kindAccelerated
	}
	priority := xxhash.Sum64String(update.Name())
	for tier := range tiers {
		target.nodes[tier] = node{name: update.Name(), priority: priority}
		target.rackNodes[tier] = node{name: update.Name(), priority: priority}
	}
	packer.targets[update.Name()] = target
	return target
}

func (packer *Packer) rackIndex(name string) int {
	index, ok := packer.rackIndexes[name]
	if !ok {
		index = len(packer.rackTrees)
		packer.rackIndexes[name] = index
		trees := &[kinds][tiers]tree{}
		packer.attachCounter(trees)
		packer.rackTrees = append(packer.rackTrees, trees)
	}
	return index
}

func (packer *Packer) addToTrees(target *target, tier int, free vector) {
	target.free[tier] = free
	score := packer.score(&free)
	for _, node := range []*node{&target.nodes[tier], &target.rackNodes[tier]} {
		node.free, node.score = free, score
	}
	packer.trees[target.kind][tier].insert(&target.nodes[tier])
	packer.rackTrees[target.rack][target.kind][tier].insert(&target.rackNodes[tier])
}

func (packer *Packer) removeFromTrees(target *target, tier int) {
	packer.trees[target.kind][tier].remove(&target.nodes[tier])
	packer.rackTrees[target.rack][target.kind][tier].remove(&target.rackNodes[tier])
}

// rescore rebuilds all trees after maxCapacity changed, which happens only when a target with a
// larger capacity than any before is added.
func (packer *Packer) rescore() {
	for _, target := range packer.targets {
		for tier := range tiers {
			packer.removeFromTrees(target, tier)
		}
	}
	for _, target := range packer.targets {
		for tier := range tiers {
			packer.addToTrees(target, tier, target.free[tier])
		}
	}
}

// score returns the sum of the free resources, each as a fraction of maxCapacity. A vector that fits
// into another one never has a higher score.
func (packer *Packer) score(free *vector) int64 {
	sum := int64(0)
	for index, value := range free {
		if packer.maxCapacity[index] > 0 {
			sum += value * scoreUnit / packer.maxCapacity[index]
		}
	}
	return sum
}

// Remove removes a target, if it is known.
func (packer *Packer) Remove(name string) {
	target, ok := packer.targets[name]
	if !ok {
		return
	}
	for tier := range tiers {
		packer.removeFromTrees(target, tier)
	}
	delete(packer.targets, name)
}

// Choose returns the target for a task and false when no target was found.
func (packer *Packer) Choose(query almondcross.PlacementQuery) (string, bool) {
	demand := vectorOf(query.Resources())
	tier := tierRegular
	if query.Reserve() {
		tier = tierReserved
	}
	var found *node
	for kind := kindCPUOnly; kind < kinds && found == nil; kind++ {
		if kind == kindCPUOnly && query.Resources().Accelerators() > 0 {
			continue
		}
		if query.Class() == almondcross.ClassService {
			found = packer.chooseSpread(query.Entry(), kind, tier, &demand)
		} else {
			found = packer.trees[kind][tier].bestFit(&demand, packer.score(&demand))
		}
	}
	if found == nil {
		return "", false
	}
	return found.name, true
}

// chooseSpread returns the target with the most free capacity on the rack that has the fewest tasks
// of an entry among the racks where the demand fits. It examines at most visitLimit racks and then
// falls back to the target with the most free capacity on any rack.
func (packer *Packer) chooseSpread(entry string, kind, tier int, demand *vector) *node {
	racks := packer.rackCountsOf(entry).byCount
	for index, remaining := 0, visitLimit(len(racks)); index < len(racks) && remaining > 0; index, remaining = index+1, remaining-1 {
		packer.comparisons++
		trees := packer.rackTrees[racks[index]]
		root := trees[kind][tier].root
		if root == nil || !demand.fits(&root.subtreeMax) {
			continue
		}
		if found := trees[kind][tier].worstFit(demand); found != nil {
			return found
		}
	}
	return packer.trees[kind][tier].worstFit(demand)
}

func (packer *Packer) rackCountsOf(entry string) *rackCounts {
	counts, ok := packer.rackCounts[entry]
	if !ok {
		counts = &rackCounts{}
		packer.rackCounts[entry] = counts
	}
	counts.grow(len(packer.rackTrees))
	return counts
}

// AddPlaced records that a task of an entry was placed on a rack.
func (packer *Packer) AddPlaced(entry string, class almondcross.Class, rack string) {
	if class == almondcross.ClassService {
		index := packer.rackIndex(rack)
		packer.rackCountsOf(entry).increment(index)
	}
}

// RemovePlaced undoes one call of AddPlaced.
func (packer *Packer) RemovePlaced(entry string, class almondcross.Class, rack string) {
	if class == almondcross.ClassService {
		index := packer.rackIndex(rack)
		packer.rackCountsOf(entry).decrement(index)
	}
}
