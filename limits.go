package almondcross

//go:generate go run ./tools/valuer -output limits_generated.go limits.go

// HostCapacity is what a scheduling host may use for its clients and for itself.
//
//value:generate
type HostCapacity struct {
	memoryBytes int64 // the memory that the process may use, in bytes
	descriptors int   // the file descriptors that the process may open
}

// ClientLimits bounds what all clients of a scheduling host take together, in bytes of memory and in connections.
//
//value:generate
type ClientLimits struct {
	bodyBytes         int64 // the bytes that the bodies of requests and the jobs decoded from them may take
	headerBytes       int64 // the bytes that headers with many lines may take once they are decoded
	linkBytes         int64 // the bytes that large messages of other hosts may take while they arrive
	stateBytes        int64 // the bytes that accepted jobs may take, as far as the host knows them
	intakeBytes       int64 // the bytes of jobs that all hosts together may store for a scheduler that they do not reach
	callerConnections int   // the open connections of callers
	linkConnections   int   // the open connections of other hosts
	checkConnections  int   // the open connections for metrics, and as many for readiness
}

// Limiter bounds an amount that clients take together, such as bytes of bodies or connections. Its methods may be called
// from any goroutine and do not block.
type Limiter interface {
	// Take takes a further amount for a client that holds some already. It reports false, and takes nothing, if the limit
	// does not allow it.
	Take(held, more int64) bool
	// Return returns an amount that was taken.
	Return(amount int64)
}
