package almondcross

import "time"

// Band is a range of expected run times; tasks in a lower band are shorter.
type Band int

// Task is one unit of work on one target.
//
//value:generate
type Task struct {
	id          TaskID        // the identity of the task
	entry       string        // the name of the entry
	owner       string        // the owner of the entry
	class       Class         // the class of the entry
	resources   Resources     // the resources that the task needs
	payload     []byte        // the input of the work
	repeatable  bool          // whether the task may run again after a failure
	urgent      bool          // whether the task may preempt tasks that run on lent capacity
	size        int           // the number of tasks of the request that must start together
	attempt     int           // the number of the attempt, which increases with each placement of the key
	coordinator MemberID      // the member and incarnation that coordinates the key
	maxRun      time.Duration // the time after which the task is stopped, 0 for no limit
	maxRunning  int           // the maximum number of running tasks of its entry in a data centre, 0 for no limit
	expectedRun time.Duration // the expected run time
	timeout     time.Duration // the remaining time within which the task must start, as of sending, 0 for no limit
	avoid       string        // the target on which the last attempt failed, empty for none
	lostTargets int           // the number of earlier attempts whose target restarted or disappeared under them
}

// MaxLostTargets is the number of targets that may restart or disappear under attempts of one key before the key is
// given up. One or two may have been lost for another reason, such as a second task that ran on them.
const MaxLostTargets = 3

// Suspect reports whether the next loss of a target ends the key of the task. Two such tasks of one target would be
// blamed for the same loss, so holders run them on different targets.
func (task Task) Suspect() bool { return task.lostTargets >= MaxLostTargets-1 }

// TaskResult is the result of one attempt of a task.
//
//value:generate
type TaskResult struct {
	id       TaskID        // the identity of the task
	attempt  int           // the number of the attempt
	code     Code          // the reason code of an end without an answer, empty for success
	answer   []byte        // the complete answer
	checksum uint64        // the xxhash of the complete answer as computed by the worker
	ran      time.Duration // the run time of the attempt
}

// Term numbers the leases of a target; a worker refuses every term except the current one.
//
//value:generate
type Term struct {
	boot    uint64 // the number of the worker's boot
	counter uint64 // the number of the grant within the boot
}

// Less reports whether the term is older than another one of the same target.
func (term Term) Less(other Term) bool {
	if term.boot != other.boot {
		return term.boot < other.boot
	}
	return term.counter < other.counter
}

// InventoryItem is one task that a worker holds.
//
//value:generate
type InventoryItem struct {
	task     Task       // the task
	finished bool       // whether the task has ended
	result   TaskResult // the result of an ended task
}

// Grant is a worker's answer to an acquired lease.
//
//value:generate
type Grant struct {
	target    string          // the name of the target
	term      Term            // the term of the lease
	capacity  Resources       // the capacity of the target
	leaving   bool            // whether the target accepts no new work
	inventory []InventoryItem // the tasks on the target
	events    uint64          // the index of the last event that the worker recorded
}

// Renewal is a worker's answer to a renewed lease.
//
//value:generate
type Renewal struct {
	leaving bool      // whether the target accepts no new work
	usage   Resources // the usage that the worker measured, with a delay
}

// WorkerEvent is the end of one attempt as reported by a worker.
//
//value:generate
type WorkerEvent struct {
	index  uint64     // the position in the worker's event list
	result TaskResult // the result of the attempt
}
