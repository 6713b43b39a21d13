package emulator

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/replicator"
)

// setRoutes publishes a route table.
func (simulation *Simulation) setRoutes(table almondcross.RouteTable) {
	simulation.routes = table
	simulation.published = append(simulation.published, table)
}

// routesSource returns the stored form of a published route table: the model stores its version alone.
func routesSource(table almondcross.RouteTable) []byte {
	return strconv.AppendInt(nil, table.Version(), 10)
}

// routesDecoder decodes what routesSource returns.
type routesDecoder struct{ simulation *Simulation }

// DecodeRoutes returns the published route table with a stored form.
func (routesdecoder routesDecoder) DecodeRoutes(source []byte) (almondcross.RouteTable, error) {
	for _, table := range routesdecoder.simulation.published {
		if string(routesSource(table)) == string(source) {
			return table, nil
		}
	}
	return almondcross.RouteTable{}, errors.NotFoundf("version %s", source)
}

// ErrorOffset returns that the place of an error is not known.
func (routesdecoder routesDecoder) ErrorOffset(error) (int64, bool) { return 0, false }

// machineSink passes messages to the scheduler's machine of a host.
type machineSink struct{ host *modelHost }

// Offer delivers a message.
func (machinesink machineSink) Offer(message almondcross.SchedulerMessage) bool {
	machinesink.host.deliver(message)
	return true
}

// Put delivers a message.
func (machinesink machineSink) Put(_ context.Context, message almondcross.SchedulerMessage) error {
	machinesink.host.deliver(message)
	return nil
}

// newReplicator returns the machine that replicates the configuration of a host that starts.
func (modelhost *modelHost) newReplicator() *replicator.Machine {
	return replicator.NewMachine(replicator.Config{
		Decoder: routesDecoder{modelhost.simulation}, Links: modelhost, SetRoutes: modelhost.router.Set, Scheduler: machineSink{modelhost},
		Log: hostLog{modelhost},
	})
}

// replicate passes a message to the machine that replicates the configuration, once the host is not frozen.
func (modelhost *modelHost) replicate(message almondcross.RoutesMessage) {
	modelhost.runUnfrozen(func() {
		modelhost.replicator.Apply(message, modelhost.simulation.wallTime())
		modelhost.advanceRoutes()
	})
}

// advanceRoutes does what the replication has to do, and wakes it up when more is due.
func (modelhost *modelHost) advanceRoutes() {
	now := modelhost.simulation.wallTime()
	modelhost.replicator.Advance(now)
	modelhost.routesWakeID++
	wakeID := modelhost.routesWakeID
	if deadline, due := modelhost.replicator.NextDeadline(); due {
		modelhost.schedule(max(deadline.Sub(now), time.Millisecond), func() {
			if modelhost.routesWakeID == wakeID {
				modelhost.advanceRoutes()
			}
		})
	}
}

// routesLinkChanged tells a host that another one has opened a link to it, or that a link has ended.
// uplink is the number of a link that the host itself had opened, 0 for the link of the other one.
func (modelhost *modelHost) routesLinkChanged(other *modelHost, uplink int, present bool) {
	modelhost.replicate(almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{
		End: almondcross.LinkEnd{Host: other.name, Uplink: int64(uplink)}, Present: present,
	}))
}

// SendRoutes sends a message over the link between this host and another one.
func (modelhost *modelHost) SendRoutes(end almondcross.LinkEnd, message almondcross.RoutesLinkMessage) bool {
	simulation, other := modelhost.simulation, modelhost.simulation.host(end.Host)
	opener, acceptor, sender := other, modelhost, almondcross.LinkEnd{Host: modelhost.name}
	if end.Uplink != 0 {
		opener, acceptor = modelhost, other
	} else if other != nil {
		sender.Uplink = int64(other.linkCount)
	}
	if opener == nil || opener.linkedTo != acceptor {
		return false
	}
	simulation.traffic.sent(modelhost, message, 1)
	simulation.traffic.received(other, message)
	incarnation, link := other.incarnation, opener.linkCount
	simulation.schedule(simulation.linkHold(opener, acceptor)+linkDelay, func() {
		if other.incarnation == incarnation && opener.linkedTo == acceptor && opener.linkCount == link {
			other.replicate(message.From(sender))
		}
	})
	return true
}
