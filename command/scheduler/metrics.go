package scheduler

import "github.com/almondcross/almondcross"

// Metrics counts decisions.
type Metrics interface {
	// Elected counts an election that was won.
	Elected()
	// CommitRepeated counts an append that was sent again.
	CommitRepeated()
	// JobRepeated counts a job that was submitted again.
	JobRepeated()
	// Admitted counts an admitted job of a queue.
	Admitted(queue string)
	// Finished counts a job of a queue that became final.
	Finished(queue string, state almondcross.JobState)
	// StartAnswered counts a start order by the result of its answer.
	StartAnswered(result almondcross.OrderResult)
	// StopSent counts a stop order by the reason for it.
	StopSent(reason string)
	// Ended counts an end of a run by its kind.
	Ended(kind almondcross.EndKind)
	// FormatUnknown counts a scheduler whose journal this host cannot read in full.
	FormatUnknown()
	// RoomRefused counts a job or cancellation of a queue for which the state had no room.
	RoomRefused(queue string)
	// StateHeld sets the memory in bytes that the jobs of the state are estimated to take, and its limit, 0 for none. A host that is not
	// the scheduler has neither.
	StateHeld(used, limit int64)
	// StateTooLarge counts a state that this host could not hold.
	StateTooLarge()
	// Examined counts how often a worker was looked at in a placement pass, the main cost of placement.
	Examined(workers int)
	// Workspaces replaces the usage of all workspaces, sorted by name. A host that is not the scheduler has none.
	Workspaces(usages []almondcross.WorkspaceUsage)
	// Advised counts an answer of the advice service.
	Advised(queue string, allowed, asked int)
	// WorkerPaced counts a worker that was found slow, or trusted again.
	WorkerPaced(slow bool)
}
