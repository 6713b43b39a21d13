package packer

import (
	"slices"

	"github.com/almondcross/almondcross"
)

// Packer is a PlacementPolicy that takes the first target in the order of names. One goroutine uses it.
type Packer struct {
	names []string
	rooms map[string]almondcross.TargetRoom
}

// New returns a packer without targets.
func New() *Packer { return &Packer{rooms: map[string]almondcross.TargetRoom{}} }

// SetRoom adds a target or changes its room.
func (packer *Packer) SetRoom(room almondcross.TargetRoom) {
	if index, ok := slices.BinarySearch(packer.names, room.Name()); !ok {
		packer.names = slices.Insert(packer.names, index, room.Name())
	}
	packer.rooms[room.Name()] = room
}

// Remove takes a target out of the choice.
func (packer *Packer) Remove(target string) {
	if index, ok := slices.BinarySearch(packer.names, target); ok {
		packer.names = slices.Delete(packer.names, index, index+1)
	}
	delete(packer.rooms, target)
}

// Choose returns the target for a task; it reports false when none is found.
func (packer *Packer) Choose(query almondcross.PlacementQuery) (string, bool) {
	for _, name := range packer.names {
		room := packer.rooms[name]
		free := room.LongFree()
		if query.Reserve() {
			free = room.Free()
		}
		if query.Resources().Fits(free) {
			return name, true
		}
	}
	return "", false
}

// Placed counts a task of an entry on a rack.
func (packer *Packer) Placed(string, almondcross.Class, string) {}

// Freed takes back a count of Placed.
func (packer *Packer) Freed(string, almondcross.Class, string) {}
