package almondcross

import "time"

//go:generate go run ./tools/valuer -output policy_generated.go policy.go

// BandShort is the band of the tasks with the shortest run times; they may use the reserved capacity.
const BandShort Band = 0

// TargetRoom is the free capacity of one target that accepts new work.
//
//value:generate
type TargetRoom struct {
	name     string    // the name of the target
	rack     string    // the rack of the target
	capacity Resources // the capacity of the target
	free     Resources // the free capacity for short and urgent work
	longFree Resources // the free capacity for other work, without the reserve
}

// PlacementQuery describes the task to place.
//
//value:generate
type PlacementQuery struct {
	entry     string    // the name of the entry
	class     Class     // the class of the entry
	resources Resources // the resources that the task needs
	reserve   bool      // whether the task may use the reserve
}

// PlacementPolicy chooses targets by their free capacity. One duty owns it.
type PlacementPolicy interface {
	// SetRoom adds a target or updates its free capacity.
	SetRoom(room TargetRoom)
	// Remove removes a target from the candidates.
	Remove(target string)
	// Choose returns the target for a task and reports whether one was found.
	Choose(query PlacementQuery) (target string, ok bool)
	// Placed records that a task of an entry was placed on a rack.
	Placed(entry string, class Class, rack string)
	// Freed records that a task counted by Placed no longer occupies the rack.
	Freed(entry string, class Class, rack string)
}

// SharePolicy ranks owners and entries by the ratio of their received to their promised share.
// One duty owns it.
type SharePolicy interface {
	// SetTotal sets the total capacity that is shared.
	SetTotal(total Resources)
	// SetCatalogue sets the weights of the entries.
	SetCatalogue(catalogue Catalogue)
	// Take adds the resources of one task to the usage of an entry.
	Take(owner, entry string, resources Resources)
	// Return subtracts the resources of one task that Take added.
	Return(owner, entry string, resources Resources)
	// Account returns the account of an entry of an owner. It remains valid and reflects later changes.
	Account(owner, entry string) ShareAccount
	// SetWaiting adds delta to the number of non-empty queues of an entry. The promised shares of
	// owners with neither waiting nor running work are lent to the others.
	SetWaiting(owner, entry string, delta int)
	// Lent returns the part of its dominant share by which an owner exceeds its promised share.
	Lent(owner string) float64
	// Promised returns the fraction of the capacity that an owner is promised.
	Promised(owner string) float64
	// Fair returns the fraction of the capacity that an owner is currently entitled to, including its
	// part of the shares lent by others.
	Fair(owner string) float64
}

// ShareAccount is the received share of one entry of one owner. Callers of SharePolicy.Account store it, so
// that a decision does not have to look up each waiting entry.
type ShareAccount interface {
	// OwnerRatio returns the received share of the owner divided by its weight. Half of its next task
	// is included, so that rounding to whole tasks favours neither small nor large owners. The owner
	// with the lowest ratio is served first. It changes only with the owner's usage, the total and
	// the catalogue.
	OwnerRatio(next Resources) float64
	// EntryRatio returns the same ratio for the entry within its owner.
	EntryRatio(next Resources) float64
	// Exceeds reports whether the additional resources would take the owner beyond its current fair share.
	Exceeds(additional Resources) bool
}

// RuntimeEstimator learns the run times of entries. One duty owns it.
type RuntimeEstimator interface {
	// Observe records the run time of an ended task.
	Observe(entry string, runTime time.Duration)
	// Estimate returns the expected run time of a task.
	Estimate(entry string, declared time.Duration) time.Duration
	// Band returns the band of a task's expected run time.
	Band(entry string, declared time.Duration) Band
	// StragglesAfter returns the run time from which a task of an entry counts as a straggler, 0 for never.
	StragglesAfter(entry string, declared time.Duration) time.Duration
}

// AdmissionQuery describes a task that would have to wait.
//
//value:generate
type AdmissionQuery struct {
	entry   string        // the name of the entry
	class   Class         // the class of the entry
	urgent  bool          // whether the task may preempt tasks that run on lent capacity
	timeout time.Duration // the remaining time within which the task must start, 0 for no limit
	ahead   int           // the number of tasks ahead of it in its queue
	oldest  time.Duration // the age of the oldest task in its queue
	waiting int           // the number of tasks that wait in all queues
}

// Admission is the answer to an AdmissionQuery.
//
//value:generate
type Admission struct {
	accepted   bool          // whether the task joins the queue
	code       Code          // the reason code of a refusal
	retryAfter time.Duration // the time after which to retry
}

// AdmissionPolicy rejects tasks that would probably time out in their queue. One duty owns it.
type AdmissionPolicy interface {
	// Admit decides whether a task joins its queue.
	Admit(query AdmissionQuery, now time.Time) Admission
	// Left records that a task left the queue of an entry after a wait, and whether it was started.
	Left(entry string, waited time.Duration, started bool, now time.Time)
}

// WorkerRoom is the free capacity of one worker for the tasks of one stage.
//
//value:generate
type WorkerRoom struct {
	worker   string    // the identity of the worker
	rack     string    // the rack of the worker
	free     Resources // the free capacity
	capacity Resources // the capacity
	tasks    int       // the number of tasks of the stage that fit
}

// PickQuery describes the tasks of a stage to place.
//
//value:generate
type PickQuery struct {
	count    int           // the number of tasks
	need     Resources     // the resources that each task needs
	whole    bool          // whether all tasks must be placed or none
	sameRack bool          // whether the tasks run slower when they are spread over several racks
	rack     string        // the rack where the data is, empty for none
	waited   time.Duration // the time for which the job has waited
}

// WorkerPicker chooses workers for the tasks of a stage. It is stateless.
type WorkerPicker interface {
	// Pick returns a worker for each task that it could place, in order. It does not modify the candidates.
	Pick(query PickQuery, candidates []WorkerRoom) []string
}
