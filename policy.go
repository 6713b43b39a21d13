package almondcross

import (
	"cmp"
	"time"
)

//go:generate go run ./tools/valuer -output policy_generated.go policy.go

// BandShort is the band of the tasks with the shortest run times; they may use the reserved capacity.
const BandShort Band = 0

// TargetCapacity is the free capacity of one target that accepts new work.
//
//value:generate
type TargetCapacity struct {
	name        string    // the name of the target
	rack        string    // the rack of the target
	capacity    Resources // the capacity of the target
	free        Resources // the free capacity for short and urgent work
	regularFree Resources // the free capacity for other work, without the reserve
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
	// SetTarget adds a target or updates its free capacity.
	SetTarget(target TargetCapacity)
	// Remove removes a target from the candidates.
	Remove(target string)
	// Choose returns the target for a task and reports whether one was found.
	Choose(query PlacementQuery) (target string, ok bool)
	// AddPlaced records that a task of an entry was placed on a rack.
	AddPlaced(entry string, class Class, rack string)
	// RemovePlaced records that a task counted by AddPlaced no longer occupies the rack.
	RemovePlaced(entry string, class Class, rack string)
}

// ShareWeight is the weight of an entry within its owner. The weight of an owner is the sum of the weights with its name.
//
//value:generate
type ShareWeight struct {
	owner  string // the owner, such as a team or a workspace
	entry  string // the entry of the owner, such as a queue, empty for a weight of the owner as a whole
	weight int64  // the weight, at least 1
}

// SharePolicy ranks owners and entries by the ratio of their received to their promised share.
// One duty owns it.
type SharePolicy interface {
	// SetTotal sets the total capacity that is shared.
	SetTotal(total Resources)
	// SetWeights replaces the weights. Owners and entries without one have the weight 1.
	SetWeights(weights []ShareWeight)
	// Advance averages the usage of the owners up to a time, for RecentRatio. A role that does not use RecentRatio need not call it.
	Advance(now time.Time)
	// AddUsage adds the resources of one task to the usage of an entry.
	AddUsage(owner, entry string, resources Resources)
	// RemoveUsage subtracts the resources of one task that AddUsage added.
	RemoveUsage(owner, entry string, resources Resources)
	// Account returns the account of an entry of an owner. It remains valid and reflects later changes.
	Account(owner, entry string) ShareAccount
	// AddWaiting adds delta to the number of non-empty queues of an entry. The promised shares of
	// owners with neither waiting nor running work are lent to the others.
	AddWaiting(owner, entry string, delta int)
	// BorrowedShare returns the part of its dominant share by which an owner exceeds its promised share.
	BorrowedShare(owner string) float64
	// PromisedShare returns the fraction of the capacity that an owner is promised.
	PromisedShare(owner string) float64
	// FairShare returns the fraction of the capacity that an owner is currently entitled to, including its
	// part of the shares lent by others.
	FairShare(owner string) float64
}

// ShareAccount is the received share of one entry of one owner. Callers of SharePolicy.Account store it, so
// that a decision does not have to look up each waiting entry.
type ShareAccount interface {
	// OwnerRatio returns the received share of the owner divided by its weight. Half of its next task
	// is included, so that rounding to whole tasks favours neither small nor large owners. The owner
	// with the lowest ratio is served first. It changes only with the owner's usage, the total and
	// the weights.
	OwnerRatio(next Resources) float64
	// RecentRatio returns the same ratio for the average usage of the last seconds instead of the current one, which counts
	// little. An owner with a short burst then goes before one that has used as much for longer.
	RecentRatio(next Resources) float64
	// EntryRatio returns the same ratio for the entry within its owner.
	EntryRatio(next Resources) float64
	// ExceedsFairShare reports whether the additional resources would take the owner beyond its current fair share.
	ExceedsFairShare(additional Resources) bool
}

