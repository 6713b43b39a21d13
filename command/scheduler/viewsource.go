package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Timing and limits of the views that a host gets from a relay, or passes on as one.
const (
	// relaySilence is how long a relay may send nothing while numbers of the scheduler's pushes arrive. It tolerates two late pushes.
	relaySilence = 500 * time.Millisecond
	// relayLoadSilence replaces relaySilence until the relay has sent anything. It may itself await all views, or the push that the
	// host must have, each for up to 200 ms, and is up to 20 ms away.
	relayLoadSilence = 700 * time.Millisecond
	// relayLag is how far views from a relay may be behind the numbers of the scheduler, and relayLoadLag until the first ones have
	// arrived. Views are answered until they are 1.5 s old.
	relayLag     = time.Second
	relayLoadLag = 2 * time.Second
	// minRelayTime is how long a relay is tried although the host has lagged for relayLag before it was assigned.
	minRelayTime = 250 * time.Millisecond
	// missedReportInterval is the time between two reports that views are missing. A report may be lost.
	missedReportInterval = time.Second
	// maxNumberArrivals is the number of pushes whose views have not arrived yet. Those of before are too old to be answered from.
	maxNumberArrivals = 64
	// maxRecentPushes is the number of the last pushes that a relay keeps for hosts that have nearly all views: those of 5 s, in which a
	// host notices that its relay is lost and gets another one.
	maxRecentPushes = 32
	// maxViewers is the number of links for views that a host accepts.
	maxViewers = 256
)

// viewSource is from where a host gets views in a cell with relays, and to which hosts it passes them on.
type viewSource struct {
	epoch   int64 // epoch is that of the scheduler that has assigned the source, 0 for none.
	applied int64 // applied is the number of the last push that the views include, 0 if it is not known.
	least   int64 // least is the least number of all views that replace the present ones.
	partial []almondcross.JobViewChange

	relay      string          // relay is the host from which the views come, empty for the scheduler.
	link       int64           // link is the number of the link to the relay, 0 for none.
	followedAt time.Time       // followedAt is when the relay was assigned.
	heard      bool            // heard is set once the relay has sent views.
	heardAt    time.Time       // heardAt is when it last did, or when it was assigned.
	reportedAt time.Time       // reportedAt is when this host last told the scheduler that it misses views, zero for not since then.
	arrivals   []numberArrival // arrivals holds the numbers of the pushes that the views do not include yet.

	relaying bool
	viewers  map[int64]*viewer
	recent   []almondcross.ViewsPushed // recent holds the last pushes of a relay.
}

// numberArrival is the arrival of the number of a push.
type numberArrival struct {
	number   int64
	at       time.Time
	complete bool
}

// viewer is a link of another host to this one for views.
type viewer struct {
	hello  almondcross.ViewerHello
	served bool // served is set once the host has what the next push presumes.
}

// applyViewMessage handles the messages of cells with relays of views.
func (machine *Machine) applyViewMessage(message almondcross.SchedulerMessage) {
	switch message := message.(type) {
	case almondcross.ViewsAssigned:
		machine.viewsAssigned(message)
	case almondcross.ViewsNumbered:
		machine.viewsNumbered(message)
	case almondcross.ViewsMissed:
		machine.viewsMissed(message)
	case almondcross.ViewerLinkChanged:
		machine.viewerLinkChanged(message)
	case almondcross.RelayedViews:
		machine.relayedViews(message)
	case almondcross.ViewRelayLost:
		if machine.source.link == message.Link() && message.Link() != 0 {
			machine.missViews("lost: " + message.Reason())
		}
	}
}

// leaveViewSource gives up the source of the views and the role of a relay, since the link to the scheduler has ended or the role of
// this host has changed. The views stay; only later ones may replace them.
func (machine *Machine) leaveViewSource() {
	source := &machine.source
	machine.followRelay("", "")
	machine.closeViewers(func(int64, *viewer) bool { return true })
	machine.source = viewSource{epoch: source.epoch, least: max(source.least, source.applied)}
}

