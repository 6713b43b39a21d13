package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/policy/distributor"
)

const (
	// viewDialTimeout is how long a host tries to open a link to a relay.
	viewDialTimeout = time.Second
	// viewLinkTimeout is how long a link whose other end is cut off stays open.
	viewLinkTimeout = 2500 * time.Millisecond
	// maxDataCentres and hostsPerDataCentre bound the number of data centres.
	maxDataCentres     = 6
	hostsPerDataCentre = 4
)

// viewLink is a link of a host to a relay of views.
type viewLink struct {
	viewer, relay *modelHost
	process       int   // process is the incarnation of the viewer that has opened the link.
	number        int64 // number is that of the viewer.
	accepted      int64 // accepted is the number of the relay, 0 before the link is open.
	closed        bool
}

// dataCentre returns the data centre of the host.
func (modelhost *modelHost) dataCentre() string {
	count := max(1, min(maxDataCentres, modelhost.simulation.config.Hosts/hostsPerDataCentre))
	return fmt.Sprintf("dc-%d", modelhost.index%count)
}

// viewFormat returns the ViewFormat of the host, 0 for one of the version before.
func (modelhost *modelHost) viewFormat() int {
	simulation := modelhost.simulation
	if simulation.config.ViewRelayThreshold == 0 || simulation.drawn(modelhost.index, simulation.config.RelaylessHosts) {
		return 0
	}
	return almondcross.ViewFormat
}

// viewRelayChooser returns the policy that chooses relays, nil for a host that uses none.
func (modelhost *modelHost) viewRelayChooser() almondcross.ViewRelayChooser {
	if modelhost.viewFormat() == 0 {
		return nil
	}
	return distributor.ByDataCentre{}
}

// executeViews carries out the effects of cells with relays of views.
func (modelhost *modelHost) executeViews(effect scheduler.Effect) {
	switch effect := effect.(type) {
	case scheduler.SendNumber:
		modelhost.sendToHosts(effect.Hosts, effect.Numbered)
	case scheduler.AssignViews:
		modelhost.sendToHosts([]string{effect.Host}, effect.Assigned)
	case scheduler.RelayViews:
		for _, number := range effect.Links {
			if link := modelhost.viewerLinks[number]; link != nil {
				link.send(effect.Pushed)
			}
		}
	case scheduler.CloseViewers:
		for _, number := range effect.Links {
			if link := modelhost.viewerLinks[number]; link != nil {
				link.breakOff()
			}
		}
	case scheduler.FollowRelay:
		modelhost.followRelay(effect.Relay)
	case scheduler.ReportMissed:
		modelhost.reportMissed(effect.Missed)
	default:
		modelhost.callStore(effect)
	}
}

// viewHold returns how long what passes over the link is held back.
func (viewlink *viewLink) hold() time.Duration {
	simulation := viewlink.viewer.simulation
	cut := max(simulation.faults.viewLinksCutUntil[viewlink.relay], simulation.faults.viewLinksCutUntil[viewlink.viewer])
	return max(simulation.linkHold(viewlink.viewer, viewlink.relay), cut-simulation.now)
}

// current reports whether the viewer's process still uses the link.
func (viewlink *viewLink) current() bool {
	return !viewlink.closed && viewlink.viewer.up && viewlink.viewer.incarnation == viewlink.process && viewlink.viewer.viewLink == viewlink
}

// followRelay closes the link to the earlier relay and opens another one, or none.
func (modelhost *modelHost) followRelay(followed almondcross.ViewRelayLink) {
	modelhost.closeViewLink()
	relay := modelhost.simulation.host(followed.Relay())
	if followed.Link() == 0 || relay == nil {
		return
	}
	link := &viewLink{viewer: modelhost, relay: relay, process: modelhost.incarnation, number: followed.Link()}
	modelhost.viewLink = link
	if link.hold() > viewDialTimeout {
		modelhost.simulation.schedule(viewDialTimeout, func() { link.lose("timeout") })
		return
	}
	modelhost.simulation.schedule(link.hold()+3*linkDelay, func() {
		switch {
		case !link.current():
		case !relay.up:
			link.lose("refused")
		default:
			modelhost.simulation.viewLinkCount++
			link.accepted = modelhost.simulation.viewLinkCount
			relay.viewerLinks[link.accepted] = link
			relay.deliver(almondcross.NewViewerLinkChanged(almondcross.ViewerLinkChangedConfig{Link: link.accepted, Present: true, Hello: followed.Hello()}))
		}
	})
}