// RuntimeEstimator learns the run times of tasks by a key: the entry, or the queue and the image. One duty owns it.
type RuntimeEstimator interface {
	// Observe records the run time of an ended task with the run time that was declared for it, 0 for none.
	Observe(key string, declared, runTime time.Duration)
	// Estimate returns the run time within which most tasks of a key end.
	Estimate(key string, declared time.Duration) time.Duration
	// Quantile returns the run time within which a fraction of the tasks of a key end.
	Quantile(key string, declared time.Duration, fraction float64) time.Duration
	// Band returns the band of a task's expected run time.
	Band(key string, declared time.Duration) Band
	// StragglerThreshold returns the run time from which a task of a key counts as a straggler, 0 for never.
	StragglerThreshold(key string, declared time.Duration) time.Duration
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
	// Dequeued records that a task left the queue of an entry after a wait, and whether it was started.
	Dequeued(entry string, waited time.Duration, started bool, now time.Time)
}

// SpeedSample is a measurement of a worker's speed: a part of a run, or a whole one, with the time that it is expected to take
// on the usual worker and the time that it took.
//
//value:generate
type SpeedSample struct {
	worker      string        // the identity of the worker
	incarnation int64         // the incarnation of the worker
	expected    time.Duration // the time that the work is expected to take on the usual worker
	taken       time.Duration // the time that it took
	finished    bool          // whether it is a finished run rather than the progress of one
}

// SpeedChange is what a measurement changes in the judgement of a worker.
type SpeedChange int

// The changes of the judgement of a worker.
const (
	SpeedUnchanged SpeedChange = iota // SpeedUnchanged means that the worker is judged as before.
	SpeedSlow                         // SpeedSlow means that the worker has become slow.
	SpeedTrusted                      // SpeedTrusted means that a slow worker is trusted again.
)

// WorkerSpeeds estimates how fast workers run tasks, relative to the usual worker. One duty owns it.
type WorkerSpeeds interface {
	// Observe adds a measurement. A measurement of another incarnation replaces those of the earlier one.
	Observe(sample SpeedSample, now time.Time) SpeedChange
	// Speed returns the speed of a worker relative to the usual one, 1 without measurements.
	Speed(worker string) float64
	// Slow reports whether a worker is several times slower than the usual one.
	Slow(worker string) bool
	// TrialDue reports whether a slow worker is to get a run that shows whether it is still slow.
	TrialDue(worker string, now time.Time) bool
	// TrialPlaced records that a slow worker has got a run.
	TrialPlaced(worker string, now time.Time)
	// Balance computes the speed of the usual worker anew.
	Balance()
	// Forget removes a worker.
	Forget(worker string)
}

// WorkerCapacity is the free capacity of one worker for the tasks of one stage.
//
//value:generate
type WorkerCapacity struct {
	worker   string    // the identity of the worker
	rack     string    // the rack of the worker
	free     Resources // the free capacity
	capacity Resources // the capacity
	tasks    int       // the number of tasks of the stage that fit
	speed    float64   // the speed relative to the usual worker, 0 if it is not known
}

// PickQuery describes the tasks of a stage to place.
//
//value:generate
type PickQuery struct {
	count        int           // the number of tasks
	need         Resources     // the resources that each task needs
	allOrNothing bool          // whether all tasks must be placed or none
	sameRack     bool          // whether the tasks run slower when they are spread over several racks
	rack         string        // the rack where the data is, empty for none
	sinceReady   time.Duration // the time since the tasks became ready
}

// WorkerPicker chooses workers for the tasks of a stage. It is stateless.
type WorkerPicker interface {
	// Pick returns a worker for each task that it could place, in order. It does not modify the candidates.
	Pick(query PickQuery, candidates []WorkerCapacity) []string
}

// OrderQuery describes work that waits for capacity.
//
//value:generate
type OrderQuery struct {
	since             time.Time // the time at which it began to wait
	latestStart       time.Time // the latest start with which it is expected to be in time, zero without an objective
	latestUsefulStart time.Time // the latest start with which its result is expected to be of use
}

// OrderRank is the place of waiting work in the order.
//
//value:generate
type OrderRank struct {
	overdue bool      // whether it has waited so long that it goes before all other work of its priority
	group   int       // the group; a lower one goes first
	key     time.Time // the order within a group; an earlier one goes first
}

// Compare orders ranks.
func (orderrank OrderRank) Compare(other OrderRank) int {
	if orderrank.overdue != other.overdue {
		if orderrank.overdue {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(orderrank.group, other.group), orderrank.key.Compare(other.key))
}

// OrderPolicy orders waiting work of the same priority. It is stateless.
type OrderPolicy interface {
	// Rank returns the rank of work at a time.
	Rank(query OrderQuery, now time.Time) OrderRank
}