// viewsAssigned changes the source of the views as the scheduler has decided.
func (machine *Machine) viewsAssigned(assigned almondcross.ViewsAssigned) {
	if machine.role == roleLeader || machine.role == roleCandidate {
		return
	}
	machine.largeCell = assigned.Large()
	source := &machine.source
	if assigned.Epoch() != source.epoch {
		machine.followRelay("", "")
		machine.closeViewers(func(_ int64, viewer *viewer) bool { return viewer.hello.Epoch() < assigned.Epoch() })
		machine.source = viewSource{epoch: assigned.Epoch(), viewers: source.viewers}
	}
	source.least = max(source.least, assigned.Least())
	if source.relay == "" {
		// Views from a relay have their own numbers. Those over the link are known to the scheduler alone: this host may have
		// followed the journal meanwhile.
		source.applied = 0
		if machine.discovery.viewsReceived {
			source.applied = assigned.Number()
		}
	}
	if source.relaying && !assigned.Relaying() {
		machine.closeViewers(func(int64, *viewer) bool { return true })
		source.recent = nil
	}
	source.relaying = assigned.Relaying()
	machine.config.Log.Record("views_assigned", almondcross.Text("relay", assigned.Relay()), almondcross.Text("relaying", yesNo(assigned.Relaying())),
		almondcross.Number("number", source.applied))
	if assigned.Relay() != "" || source.relay != "" {
		machine.followRelay(assigned.Relay(), assigned.Address())
	}
	machine.serveViewers()
}

// spread returns a random part of an interval in a large cell, so that its hosts do not act all at one moment, and 0 in any other.
func (machine *Machine) spread(interval time.Duration) time.Duration {
	if !machine.largeCell {
		return 0
	}
	return time.Duration(machine.config.Random.Int64N(int64(interval)))
}

// usesViewRelays reports whether the cell has relays of views, as far as this host knows.
func (machine *Machine) usesViewRelays() bool {
	if machine.leader != nil {
		return machine.leader.viewRelays.active
	}
	return machine.largeCell
}

// followRelay opens the link to a relay in place of the earlier one, or none.
func (machine *Machine) followRelay(relay, address string) {
	source := &machine.source
	linked := source.link != 0
	source.relay, source.link, source.heard, source.heardAt, source.reportedAt = relay, 0, false, machine.now, time.Time{}
	source.followedAt = machine.now
	source.partial = nil
	if relay == "" {
		source.arrivals = nil
		if linked {
			machine.emit(FollowRelay{})
		}
		return
	}
	machine.discovery.viewsReceived = false // The scheduler sends no more changes over the link.
	machine.lastViewLink++
	source.link = machine.lastViewLink
	machine.emit(FollowRelay{Relay: almondcross.NewViewRelayLink(almondcross.ViewRelayLinkConfig{
		Link: source.link, Relay: relay, Address: address, Hello: almondcross.NewViewerHello(almondcross.ViewerHelloConfig{
			Host: machine.config.Host, Epoch: source.epoch, Number: source.applied, Least: max(source.least, source.applied),
		}),
	})})
}

// viewsNumbered notes that the scheduler has pushed views. What this host has from the relay is then up to date as of now, if it
// includes this push.
func (machine *Machine) viewsNumbered(numbered almondcross.ViewsNumbered) {
	source := &machine.source
	if machine.role != roleViewer {
		return
	}
	machine.discovery.lastViewsAt, machine.gap.schedulerContactAt = machine.now, machine.now
	if source.relay == "" || numbered.Epoch() != source.epoch {
		return
	}
	source.arrivals = append(source.arrivals, numberArrival{number: numbered.Number(), at: machine.now, complete: numbered.Complete()})
	source.arrivals = source.arrivals[max(0, len(source.arrivals)-maxNumberArrivals):]
	machine.refreshNumbered()
}

