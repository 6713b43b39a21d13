package spreader

import "github.com/almondcross/almondcross"

// Config holds the policy that is wrapped.
type Config struct {
	Index almondcross.PlacementPolicy
}

// Spreader is a PlacementPolicy that spreads all classes. One goroutine uses it.
type Spreader struct {
	almondcross.PlacementPolicy
}

// New returns a spreader over an index without targets.
func New(config Config) Spreader { return Spreader{PlacementPolicy: config.Index} }

// Choose returns the target for a task; it reports false when none is found.
func (spreader Spreader) Choose(query almondcross.PlacementQuery) (string, bool) {
	return spreader.PlacementPolicy.Choose(query.WithClass(almondcross.ClassService))
}

// Placed counts a task of an entry on a rack.
func (spreader Spreader) Placed(entry string, _ almondcross.Class, rack string) {
	spreader.PlacementPolicy.Placed(entry, almondcross.ClassService, rack)
}

// Freed takes back a count of Placed.
func (spreader Spreader) Freed(entry string, _ almondcross.Class, rack string) {
	spreader.PlacementPolicy.Freed(entry, almondcross.ClassService, rack)
}
