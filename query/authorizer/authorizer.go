package authorizer

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Config holds the dependencies of an authorizer.
type Config struct {
	Router almondcross.QueueRouter
	Jobs   almondcross.JobFinder
}

// Authorizer implements almondcross.CallAuthorizer. It is safe for concurrent use.
type Authorizer struct{ config Config }

var _ almondcross.CallAuthorizer = (*Authorizer)(nil)

// New returns an authorizer.
func New(config Config) *Authorizer { return &Authorizer{config: config} }

// Identify returns the caller of a request and the part of the path that follows the queue's prefix. The route comes before the
// key, so that a caller learns of a wrong path whether or not it has a key.
func (authorizer *Authorizer) Identify(host, path, key string) (almondcross.Caller, string, error) {
	for {
		settings, rest, found := authorizer.config.Router.Match(host, path)
		if !found {
			if authorizer.config.Router.Version() == 0 {
				return almondcross.Caller{}, "", errors.Trace(almondcross.ErrNoConfiguration)
			}
			return almondcross.Caller{}, "", errors.Trace(almondcross.ErrUnknownQueue)
		}
		workspace, allowed := authorizer.config.Router.Identify(settings.Queue(), key)
		if authorizer.config.Router.Version() != settings.Version() {
			continue // A newer version came into force meanwhile. The queue of one version and the keys of another are in force nowhere.
		}
		caller := almondcross.NewCaller(almondcross.CallerConfig{Settings: settings, Workspace: workspace})
		switch {
		case allowed:
			return caller, rest, nil
		case key == "":
			return caller, rest, errors.Annotate(almondcross.ErrUnauthorized, "no key")
		default:
			return caller, rest, errors.Annotate(almondcross.ErrUnauthorized, "unknown key")
		}
	}
}

// Submitted returns the view of a job that a caller submits again and reports whether the job is known, or returns
// ErrIdentityTaken if the identity is that of a job of another queue or workspace.
func (authorizer *Authorizer) Submitted(caller almondcross.Caller, id almondcross.JobID) (almondcross.JobView, bool, error) {
	view, known := authorizer.config.Jobs.Find(id)
	if known && (!view.Queue().Same(caller.Settings().Queue().ID()) || almondcross.DifferentWorkspaces(caller.Workspace(), view.Workspace())) {
		return almondcross.JobView{}, true, errors.Trace(almondcross.ErrIdentityTaken)
	}
	return view, known, nil
}

// MayCancel returns ErrOtherWorkspace if a job is known to belong to another workspace.
func (authorizer *Authorizer) MayCancel(caller almondcross.Caller, id almondcross.JobID) error {
	if view, known := authorizer.config.Jobs.Find(id); known && almondcross.DifferentWorkspaces(caller.Workspace(), view.Workspace()) {
		return errors.Trace(almondcross.ErrOtherWorkspace)
	}
	return nil
}

// Lookup returns what the host knows of a job at a time, and its view if the job is known and the caller may see it.
func (authorizer *Authorizer) Lookup(caller almondcross.Caller, id almondcross.JobID, now time.Time) (almondcross.JobView, almondcross.JobKnowledge) {
	return authorizer.config.Jobs.Lookup(id, caller.Settings().Queue().ID(), caller.Workspace(), now)
}
