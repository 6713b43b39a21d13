package placer

import (
	"cmp"
	"slices"
)

// ownerLines are the waiting lines of one owner, without those of urgent work.
type ownerLines struct {
	name  string
	ratio float64 // the owner's ratio as of its last change of use
	lines []*line
}

func compareOwners(first, second *ownerLines) int {
	if order := cmp.Compare(first.ratio, second.ratio); order != 0 {
		return order
	}
	return cmp.Compare(first.name, second.name)
}

// ranking orders the owners with waiting lines by what they received. An owner moves when its
// own use changes, so a decision does not compare all owners.
type ranking struct {
	owners map[string]*ownerLines
	order  []*ownerLines
	urgent []*line
}

func (ranking *ranking) insert(owner *ownerLines) {
	index, _ := slices.BinarySearchFunc(ranking.order, owner, compareOwners)
	ranking.order = slices.Insert(ranking.order, index, owner)
}

func (ranking *ranking) remove(owner *ownerLines) {
	if index, ok := slices.BinarySearchFunc(ranking.order, owner, compareOwners); ok {
		ranking.order = slices.Delete(ranking.order, index, index+1)
	}
}

// rank adds a line that is no longer empty.
func (machine *Machine) rank(waiting *line) {
	ranking := &machine.ranking
	if waiting.key.urgent {
		ranking.urgent = append(ranking.urgent, waiting)
		return
	}
	owner, ok := ranking.owners[waiting.key.owner]
	if !ok {
		owner = &ownerLines{name: waiting.key.owner}
		ranking.owners[waiting.key.owner] = owner
	}
	owner.lines = append(owner.lines, waiting)
	if len(owner.lines) == 1 {
		owner.ratio = waiting.account.OwnerRatio(waiting.need)
		ranking.insert(owner)
	}
}

// unrank takes out a line that became empty.
func (machine *Machine) unrank(waiting *line) {
	ranking := &machine.ranking
	other := func(item *line) bool { return item == waiting }
	if waiting.key.urgent {
		ranking.urgent = slices.DeleteFunc(ranking.urgent, other)
		return
	}
	owner := ranking.owners[waiting.key.owner]
	owner.lines = slices.DeleteFunc(owner.lines, other)
	if len(owner.lines) == 0 {
		ranking.remove(owner)
	}
}

// rerank moves an owner after a change of its use.
func (machine *Machine) rerank(name string) {
	ranking := &machine.ranking
	owner, ok := ranking.owners[name]
	if !ok || len(owner.lines) == 0 {
		return
	}
	ranking.remove(owner)
	owner.ratio = owner.lines[0].account.OwnerRatio(owner.lines[0].need)
	ranking.insert(owner)
}

// rerankAll is used after a change of the total or of the catalogue.
func (machine *Machine) rerankAll() {
	for _, owner := range machine.ranking.order {
		owner.ratio = owner.lines[0].account.OwnerRatio(owner.lines[0].need)
	}
	slices.SortFunc(machine.ranking.order, compareOwners)
}

// nextFor returns the waiting task that goes to a target next, nil for none: urgent work first,
// then the owner and the entry that received the least of their promise, then shorter bands,
// then the longest wait.
func (machine *Machine) nextFor(entry *target) *job {
	if best := machine.bestOf(machine.ranking.urgent, entry); best != nil {
		return best.first()
	}
	for _, owner := range machine.ranking.order {
		if best := machine.bestOf(owner.lines, entry); best != nil {
			return best.first()
		}
	}
	return nil
}

// bestOf returns the line that goes first among those whose first task fits a target.
func (machine *Machine) bestOf(lines []*line, entry *target) *line {
	var best *line
	var bestRatio float64
	for _, waiting := range lines {
		room := &entry.longFree
		if waiting.reserve {
			room = &entry.free
		}
		if !waiting.need.Fits(*room) || machine.limited(waiting) {
			continue
		}
		ratio := waiting.account.EntryRatio(waiting.need)
		if best == nil || before(waiting, best, ratio, bestRatio) {
			best, bestRatio = waiting, ratio
		}
	}
	return best
}

func before(first, second *line, firstRatio, secondRatio float64) bool {
	if firstRatio != secondRatio {
		return firstRatio < secondRatio
	}
	if first.key.band != second.key.band {
		return first.key.band < second.key.band
	}
	return first.queuedAt.Before(second.queuedAt)
}
