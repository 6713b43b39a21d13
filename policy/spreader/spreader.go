package spreader

import "github.com/almondcross/almondcross"

// Config holds the wrapped policy.
type Config struct {
	Policy almondcross.PlacementPolicy
}

// Spreader implements almondcross.PlacementPolicy and spreads tasks of all classes. It is not safe for
// concurrent use.
type Spreader struct {
	almondcross.PlacementPolicy
}

// New returns a spreader that wraps the configured policy, which has no targets yet.
func New(config Config) Spreader { return Spreader{PlacementPolicy: config.Policy} }

// Choose returns the target for a task and false when no target was found.
func (spreader Spreader) Choose(query almondcross.PlacementQuery) (string, bool) {
	return spreader.PlacementPolicy.Choose(query.WithClass(almondcross.ClassService))
}

// AddPlaced records that a task of an entry was placed on a rack.
func (spreader Spreader) AddPlaced(entry string, _ almondcross.Class, rack string) {
	spreader.PlacementPolicy.AddPlaced(entry, almondcross.ClassService, rack)
}

// RemovePlaced undoes one call of AddPlaced.
func (spreader Spreader) RemovePlaced(entry string, _ almondcross.Class, rack string) {
	spreader.PlacementPolicy.RemovePlaced(entry, almondcross.ClassService, rack)
}
