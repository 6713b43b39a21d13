package almondcross

import "github.com/juju/errors"

// Errors of the interfaces of this package; adapters turn the errors of their protocols into these.
const (
	ErrLogRefused          = errors.ConstError("the log refused the records")
	ErrLogUncertain        = errors.ConstError("the log may have stored the records")
	ErrLogUnreachable      = errors.ConstError("the log cannot be reached")
	ErrLogTrimmed          = errors.ConstError("the log was trimmed beyond the offset")
	ErrLeaseHeld           = errors.ConstError("another host holds the lease of the target")
	ErrTermStale           = errors.ConstError("the term of the lease has ended")
	ErrTargetRefused       = errors.ConstError("the target refused the task")
	ErrTargetLeaving       = errors.ConstError("the target accepts no new work")
	ErrWorkerUnreachable   = errors.ConstError("the worker cannot be reached")
	ErrLiveListUnreachable = errors.ConstError("the live list cannot be reached")
	ErrInvalidJob          = errors.ConstError("the job is not valid")
	ErrExceedsQuota        = errors.ConstError("more than the quota of the workspace can ever hold")
)
