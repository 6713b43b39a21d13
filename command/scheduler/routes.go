package scheduler

import "github.com/almondcross/almondcross"

// queuePath is the host and the prefix under which callers reach a queue.
type queuePath struct{ host, prefix string }

func pathOf(queue almondcross.Queue) queuePath {
	return queuePath{host: queue.Host(), prefix: queue.Prefix()}
}

// setRoutes puts a route table in force.
func (machine *Machine) setRoutes(table almondcross.RouteTable) {
	machine.routes = table
	machine.queues = make(map[string]almondcross.Queue, len(table.Queues()))
	machine.queuesAt = make(map[queuePath]almondcross.Queue, len(table.Queues()))
	for _, queue := range table.Queues() {
		machine.queues[queue.Name()] = queue
		machine.queuesAt[pathOf(queue)] = queue
	}
}

// queue returns the queue of a job as the newer of two versions has it: the one that the job was accepted with and the one
// in force on this host, unless that one has no such queue.
func (machine *Machine) queue(job *job) almondcross.Queue {
	if machine.routes.Version() >= job.settings.Version() {
		if queue, known := machine.queueInForce(job); known && queue.Pool() != "" {
			return queue
		}
	}
	return job.settings.Queue()
}

// queueInForce returns the queue of a job in the version in force and reports whether it has one: the queue at the path at which the
// job was accepted, whatever its name is now, or else the queue of the same name.
func (machine *Machine) queueInForce(job *job) (almondcross.Queue, bool) {
	named, known := machine.queues[job.spec.Queue()]
	accepted := pathOf(job.settings.Queue())
	if known && pathOf(named) == accepted {
		return named, true
	}
	if queue, found := machine.queuesAt[accepted]; found && job.settings.Known() {
		return queue, true
	}
	return named, known
}
