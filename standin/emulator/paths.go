package emulator

import (
	"math/rand/v2"
	"time"
)

// path is the way of one order: from a host to a worker and back.
type path struct {
	host   *modelHost
	worker *modelWorker
}

// pathFault is a fault of one path. The other paths of the host and of the worker work.
type pathFault struct {
	until        time.Duration
	orderLoss    float64 // orderLoss is the fraction of lost orders.
	responseLoss float64 // responseLoss is the fraction of lost responses; their orders are carried out.
	delay        time.Duration
}

// randomPathFault draws a path that is one-way, lossy in both directions, or slow.
func (simulation *Simulation) randomPathFault(until time.Duration) pathFault {
	loss := 0.3 + 0.6*simulation.random.Float64()
	switch simulation.random.IntN(4) {
	case 0:
		return pathFault{until: until, orderLoss: 1}
	case 1:
		return pathFault{until: until, responseLoss: 1}
	case 2:
		return pathFault{until: until, orderLoss: loss, responseLoss: loss}
	default:
		return pathFault{until: until, delay: 50*time.Millisecond + time.Duration(simulation.random.Int64N(int64(1500*time.Millisecond)))}
	}
}

// breakPaths makes the paths between the scheduler and some other hosts and a share of the workers faulty.
func (simulation *Simulation) breakPaths(fault Fault, until time.Duration) {
	hosts := append(randomShare(simulation, simulation.hosts, fault.Share), simulation.scheduler())
	workers := randomShare(simulation, simulation.workers, 3*fault.Share)
	for _, host := range hosts {
		simulation.disturbances.disturbHost(host, until)
		for _, worker := range workers {
			simulation.faults.paths[path{host: host, worker: worker}] = simulation.randomPathFault(until)
		}
	}
}

func (activefaults *activeFaults) pathFault(now time.Duration, host *modelHost, worker *modelWorker) pathFault {
	if now < activefaults.workerIsolatedUntil[worker] {
		return pathFault{orderLoss: 1, responseLoss: 1}
	}
	if fault := activefaults.paths[path{host: host, worker: worker}]; now < fault.until {
		return fault
	}
	return pathFault{}
}

// occurs draws whether an event of a probability occurs.
func occurs(probability float64, random func(purpose string) *rand.Rand, purpose string) bool {
	return probability > 0 && random(purpose).Float64() < probability
}
