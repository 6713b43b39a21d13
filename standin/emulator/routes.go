package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Timing of the hosts' reads of the configuration.
const (
	routesReadInterval = 100 * time.Millisecond
	routesRetryDelay   = 150 * time.Millisecond
	// promptRoutesDelay is the longest delay of most versions, lateRoutesDelay that of a share of lateRoutesShare, whose
	// answer is held up. A host in touch may take 2.5 s to apply a version.
	promptRoutesDelay = 50 * time.Millisecond
	lateRoutesDelay   = 2300 * time.Millisecond
	lateRoutesShare   = 0.35
)

// Routes that are added during a simulation.
const (
	addedRouteJobsPerSec = 5
	// removedRouteShare is the fraction of the added routes that are removed for good at the end of their fault.
	removedRouteShare = 0.7
)

// queueHost is the host name of all queues.
const queueHost = "queue.example"

func (simulation *Simulation) newQueue(name string, priority, attempts int, base, perWorker time.Duration) almondcross.Queue {
	return almondcross.NewQueue(almondcross.QueueConfig{
		Name: name, Host: queueHost, Prefix: "/" + name + "/", Pool: poolName, Priority: priority, MaxAttempts: attempts,
		Stretch: 2, LatencyTarget: time.Second,
		AdviceSettings: almondcross.NewAdviceSettings(almondcross.AdviceSettingsConfig{
			Required: simulation.config.AdviceShare > 0, Base: base, PerWorker: perWorker, Validity: simulation.advice.validity,
		}),
	})
}

// publishRoutes publishes the next version of the route table. Each host reads it by itself, or gets it over its link.
func (simulation *Simulation) publishRoutes(queues ...almondcross.Queue) {
	simulation.setRoutes(almondcross.NewRouteTable(almondcross.RouteTableConfig{
		Version: simulation.routes.Version() + 1, Queues: queues,
		Pools:      []almondcross.Pool{almondcross.NewPool(almondcross.PoolConfig{Name: poolName})},
		Workspaces: simulation.routes.Workspaces(), KeysRequired: simulation.config.Workspaces > 0,
	}))
	for _, queue := range queues {
		simulation.everyQueue[queue.Name()] = queue
	}
}

// changeRoutes adds a route and lets callers submit jobs on it. Most routes are removed at the end of the fault, while
// callers go on until every host in touch has read the change.
func (simulation *Simulation) changeRoutes(until time.Duration) {
	added := simulation.newQueue(fmt.Sprintf("added-%d", simulation.routes.Version()), 2, 3, 46*time.Millisecond, 660*time.Microsecond)
	simulation.publishRoutes(append(slices.Clone(simulation.routes.Queues()), added)...)
	simulation.scheduleJobs(simulation.now, until+lateRoutesDelay-simulation.now, addedRouteJobsPerSec, added.Name())
	if simulation.random.Float64() >= removedRouteShare {
		return
	}
	simulation.schedule(until-simulation.now, func() {
		simulation.publishRoutes(slices.DeleteFunc(slices.Clone(simulation.routes.Queues()), func(queue almondcross.Queue) bool {
			return queue.Name() == added.Name()
		})...)
	})
}

// readRoutes reads the newest route table and repeats this until the host restarts.
func (modelhost *modelHost) readRoutes() {
	simulation := modelhost.simulation
	modelhost.storeCall(false, func() func() {
		table := simulation.routes
		return func() {
			if table.Version() <= modelhost.router.Version() {
				modelhost.schedule(routesReadInterval, modelhost.readRoutes)
				return
			}
			modelhost.schedule(simulation.routesDelay(), func() {
				modelhost.replicate(almondcross.NewRoutesStored(almondcross.RoutesStoredConfig{
					Record: almondcross.NewRoutesRecord(almondcross.RoutesRecordConfig{Table: table, Source: routesSource(table)}),
				}))
				modelhost.schedule(routesReadInterval, modelhost.readRoutes)
			})
		}
	}, func(error) { modelhost.schedule(routesRetryDelay, modelhost.readRoutes) })
}

// routesDelay draws how long a version is held up on its way to a host.
func (simulation *Simulation) routesDelay() time.Duration {
	if simulation.random.Float64() < lateRoutesShare {
		return randomDuration(simulation.random, lateRoutesDelay)
	}
	return randomDuration(simulation.random, promptRoutesDelay)
}

// settingsOf returns the settings by which a host accepts a job, and false if the host's route table does not have its queue.
func (modelhost *modelHost) settingsOf(job almondcross.Job) (almondcross.QueueSettings, bool) {
	settings, _, found := modelhost.router.Match(queueHost, pathOf(job))
	return settings, found
}

// pathOf returns the path by which callers name a job.
func pathOf(job almondcross.Job) string { return "/" + job.Queue() + "/" + string(job.ID()) }

// routed reports whether callers can still ask for the jobs of a queue.
func (simulation *Simulation) routed(queue string) bool {
	_, known := simulation.routes.Queue(queue)
	return known
}

// attemptLimits returns the least and the greatest number of failed runs after which no task of a job may be started. They
// differ if the job was also submitted on another queue, since either submission may be the admitted one.
func (simulation *Simulation) attemptLimits(job *modelJob) (least, greatest int) {
	least = simulation.everyQueue[job.spec.Queue()].MaxAttempts()
	greatest = least
	if other, known := simulation.everyQueue[job.otherQueue]; known {
		least, greatest = min(least, other.MaxAttempts()), max(greatest, other.MaxAttempts())
	}
	return least, greatest
}