// refreshNumbered refreshes the views as of the arrivals of the numbers of all pushes that they include.
func (machine *Machine) refreshNumbered() {
	source := &machine.source
	source.arrivals = slices.DeleteFunc(source.arrivals, func(arrival numberArrival) bool {
		if arrival.number > source.applied {
			return false
		}
		machine.config.Publisher.Refreshed(arrival.at, arrival.complete)
		return true
	})
}

// relayedViews applies views from the relay. They refresh nothing by themselves: the relay may be behind.
func (machine *Machine) relayedViews(relayed almondcross.RelayedViews) {
	source, pushed := &machine.source, relayed.Pushed()
	if machine.role != roleViewer || source.link == 0 || relayed.Link() != source.link {
		return
	}
	source.heard, source.heardAt = true, machine.now
	switch {
	case pushed.Epoch() != source.epoch:
		machine.missViews("another epoch")
		return
	case pushed.Reset():
		changes, whole := source.collect(pushed)
		if !whole || pushed.Number() < max(source.least, source.applied) {
			return
		}
		machine.replaceViews(changes)
		source.applied = pushed.Number()
	case pushed.Number() <= source.applied:
		return
	case source.applied == 0 || pushed.Number() > source.applied+1:
		machine.missViews("a push is missing")
		return
	default:
		machine.publish(pushed.Changes())
		source.applied = pushed.Number()
	}
	machine.refreshNumbered()
}

// collect adds a part of all views. It returns all of them once the last part has arrived.
func (viewsource *viewSource) collect(pushed almondcross.ViewsPushed) (changes []almondcross.JobViewChange, whole bool) {
	if pushed.More() {
		viewsource.partial = append(viewsource.partial, pushed.Changes()...)
		return nil, false
	}
	if viewsource.partial == nil {
		return pushed.Changes(), true
	}
	changes, viewsource.partial = slices.Concat(viewsource.partial, pushed.Changes()), nil
	return changes, true
}

// checkViewRelay tells the scheduler that the relay is silent or behind, while the numbers of its pushes arrive.
func (machine *Machine) checkViewRelay() {
	source := &machine.source
	if machine.role != roleViewer || source.relay == "" || len(source.arrivals) == 0 {
		return
	}
	if !source.reportedAt.IsZero() {
		if machine.now.Sub(source.reportedAt) >= missedReportInterval {
			machine.missViews("not assigned anew")
		}
		return
	}
	silence, lag := relaySilence, relayLag
	if !source.heard {
		silence = relayLoadSilence
	}
	if source.applied == 0 {
		lag = relayLoadLag
	}
	oldest := source.arrivals[0].at
	switch {
	case machine.now.Sub(source.heardAt) > silence && machine.now.Sub(oldest) > silence:
		machine.missViews("silent")
	case machine.now.Sub(oldest) > lag && machine.now.Sub(source.followedAt) > minRelayTime:
		machine.missViews("behind")
	}
}

// missViews closes the link to the relay and tells the scheduler, which assigns another source.
func (machine *Machine) missViews(reason string) {
	source := &machine.source
	machine.config.Log.Record("views_missed", almondcross.Text("relay", source.relay), almondcross.Text("reason", reason),
		almondcross.Number("number", source.applied))
	if source.link != 0 {
		machine.emit(FollowRelay{})
	}
	source.link, source.partial, source.reportedAt = 0, nil, machine.now
	machine.emit(ReportMissed{Missed: almondcross.NewViewsMissed(almondcross.ViewsMissedConfig{Epoch: source.epoch, Relay: source.relay, Reason: reason})})
}

// passViewsOn notes the number of views that have arrived from the scheduler, and passes them on if this host is a relay.
func (machine *Machine) passViewsOn(pushed almondcross.ViewsPushed) {
	source := &machine.source
	if pushed.Number() == 0 || pushed.Epoch() != source.epoch {
		return // The cell has no relays.
	}
	source.applied = pushed.Number()
	if !source.relaying {
		return
	}
	if pushed.Reset() {
		// The pushes between these views and those of before are not known.
		source.recent = nil
		for _, viewer := range source.viewers {
			viewer.served = false
		}
	} else {
		source.recent = append(source.recent, pushed)
		source.recent = source.recent[max(0, len(source.recent)-maxRecentPushes):]
		links := machine.servedViewers()
		if len(links) > 0 {
			machine.emit(RelayViews{Links: links, Pushed: pushed})
		}
	}
	machine.serveViewers()
}

