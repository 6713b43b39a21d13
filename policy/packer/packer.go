package packer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/almondcross/almondcross"
)

const (
	viewFree     = 0 // the room of short and urgent work
	viewLongFree = 1 // the room of other work
	views        = 2

	kindPlain       = 0 // targets without accelerators
	kindAccelerated = 1
	kinds           = 2

	// scoreUnit is the score of a whole target in one resource.
	scoreUnit = 1 << 20
)

// Packer is a PlacementPolicy. One goroutine uses it.
type Packer struct {
	targets     map[string]*target
	trees       [kinds][views]tree
	racks       map[string]int
	rackTrees   []*[kinds][views]tree
	spreads     map[string]*spread
	reference   amount // the largest capacity seen, by which rooms of targets are compared
	comparisons uint64
}

type target struct {
	kind, rack int
	free       [views]amount
	leaves     [views]leaf // in the trees of all targets
	rackLeaves [views]leaf // in the trees of the rack
}

// New returns a packer without targets.
func New() *Packer {
	packer := &Packer{targets: map[string]*target{}, racks: map[string]int{}, spreads: map[string]*spread{}}
	packer.count(&packer.trees)
	return packer
}

func (packer *Packer) count(trees *[kinds][views]tree) {
	for kind := range trees {
		for view := range trees[kind] {
			trees[kind][view].comparisons = &packer.comparisons
		}
	}
}

// Comparisons returns how many nodes of the index were visited or compared so far.
func (packer *Packer) Comparisons() uint64 { return packer.comparisons }

// SetRoom adds a target or changes its room.
func (packer *Packer) SetRoom(room almondcross.TargetRoom) {
	free := [views]amount{amountOf(room.Free()), amountOf(room.LongFree())}
	known, ok := packer.targets[room.Name()]
	if !ok {
		known = packer.add(room)
		for view := range views {
			packer.link(known, view, free[view])
		}
		return
	}
	for view := range views {
		if known.free[view] != free[view] {
			packer.unlink(known, view)
			packer.link(known, view, free[view])
		}
	}
}

func (packer *Packer) add(room almondcross.TargetRoom) *target {
	capacity := amountOf(room.Capacity())
	if !capacity.fits(&packer.reference) {
		packer.reference.raise(&capacity)
		packer.rescore()
	}
	added := &target{rack: packer.rack(room.Rack())}
	if room.Capacity().Accelerators() > 0 {
		added.kind = kindAccelerated
	}
	priority := xxhash.Sum64String(room.Name())
	for view := range views {
		added.leaves[view] = leaf{name: room.Name(), priority: priority}
		added.rackLeaves[view] = leaf{name: room.Name(), priority: priority}
	}
	packer.targets[room.Name()] = added
	return added
}

func (packer *Packer) rack(name string) int {
	index, ok := packer.racks[name]
	if !ok {
		index = len(packer.rackTrees)
		packer.racks[name] = index
		trees := &[kinds][views]tree{}
		packer.count(trees)
		packer.rackTrees = append(packer.rackTrees, trees)
	}
	return index
}

func (packer *Packer) link(known *target, view int, room amount) {
	known.free[view] = room
	score := packer.score(&room)
	for _, item := range []*leaf{&known.leaves[view], &known.rackLeaves[view]} {
		item.room, item.score = room, score
	}
	packer.trees[known.kind][view].insert(&known.leaves[view])
	packer.rackTrees[known.rack][known.kind][view].insert(&known.rackLeaves[view])
}

func (packer *Packer) unlink(known *target, view int) {
	packer.trees[known.kind][view].remove(&known.leaves[view])
	packer.rackTrees[known.rack][known.kind][view].remove(&known.rackLeaves[view])
}

// rescore orders every target anew after the reference changed, which happens once for each
// larger kind of target.
func (packer *Packer) rescore() {
	for _, known := range packer.targets {
		for view := range views {
			packer.unlink(known, view)
		}
	}
	for _, known := range packer.targets {
		for view := range views {
			packer.link(known, view, known.free[view])
		}
	}
}

// score is the sum of the free parts of the resources. An amount that fits into another one has
// no higher score.
func (packer *Packer) score(room *amount) int64 {
	sum := int64(0)
	for index, value := range room {
		if packer.reference[index] > 0 {
			sum += value * scoreUnit / packer.reference[index]
		}
	}
	return sum
}

// Remove takes a target out of the choice.
func (packer *Packer) Remove(name string) {
	known, ok := packer.targets[name]
	if !ok {
		return
	}
	for view := range views {
		packer.unlink(known, view)
	}
	delete(packer.targets, name)
}

// Choose returns the target for a task; it reports false when none is found.
func (packer *Packer) Choose(query almondcross.PlacementQuery) (string, bool) {
	need := amountOf(query.Resources())
	view := viewLongFree
	if query.Reserve() {
		view = viewFree
	}
	var found *leaf
	for kind := kindPlain; kind < kinds && found == nil; kind++ {
		if kind == kindPlain && query.Resources().Accelerators() > 0 {
			continue
		}
		if query.Class() == almondcross.ClassService {
			found = packer.chooseSpread(query.Entry(), kind, view, &need)
		} else {
			found = packer.trees[kind][view].tightest(&need, packer.score(&need))
		}
	}
	if found == nil {
		return "", false
	}
	return found.name, true
}

// chooseSpread returns the emptiest target of the rack with the fewest tasks of an entry among
// the racks that have room. It looks at as many racks as a search visits nodes.
func (packer *Packer) chooseSpread(entry string, kind, view int, need *amount) *leaf {
	order := packer.spread(entry).order
	for index, left := 0, visits(len(order)); index < len(order) && left > 0; index, left = index+1, left-1 {
		packer.comparisons++
		trees := packer.rackTrees[order[index]]
		root := trees[kind][view].root
		if root == nil || !need.fits(&root.most) {
			continue
		}
		if found := trees[kind][view].emptiest(need); found != nil {
			return found
		}
	}
	return packer.trees[kind][view].emptiest(need)
}

func (packer *Packer) spread(entry string) *spread {
	known, ok := packer.spreads[entry]
	if !ok {
		known = &spread{}
		packer.spreads[entry] = known
	}
	known.grow(len(packer.rackTrees))
	return known
}

// Placed counts a task of an entry on a rack.
func (packer *Packer) Placed(entry string, class almondcross.Class, rack string) {
	if class == almondcross.ClassService {
		index := packer.rack(rack)
		packer.spread(entry).raise(index)
	}
}

// Freed takes back a count of Placed.
func (packer *Packer) Freed(entry string, class almondcross.Class, rack string) {
	if class == almondcross.ClassService {
		index := packer.rack(rack)
		packer.spread(entry).lower(index)
	}
}
