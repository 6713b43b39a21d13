package almondcross

//go:generate go run ./tools/valuer -output placing_generated.go placing.go

// DispatcherManager starts and stops the dispatchers of targets.
type DispatcherManager interface {
	// Create starts the dispatcher of a target, without a lease, and returns the ring of its messages.
	Create(target Target) Sink[DispatcherMessage]
	// Drop stops the dispatcher of a target; messages that it has not processed are discarded.
	Drop(target string)
}

// CheckpointTask tells a dispatcher to ask a task to save its progress.
//
//value:generate
type CheckpointTask struct {
	term Term   // the term of the lease
	id   TaskID // the identity of the task
}

// ThrottleTask tells a dispatcher to limit the processor time of a task.
//
//value:generate
type ThrottleTask struct {
	term    Term   // the term of the lease
	id      TaskID // the identity of the task
	percent int    // the allowed percentage of the processor time
}

func (CheckpointTask) dispatcherMessage() {}
func (ThrottleTask) dispatcherMessage()   {}
