package almondcross

import (
	"time"

	"github.com/juju/errors"
)

//go:generate go run ./tools/valuer -output caller_generated.go caller.go

// The reasons for which a call is refused.
const (
	ErrNoConfiguration = errors.ConstError("no configuration yet")                      // ErrNoConfiguration means that this host has not read any version of the configuration.
	ErrUnknownQueue    = errors.ConstError("no such queue")                             // ErrUnknownQueue means that no queue has the host name and path of the request.
	ErrUnauthorized    = errors.ConstError("the call needs the key of a workspace")     // ErrUnauthorized means that the request had no key or one that no workspace has.
	ErrOtherWorkspace  = errors.ConstError("the identity is that of another workspace") // ErrOtherWorkspace means that the job belongs to another workspace than the caller.
)

// Caller is who sent a request and for which queue, as one version of the configuration tells.
//
//value:generate
type Caller struct {
	settings  QueueSettings // the settings of the queue
	workspace string        // the name of the workspace whose key the caller presented, empty if the queue requires none
}

// CallAuthorizer decides which calls the configuration in force allows, and which jobs a caller may see and change.
type CallAuthorizer interface {
	// Identify returns the caller of a request and the part of the path that follows the queue's prefix. It returns
	// ErrNoConfiguration, ErrUnknownQueue or ErrUnauthorized unless the call is allowed; with ErrUnauthorized, the caller has
	// the queue.
	Identify(host, path, key string) (caller Caller, rest string, err error)
	// Submitted returns the view of a job that a caller submits again and reports whether the job is known, or returns
	// ErrIdentityTaken if the identity is that of a job of another queue or workspace.
	Submitted(caller Caller, id JobID) (view JobView, known bool, err error)
	// MayCancel returns ErrOtherWorkspace if a job is known to belong to another workspace.
	MayCancel(caller Caller, id JobID) error
	// Lookup returns what the host knows of a job at a time, and its view if the job is known and the caller may see it.
	Lookup(caller Caller, id JobID, now time.Time) (JobView, JobKnowledge)
}

// DifferentWorkspaces reports whether two names are those of different workspaces. A caller without a workspace is one of an
// open queue or of a configuration without workspaces, and a job without one was accepted there or admitted by a scheduler of
// an earlier version; neither is kept from the other, since its owner could not be told apart.
func DifferentWorkspaces(first, second string) bool {
	return first != "" && second != "" && first != second
}