// closeViewLink closes the link of this host to its relay, which learns it, at the latest when it hears nothing any more.
func (modelhost *modelHost) closeViewLink() {
	link := modelhost.viewLink
	modelhost.viewLink = nil
	if link == nil || link.closed {
		return
	}
	link.closed = true
	if link.accepted == 0 {
		return
	}
	process := link.relay.incarnation
	modelhost.simulation.schedule(min(link.hold(), viewLinkTimeout)+linkDelay, func() {
		if link.relay.incarnation == process {
			delete(link.relay.viewerLinks, link.accepted)
			link.relay.deliver(almondcross.NewViewerLinkChanged(almondcross.ViewerLinkChangedConfig{Link: link.accepted}))
		}
	})
}

// send sends views over the link.
func (viewlink *viewLink) send(pushed almondcross.ViewsPushed) {
	viewlink.viewer.simulation.schedule(viewlink.hold()+linkDelay, func() {
		if viewlink.current() {
			viewlink.viewer.deliver(almondcross.NewRelayedViews(almondcross.RelayedViewsConfig{Link: viewlink.number, Pushed: pushed}))
		}
	})
}

// breakOff closes the link on the relay's side.
func (viewlink *viewLink) breakOff() {
	delete(viewlink.relay.viewerLinks, viewlink.accepted)
	viewlink.viewer.simulation.schedule(min(viewlink.hold(), viewLinkTimeout)+linkDelay, func() { viewlink.lose("closed") })
}

// lose tells the viewer that the link has ended.
func (viewlink *viewLink) lose(reason string) {
	if !viewlink.current() {
		return
	}
	viewlink.closed = true
	viewlink.viewer.viewLink = nil
	viewlink.viewer.deliver(almondcross.NewViewRelayLost(almondcross.ViewRelayLostConfig{Link: viewlink.number, Reason: reason}))
}

// breakViewLinks breaks the links for views of a process that has ended, and tells those at their other ends.
func (modelhost *modelHost) breakViewLinks() {
	for _, number := range slices.Sorted(maps.Keys(modelhost.viewerLinks)) {
		modelhost.viewerLinks[number].breakOff()
	}
	modelhost.closeViewLink()
}

// reportMissed sends a report to the scheduler that this host is linked to.
func (modelhost *modelHost) reportMissed(missed almondcross.ViewsMissed) {
	target, count := modelhost.linkedTo, modelhost.linkCount
	if target == nil {
		return
	}
	simulation := modelhost.simulation
	simulation.schedule(simulation.linkHold(modelhost, target)+linkDelay, func() {
		if modelhost.linkedTo == target && modelhost.linkCount == count && target.up {
			target.deliver(missed.WithHost(modelhost.name))
		}
	})
}

// injectRelayFault disturbs the hosts that relay views. What their viewers are told is checked meanwhile.
func (simulation *Simulation) injectRelayFault(fault Fault, until time.Duration) {
	var relays []*modelHost
	for _, host := range simulation.hosts {
		if host.up && len(host.viewerLinks) > 0 {
			relays = append(relays, host)
		}
	}
	if len(relays) == 0 {
		return
	}
	for _, host := range randomShare(simulation, relays, fault.Share) {
		switch fault.Kind {
		case KillRelays:
			simulation.restartHost(host, fault.Duration/killDowntimeDivisor)
		case LoseRelays:
			host.lose()
			simulation.schedule(fault.Duration, host.boot)
		case FreezeRelays:
			host.frozenUntil = until
		default:
			simulation.faults.viewLinksCutUntil[host] = until
			continue // Its process is not disturbed.
		}
		simulation.disturbances.disturbHost(host, until)
	}
}
