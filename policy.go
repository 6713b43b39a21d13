package almondcross

import "time"

//go:generate go run ./tools/valuer -output policy_generated.go policy.go

// BandShort is the band of the shortest work; it may use the reserved slots.
const BandShort Band = 0

// TargetRoom is the room of one target that accepts new work.
//
//value:generate
type TargetRoom struct {
	name     string    // the name of the target
	rack     string    // the rack of the target
	capacity Resources // the capacity of the target
	free     Resources // the room for short and urgent work
	longFree Resources // the room for other work, which leaves the reserve alone
}

// PlacementQuery describes the task to place.
//
//value:generate
type PlacementQuery struct {
	entry     string    // the name of the entry
	class     Class     // the class of the entry
	resources Resources // what the task needs
	reserve   bool      // whether the task may use the reserve
}

// PlacementPolicy chooses targets by their room. One duty owns it.
type PlacementPolicy interface {
	// SetRoom adds a target or changes its room.
	SetRoom(room TargetRoom)
	// Remove takes a target out of the choice.
	Remove(target string)
	// Choose returns the target for a task; it reports false when none is found.
	Choose(query PlacementQuery) (target string, ok bool)
	// Placed counts a task of an entry on a rack.
	Placed(entry string, class Class, rack string)
	// Freed takes back a count of Placed.
	Freed(entry string, class Class, rack string)
}

// SharePolicy orders owners and entries by what they received against what they are promised.
// One duty owns it.
type SharePolicy interface {
	// SetTotal sets the capacity that is shared.
	SetTotal(total Resources)
	// SetCatalogue sets the weights of the entries.
	SetCatalogue(catalogue Catalogue)
	// Take adds to the use of an entry.
	Take(owner, entry string, resources Resources)
	// Return takes back a Take.
	Return(owner, entry string, resources Resources)
	// Account returns the account of an entry of an owner, which stays valid.
	Account(owner, entry string) ShareAccount
	// SetWaiting adds to the number of lines of an entry with waiting tasks. The promise of
	// owners with neither waiting nor running work is lent to the others.
	SetWaiting(owner, entry string, lines int)
	// Lent returns the part of the dominant share that an owner holds beyond its own promise.
	Lent(owner string) float64
	// Promised returns the fraction of the capacity that an owner is promised.
	Promised(owner string) float64
	// Fair returns the fraction that an owner is due now, its part of lent promises included.
	Fair(owner string) float64
}

// ShareAccount is what one entry of one owner received. It is kept by its user, so that a decision
// need not look up each waiting entry.
type ShareAccount interface {
	// OwnerRatio returns the received share by weight of the owner, half of its next task
	// included, so that rounding to whole tasks favours neither small nor large owners. The
	// lowest goes first. It changes only with the owner's use, the total and the catalogue.
	OwnerRatio(next Resources) float64
	// EntryRatio returns the same of the entry within its owner.
	EntryRatio(next Resources) float64
	// Exceeds reports whether the owner would hold more than it is due now with more resources.
	Exceeds(more Resources) bool
}

// RuntimeEstimator learns the run times of entries. One duty owns it.
type RuntimeEstimator interface {
	// Observe adds the run time of an ended task.
	Observe(entry string, ran time.Duration)
	// Estimate returns the expected run time of a task.
	Estimate(entry string, declared time.Duration) time.Duration
	// Band returns the band of a task.
	Band(entry string, declared time.Duration) Band
	// StragglesAfter returns the run time from which a task of an entry is a straggler, 0 for never.
	StragglesAfter(entry string, declared time.Duration) time.Duration
}

// AdmissionQuery describes a task that would have to wait.
//
//value:generate
type AdmissionQuery struct {
	entry   string        // the name of the entry
	class   Class         // the class of the entry
	urgent  bool          // whether the task takes capacity from lent work
	timeout time.Duration // the time that is left to start usefully, 0 for no limit
	ahead   int           // the number of tasks that wait before it in its line
	oldest  time.Duration // the age of the oldest task in its line
	waiting int           // the number of tasks that wait in all lines
}

// Admission is the answer to an AdmissionQuery.
//
//value:generate
type Admission struct {
	accepted   bool          // whether the task waits
	code       Code          // the reason of a refusal
	retryAfter time.Duration // the time after which to retry
}

// AdmissionPolicy sheds load before it waits in vain. One duty owns it.
type AdmissionPolicy interface {
	// Admit decides whether a task joins its line.
	Admit(query AdmissionQuery, now time.Time) Admission
	// Left tells that a task left the line of an entry after a wait, started or not.
	Left(entry string, waited time.Duration, started bool, now time.Time)
}

// WorkerRoom is the room of one worker for the tasks of one stage.
//
//value:generate
type WorkerRoom struct {
	worker   string    // the identity of the worker
	rack     string    // the rack of the worker
	free     Resources // the free capacity
	capacity Resources // the capacity
	tasks    int       // how many tasks of the stage fit
}

// PickQuery describes the tasks of a stage to place.
//
//value:generate
type PickQuery struct {
	count    int           // the number of tasks
	need     Resources     // what each task needs
	whole    bool          // whether all must be placed or none
	sameRack bool          // whether the tasks are slower on more than one rack
	rack     string        // the rack where the data is, empty for none
	waited   time.Duration // how long the job has waited
}

// WorkerPicker chooses workers for the tasks of a stage. It keeps nothing between calls.
type WorkerPicker interface {
	// Pick returns a worker for each task that it could place, in order. The rooms are not changed.
	Pick(query PickQuery, rooms []WorkerRoom) []string
}