// servedViewers returns the links of the viewers that have what the next push presumes, sorted.
func (machine *Machine) servedViewers() []int64 {
	var links []int64
	for _, link := range slices.Sorted(maps.Keys(machine.source.viewers)) {
		if machine.source.viewers[link].served {
			links = append(links, link)
		}
	}
	return links
}

// viewerLinkChanged handles a link of another host to this one for views. It waits until this host is a relay and has all views.
func (machine *Machine) viewerLinkChanged(change almondcross.ViewerLinkChanged) {
	source := &machine.source
	switch {
	case !change.Present():
		delete(source.viewers, change.Link())
	case machine.role != roleViewer && machine.role != roleDiscovering || len(source.viewers) >= maxViewers:
		machine.emit(CloseViewers{Links: []int64{change.Link()}})
	default:
		if source.viewers == nil {
			source.viewers = map[int64]*viewer{}
		}
		source.viewers[change.Link()] = &viewer{hello: change.Hello()}
		machine.serveViewers()
	}
}

// serveViewers sends the viewers that have got nothing yet what they lack: the last pushes, or all views.
func (machine *Machine) serveViewers() {
	source := &machine.source
	if !source.relaying || machine.role != roleViewer || !machine.discovery.viewsReceived || source.applied == 0 || source.partial != nil {
		return
	}
	machine.closeViewers(func(_ int64, viewer *viewer) bool { return viewer.hello.Epoch() < source.epoch })
	var all []int64
	for _, link := range slices.Sorted(maps.Keys(source.viewers)) {
		viewer := source.viewers[link]
		if viewer.served || viewer.hello.Epoch() != source.epoch {
			continue
		}
		switch missing, known := source.pushesAfter(viewer.hello.Number()); {
		case known:
			for _, pushed := range missing {
				machine.emit(RelayViews{Links: []int64{link}, Pushed: pushed})
			}
		case source.applied < viewer.hello.Least():
			continue
		default:
			all = append(all, link)
		}
		viewer.served = true
	}
	if len(all) == 0 {
		return
	}
	for _, part := range splitViews(machine.relayableViews()) {
		machine.emit(RelayViews{Links: all, Pushed: part})
	}
}

// pushesAfter returns the pushes after the one with a number, and false if this host does not have them all.
func (viewsource *viewSource) pushesAfter(number int64) ([]almondcross.ViewsPushed, bool) {
	missing := viewsource.applied - number
	switch {
	case number == 0 || missing > int64(len(viewsource.recent)):
		return nil, false
	case missing <= 0:
		return nil, true
	default:
		return viewsource.recent[int64(len(viewsource.recent))-missing:], true
	}
}

// relayableViews returns the views of the scheduler as of the last push. Jobs that this host has stored and that the scheduler has
// not admitted are not among them.
func (machine *Machine) relayableViews() almondcross.ViewsPushed {
	views := machine.config.Publisher.All()
	changes := make([]almondcross.JobViewChange, 0, len(views))
	for _, view := range views {
		if _, accepted := machine.acceptedJobs[view.ID()]; !accepted {
			changes = append(changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: view.ID(), Known: true, View: view}))
		}
	}
	return almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
		Reset: true, Epoch: machine.source.epoch, Number: machine.source.applied, Changes: changes,
	})
}

// closeViewers closes the links of the viewers that match.
func (machine *Machine) closeViewers(match func(link int64, viewer *viewer) bool) {
	var links []int64
	for _, link := range slices.Sorted(maps.Keys(machine.source.viewers)) {
		if match(link, machine.source.viewers[link]) {
			links = append(links, link)
			delete(machine.source.viewers, link)
		}
	}
	if len(links) > 0 {
		machine.emit(CloseViewers{Links: links})
	}
}
