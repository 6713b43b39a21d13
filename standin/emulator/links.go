package emulator

import "github.com/almondcross/almondcross"

// setLink closes the present link and opens one to the scheduler's host, also if that is the same one: a new link tells it the
// strength of this host. If it is nil or this host itself, it only closes the link.
func (modelhost *modelHost) setLink(scheduler *modelHost, strength int) {
	simulation := modelhost.simulation
	if previous := modelhost.linkedTo; previous != nil {
		modelhost.linkedTo = nil
		simulation.schedule(linkDelay, func() {
			if previous.up {
				previous.deliver(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: modelhost.name}))
			}
		})
	}
	if scheduler == nil || scheduler == modelhost {
		return
	}
	incarnation := modelhost.incarnation
	simulation.schedule(3*linkDelay, func() {
		if modelhost.incarnation == incarnation && scheduler.up && modelhost.linkedTo == nil {
			modelhost.linkedTo = scheduler
			scheduler.deliver(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: modelhost.name, Present: true, Strength: strength, Address: modelhost.name}))
		}
	})
}

// sendToHosts sends a message of this scheduler to those of the named hosts that are linked to it.
func (modelhost *modelHost) sendToHosts(hosts []string, message almondcross.SchedulerMessage) {
	for _, name := range hosts {
		for _, host := range modelhost.simulation.hosts {
			if host.name != name || host.linkedTo != modelhost {
				continue
			}
			incarnation := host.incarnation
			modelhost.simulation.schedule(linkDelay, func() {
				if host.incarnation == incarnation && host.linkedTo == modelhost {
					host.deliver(message)
				}
			})
		}
	}
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
			if host != nil && host.up && host.pointer.Host() != "" && host.pointer.Host() != modelhost.name &&
				host.pointer.Epoch() >= config.Pointer.Epoch() {
				config = almondcross.PointerReadConfig{Pointer: host.pointer, Found: true}
			}
		}
		modelhost.deliver(almondcross.NewPointerRead(config))
	})
}
