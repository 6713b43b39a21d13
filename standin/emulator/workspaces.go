package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// keysPerWorkspace is the number of keys that each workspace has at first. Its callers share them evenly.
const keysPerWorkspace = 2

// keyTime is how long after a change of the keys every host in touch judges by them.
const keyTime = 4 * time.Second

// key is the key of a workspace's callers.
type key struct {
	workspace string
	text      string
}

// workspaceOf returns the name of a workspace.
func workspaceOf(index int) string { return fmt.Sprintf("ws-%d", index) }

// newWorkspaces returns the workspaces of the first configuration, none if the simulation has none.
func (simulation *Simulation) newWorkspaces() []almondcross.Workspace {
	var workspaces []almondcross.Workspace
	for index := range simulation.config.Workspaces {
		workspace := almondcross.NewWorkspace(almondcross.WorkspaceConfig{Name: workspaceOf(index)})
		for range keysPerWorkspace {
			workspace = simulation.withNewKey(workspace)
		}
		workspaces = append(workspaces, workspace)
	}
	return workspaces
}

func (simulation *Simulation) withNewKey(workspace almondcross.Workspace) almondcross.Workspace {
	simulation.keyCount++
	text := fmt.Sprintf("%s-key-%d", workspace.Name(), simulation.keyCount)
	simulation.keysSince[text] = simulation.now
	return workspace.WithKeys(append(slices.Clone(workspace.Keys()), text))
}

// drawKey gives a job to the callers of a workspace, none without workspaces. It takes no random number, so that the jobs of a seed
// are those of the simulation without workspaces.
func (simulation *Simulation) drawKey(job *modelJob) {
	if workspaces := simulation.routes.Workspaces(); len(workspaces) > 0 {
		workspace := workspaces[simulation.jobCount%len(workspaces)]
		job.key.workspace = workspace.Name()
		simulation.renewKey(job)
	}
}

// renewKey gives the callers of a job a key that its workspace has now. Without any, they go on with theirs.
func (simulation *Simulation) renewKey(job *modelJob) {
	workspace, _ := simulation.routes.Workspace(job.key.workspace)
	if keys := workspace.Keys(); len(keys) > 0 {
		job.key.text = keys[simulation.jobCount%len(keys)]
	}
}

// anyKey returns a key that some workspace has now, empty without workspaces.
func (simulation *Simulation) anyKey() string {
	for _, workspace := range simulation.routes.Workspaces() {
		if keys := workspace.Keys(); len(keys) > 0 {
			return keys[0]
		}
	}
	return ""
}

// revokeKeys revokes one key of the first workspace and all keys of the second one while their callers go on. At the end of the
// fault, both get a new key.
func (simulation *Simulation) revokeKeys(until time.Duration) {
	simulation.changeWorkspaces(func(index int, workspace almondcross.Workspace) almondcross.Workspace {
		kept := workspace.Keys()
		switch index {
		case 0:
			kept = kept[1:]
		case 1:
			kept = nil
		}
		for _, text := range workspace.Keys() {
			if !slices.Contains(kept, text) {
				simulation.keysUntil[text] = simulation.now
			}
		}
		return workspace.WithKeys(kept)
	})
	simulation.schedule(until-simulation.now, func() {
		simulation.changeWorkspaces(func(index int, workspace almondcross.Workspace) almondcross.Workspace {
			if index > 1 {
				return workspace
			}
			return simulation.withNewKey(workspace)
		})
	})
}

// changeWorkspaces publishes a version of the configuration with changed workspaces.
func (simulation *Simulation) changeWorkspaces(change func(index int, workspace almondcross.Workspace) almondcross.Workspace) {
	var workspaces []almondcross.Workspace
	for index, workspace := range simulation.routes.Workspaces() {
		workspaces = append(workspaces, change(index, workspace))
	}
	simulation.setRoutes(simulation.routes.WithVersion(simulation.routes.Version() + 1).WithWorkspaces(workspaces))
}

