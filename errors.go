package almondcross

import "github.com/juju/errors"

// Errors of the interfaces of this package; adapters turn the errors of their protocols into these.
const (
	ErrLogRefused          = errors.ConstError("the log did not take the records")
	ErrLogUncertain        = errors.ConstError("the log may have taken the records")
	ErrLogUnreachable      = errors.ConstError("the log cannot be reached")
	ErrLogTrimmed          = errors.ConstError("the log no longer keeps the offset")
	ErrLeaseHeld           = errors.ConstError("another host holds the lease of the target")
	ErrTermStale           = errors.ConstError("the term of the lease ended")
	ErrTargetRefused       = errors.ConstError("the target refused the task")
	ErrTargetLeaving       = errors.ConstError("the target accepts no new work")
	ErrWorkerUnreachable   = errors.ConstError("the worker cannot be reached")
	ErrLiveListUnreachable = errors.ConstError("the live list cannot be reached")
)
