package emulator

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
)

// setLink closes the current link and opens one to the scheduler's host, also if that is the same one: a new link reports the
// strength of this host to it. Without a scheduler's host, or if it is this host, setLink only closes the link.
func (modelhost *modelHost) setLink(announced scheduler.AnnounceScheduler) {
	simulation := modelhost.simulation
	target := simulation.host(announced.Pointer.Host())
	modelhost.wantedLink, modelhost.announced = target, announced
	if previous := modelhost.linkedTo; previous != nil {
		modelhost.linkedTo = nil
		modelhost.routesLinkChanged(previous, modelhost.linkCount, false)
		simulation.schedule(simulation.linkHold(modelhost, previous)+linkDelay, func() {
			if previous.up {
				previous.routesLinkChanged(modelhost, 0, false)
				previous.deliver(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: modelhost.name}))
			}
		})
	}
	if target == nil || target == modelhost {
		return
	}
	incarnation := modelhost.incarnation
	if hold := simulation.linkHold(modelhost, target); hold > 0 {
		simulation.schedule(hold, func() {
			if modelhost.incarnation == incarnation && modelhost.wantedLink == target && modelhost.linkedTo == nil {
				modelhost.setLink(announced)
			}
		})
		return
	}
	simulation.schedule(3*linkDelay, func() {
		if modelhost.incarnation == incarnation && target.up && modelhost.linkedTo == nil {
			modelhost.linkedTo = target
			modelhost.linkCount++
			simulation.traffic.received(target, almondcross.NewHostHello(almondcross.HostHelloConfig{
				Host: modelhost.name, Strength: announced.Strength, Address: modelhost.name, SchedulerEpoch: announced.Pointer.Epoch(), Ends: announced.Ends,
			}))
			target.deliver(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
				Host: modelhost.name, Present: true, Strength: announced.Strength, Address: modelhost.name,
				DataCentre: modelhost.dataCentre(), ViewFormat: modelhost.viewFormat(), SchedulerEpoch: announced.Pointer.Epoch(),
				Format: modelhost.machine.Format(), StateBytes: simulation.config.StateBytes, Ends: announced.Ends,
			}))
			target.routesLinkChanged(modelhost, 0, true)
		}
	})
}

// redialDelay is the time between two attempts to link to a process that has ended.
const redialDelay = 250 * time.Millisecond

// breakLinks breaks the links to a process that has ended. The linked hosts learn it at once and dial again.
func (modelhost *modelHost) breakLinks() {
	for _, other := range modelhost.simulation.hosts {
		if other.linkedTo != modelhost {
			continue
		}
		other.linkedTo = nil
		other.routesLinkChanged(modelhost, other.linkCount, false)
		incarnation := other.incarnation
		modelhost.simulation.schedule(modelhost.simulation.linkHold(other, modelhost)+linkDelay, func() {
			if other.incarnation == incarnation && other.wantedLink == modelhost && other.linkedTo == nil {
				other.deliver(almondcross.NewLinkLost(almondcross.LinkLostConfig{Scheduler: modelhost.name}))
				other.redial(modelhost, 2*linkDelay)
			}
		})
	}
}

// redial opens the link to a host again after a delay. It is refused until a process has started there.
func (modelhost *modelHost) redial(target *modelHost, delay time.Duration) {
	simulation, incarnation := modelhost.simulation, modelhost.incarnation
	simulation.schedule(delay, func() {
		switch {
		case modelhost.incarnation != incarnation || modelhost.wantedLink != target || modelhost.linkedTo != nil:
		case target.up:
			modelhost.setLink(modelhost.announced)
		case simulation.linkHold(modelhost, target) > 0:
			modelhost.redial(target, simulation.linkHold(modelhost, target))
		default:
			modelhost.deliver(almondcross.NewLinkLost(almondcross.LinkLostConfig{Scheduler: target.name, Refused: true}))
			modelhost.redial(target, redialDelay)
		}
	})
}

// sendToHosts sends a message of this scheduler to those of the named hosts that are linked to it.
func (modelhost *modelHost) sendToHosts(hosts []string, message schedulerLinkMessage) {
	links := 0
	for _, name := range hosts {
		for _, host := range modelhost.simulation.hosts {
			if host.name != name || host.linkedTo != modelhost {
				continue
			}
			links++
			incarnation, link := host.incarnation, host.linkCount
			modelhost.simulation.schedule(modelhost.simulation.linkHold(host, modelhost)+linkDelay, func() {
				if host.incarnation == incarnation && host.linkedTo == modelhost && host.linkCount == link {
					host.deliver(message)
				}
			})
		}
	}
	modelhost.simulation.traffic.sent(modelhost, message, links)
}

// schedulerLinkMessage is a message between hosts that the machine of the receiver handles.
type schedulerLinkMessage interface {
	almondcross.LinkMessage
	almondcross.SchedulerMessage
}

// readPointer reads the scheduler pointer from the store. If the store doesn't respond, it uses the peers' pointer
// with the highest epoch that names another host.
func (modelhost *modelHost) readPointer(peers []string) {
	simulation := modelhost.simulation
	sentAt := simulation.now
	modelhost.storeCall(false, func() func() {
		pointer := simulation.pointer
		return func() {
			modelhost.deliver(almondcross.NewPointerRead(almondcross.PointerReadConfig{
				Pointer: pointer, Found: pointer.Host() != "", Stored: true, Took: simulation.now - sentAt,
			}))
		}
	}, func(err error) {
		config := almondcross.PointerReadConfig{Err: err}
		for _, peer := range peers {
			host := simulation.host(peer)
			if host != nil && host.up && simulation.linkHold(modelhost, host) == 0 && host.pointer.Host() != "" && host.pointer.Host() != modelhost.name &&
				host.pointer.Epoch() >= config.Pointer.Epoch() {
				config = almondcross.PointerReadConfig{Pointer: host.pointer, Found: true}
			}
		}
		modelhost.deliver(almondcross.NewPointerRead(config))
	})
}

// linkHold returns how long a partition between two hosts still holds back what one sends to the other. Like a connection,
// an open link delivers it afterwards.
func (simulation *Simulation) linkHold(a, b *modelHost) time.Duration {
	if a == b {
		return 0
	}
	return max(simulation.faults.linksCutUntil[a], simulation.faults.linksCutUntil[b], simulation.now) - simulation.now
}