// identify returns the caller of a job as a host sees it, and checks that a host in touch accepts just the keys of the newest
// configuration.
func (modelhost *modelHost) identify(job almondcross.Job, presented key) (almondcross.Caller, error) {
	simulation := modelhost.simulation
	caller, _, err := modelhost.access.Identify(queueHost, pathOf(job), presented.text)
	if presented.workspace == "" || err != nil && !errors.Is(err, almondcross.ErrUnauthorized) || !simulation.disturbances.inTouch(modelhost, simulation.now) {
		return caller, err
	}
	since := simulation.keysSince[presented.text]
	until, revoked := simulation.keysUntil[presented.text]
	switch {
	case err == nil && revoked && simulation.now-until > keyTime:
		simulation.checker.addViolation("KEY", "%s accepts %s, which was revoked %s ago", modelhost.name, presented.text, simulation.now-until)
	case presented.text == "" && err == nil:
		simulation.checker.addViolation("KEY", "%s accepts a caller without a key", modelhost.name)
	case presented.text == "": // Its workspace has had no key since the job was drawn.
	case err != nil && !revoked && simulation.now-since > keyTime:
		simulation.checker.addViolation("KEY", "%s refuses %s, which is valid since %s", modelhost.name, presented.text, simulation.now-since)
	case err == nil && caller.Workspace() != presented.workspace:
		simulation.checker.addViolation("KEY", "%s takes %s for a key of %q", modelhost.name, presented.text, caller.Workspace())
	}
	return caller, err
}

// foreignCancelShare is the fraction of the accepted jobs that callers of another workspace try to cancel.
const foreignCancelShare = 0.05

// cancelFromElsewhere lets callers of another workspace try to cancel some jobs right after their acceptance, when most hosts and in
// some cases the scheduler do not know them yet. The jobs must go on.
func (simulation *Simulation) cancelFromElsewhere(job *modelJob) {
	workspaces := simulation.routes.Workspaces()
	if len(workspaces) < 2 || simulation.random.Float64() >= foreignCancelShare {
		return
	}
	workspace := workspaces[simulation.random.IntN(len(workspaces))]
	host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	if workspace.Name() == job.key.workspace || len(workspace.Keys()) == 0 || !host.answers() {
		return
	}
	cancelled := job.spec.WithSteps(nil).WithPayload("").WithWorkspace(workspace.Name())
	caller, err := host.identify(cancelled, key{workspace: workspace.Name(), text: workspace.Keys()[0]})
	if err != nil || host.access.MayCancel(caller, cancelled.ID()) != nil {
		return
	}
	intake := almondcross.NewIntake(almondcross.IntakeConfig{Job: cancelled, Settings: caller.Settings(), Cancel: true})
	host.storeIntake(intake, func() {}, func() {}, func() {})
}

// checkAccess asks a host for a job with the key of another workspace, and whether that may cancel it. Neither may succeed.
func (checker *checker) checkAccess(host *modelHost, job *modelJob) {
	simulation := checker.simulation
	for _, workspace := range simulation.routes.Workspaces() {
		if workspace.Name() == job.key.workspace || len(workspace.Keys()) == 0 {
			continue
		}
		other := key{workspace: workspace.Name(), text: workspace.Keys()[0]}
		if status, _ := host.ask(pathOf(job.spec), other.text); status == http.StatusOK {
			checker.addViolation("ACCESS", "%s shows %s of %s to %s", host.name, job.spec.ID(), job.key.workspace, other.workspace)
		}
		caller, err := host.identify(job.spec, other)
		_, known := host.jobTable.Find(job.spec.ID())
		if err == nil && known && host.access.MayCancel(caller, job.spec.ID()) == nil {
			checker.addViolation("ACCESS", "%s lets %s cancel %s of %s", host.name, other.workspace, job.spec.ID(), job.key.workspace)
		}
		return
	}
}
