package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// maxIdleWait is how long a stage that has to start soon waits beside free room that it could use, for gangs or for better workers.
// An accepted job must not have nothing running for 3 s while there is room for it.
const maxIdleWait = 2 * time.Second

// crowdedUse is the share of the capacity of a pool in use from which it counts as crowded. Below it, a stage that waits for the ends
// of runs finds room soon, or waits for workers that are not going to be released.
const crowdedUse = 0.5

// mustStartSoon reports whether a stage waits for no longer than maxIdleWait beside free room: a service at any time, others while their
// pool is not crowded.
func (machine *Machine) mustStartSoon(queue almondcross.Queue, stage *stage) bool {
	return stage.spec.Service() || !machine.crowded(queue.Pool())
}

// crowded reports whether crowdedUse of the capacity of a pool is in use at the time of its first call in a pass.
func (machine *Machine) crowded(pool string) bool {
	if crowded, known := machine.leader.crowdedPools[pool]; known {
		return crowded
	}
	var used, capacity almondcross.Resources
	for _, worker := range machine.leader.sortedWorkers {
		if worker.announced && worker.info.Pool() == pool {
			used, capacity = used.Add(worker.used), capacity.Add(worker.info.Capacity())
		}
	}
	crowded := used.Dominant(capacity) >= crowdedUse
	machine.leader.crowdedPools[pool] = crowded
	return crowded
}
