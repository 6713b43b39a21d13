package almondcross

import "github.com/juju/errors"

//go:generate go run ./tools/valuer -output quota_generated.go quota.go

// WorkspaceUsage is what the runs of a workspace hold, beside its quota.
//
//value:generate
type WorkspaceUsage struct {
	workspace     string    // the name of the workspace
	held          Resources // what its runs without a recorded end hold
	quota         Resources // its quota
	waitingStages int       // the number of its stages that wait for its quota
}

// QuotaRoom returns how many tasks with a need, at most limit, a quota has room for beside what is held. A quota of 0 does
// not limit a resource.
func QuotaRoom(quota, held, need Resources, limit int) int {
	room := int64(limit)
	for _, amount := range [...]struct{ quota, held, need int64 }{
		{quota.milliCPU, held.milliCPU, need.milliCPU},
		{quota.memoryMB, held.memoryMB, need.memoryMB},
		{quota.accelerators, held.accelerators, need.accelerators},
		{quota.slots, held.slots, need.slots},
	} {
		if amount.quota > 0 && amount.need > 0 {
			room = min(room, max(amount.quota-amount.held, 0)/amount.need)
		}
	}
	return int(room)
}

// FitsQuota returns ErrExceedsQuota if a task of the step, or the whole step if it is a gang, is larger than a quota.
func (step Step) FitsQuota(quota Resources) error {
	together := 1
	if step.gang {
		together = step.count
	}
	if QuotaRoom(quota, Resources{}, step.resources, together) >= together {
		return nil
	}
	return errors.Annotatef(ErrExceedsQuota, "%d tasks of %d thousandths of a core, %d MB and %d accelerators at once, of at most %d, %d and %d",
		together, step.resources.milliCPU, step.resources.memoryMB, step.resources.accelerators, quota.milliCPU, quota.memoryMB, quota.accelerators)
}

// FitsQuota returns ErrExceedsQuota if a step of the job can never start within the quota of the job's workspace. A job of no
// workspace, or of one that the table does not have, has no quota.
func (routetable RouteTable) FitsQuota(job Job) error {
	workspace, known := routetable.Workspace(job.workspace)
	if job.workspace == "" || !known {
		return nil
	}
	for index, step := range job.steps {
		if err := step.FitsQuota(workspace.quota); err != nil {
			return errors.Annotatef(err, "step %d", index)
		}
	}
	return nil
}
