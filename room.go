package almondcross

//go:generate go run ./tools/valuer -output room_generated.go room.go

// StateHolder is who holds a part of the memory for jobs: a workspace, or the callers of a queue that have none.
type StateHolder struct {
	Workspace string // Workspace is the name of a workspace, empty for callers without one.
	Queue     string // Queue is the name of a queue, empty for a workspace.
}

// Holder returns who holds the memory of the job.
func (job Job) Holder() StateHolder {
	if job.workspace != "" {
		return StateHolder{Workspace: job.workspace}
	}
	return StateHolder{Queue: job.queue}
}

// RoomQuery describes the memory for jobs, in bytes, and what a further job needs of it.
//
//value:generate
type RoomQuery struct {
	limit  int64 // the memory for the jobs of all holders
	used   int64 // the memory that the jobs of all holders take
	held   int64 // the memory that the jobs of the holder take
	needed int64 // the memory that the further job of the holder needs
}

// RoomPolicy decides whether a holder of memory for jobs may have more of it.
type RoomPolicy interface {
	// Fits reports whether a further job of a holder may be admitted.
	Fits(query RoomQuery) bool
}
