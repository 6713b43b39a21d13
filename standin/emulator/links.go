package emulator

import "github.com/almondcross/almondcross"

// link opens the link to the scheduler's host, or closes the one that is open.
func (modelhost *modelHost) link(scheduler *modelHost, strength int) {
	day := modelhost.day
	if before := modelhost.linked; before != nil && before != scheduler {
		modelhost.linked = nil
		day.after(linkDelay, func() {
			if before.up {
				before.deliver(almondcross.NewAdviserChanged(almondcross.AdviserChangedConfig{Adviser: modelhost.name}))
			}
		})
	}
	if scheduler == nil || scheduler == modelhost {
		return
	}
	life := modelhost.life
	day.after(3*linkDelay, func() {
		if modelhost.life == life && scheduler.up && modelhost.linked == nil {
			modelhost.linked = scheduler
			scheduler.deliver(almondcross.NewAdviserChanged(almondcross.AdviserChangedConfig{Adviser: modelhost.name, Present: true, Strength: strength, Address: modelhost.name}))
		}
	})
}

// send passes a message of the scheduler to hosts that are linked to it.
func (modelhost *modelHost) send(hosts []string, message almondcross.SchedulerMessage) {
	for _, name := range hosts {
		for _, other := range modelhost.day.hosts {
			if other.name != name || other.linked != modelhost {
				continue
			}
			life := other.life
			modelhost.day.after(linkDelay, func() {
				if other.life == life && other.linked == modelhost {
					other.deliver(message)
				}
			})
		}
	}
}

// readPointer asks the store, and other hosts when it does not answer.
func (modelhost *modelHost) readPointer(peers []string) {
	day := modelhost.day
	sent := day.now
	modelhost.storeCall(false, func() func() {
		pointer := day.pointer
		return func() {
			modelhost.deliver(almondcross.NewPointerRead(almondcross.PointerReadConfig{
				Pointer: pointer, Found: pointer.Host() != "", Stored: true, Took: day.now - sent,
			}))
		}
	}, func(err error) {
		answer := almondcross.PointerReadConfig{Err: err}
		for _, peer := range peers {
			other := day.host(peer)
			if other != nil && other.up && other.pointer.Host() != "" && other.pointer.Host() != modelhost.name &&
				other.pointer.Epoch() >= answer.Pointer.Epoch() {
				answer = almondcross.PointerReadConfig{Pointer: other.pointer, Found: true}
			}
		}
		modelhost.deliver(almondcross.NewPointerRead(answer))
	})
}
