package almondcross

//go:generate go run ./tools/valuer -output viewrelaying_generated.go viewrelaying.go

// ViewFormat is the number of the form of the views that this version can pass on for a scheduler. It is raised with each field
// that views gain: a relay of an earlier version would leave the field out. 0 stands for a version that knows no relays.
const ViewFormat = 1

// ViewsAssigned tells a linked host from where it gets views: from a relay, or from the scheduler over the link. It is sent only
// in a cell with relays, and when a cell has none any more.
//
//value:generate
type ViewsAssigned struct {
	epoch    int64  // the epoch of the scheduler, to which all numbers belong
	large    bool   // whether the cell has relays; otherwise all hosts get views from the scheduler again
	relaying bool   // whether the host passes the views that it gets from the scheduler on to the hosts that link to it for them
	relay    string // the host from which it gets views, empty for the scheduler
	address  string // the address on which that host accepts links
	number   int64  // the number of the last push that the host has got over the link, 0 if it has to get all views first
	least    int64  // the least number of all views that a relay may send it: no earlier ones are at least as new as those that the host may have
}

// ViewsNumbered tells a host that gets views from a relay the number of a push of the scheduler, which is sent to the relays at
// the same time.
//
//value:generate
type ViewsNumbered struct {
	epoch    int64 // the epoch of the scheduler
	number   int64 // the number of the push
	complete bool  // complete of the push, see ViewsPushed
}

// ViewsMissed tells the scheduler that a host does not get views from its relay.
//
//value:generate
type ViewsMissed struct {
	host   string // the host, set by the receiver
	epoch  int64  // the epoch of the scheduler
	relay  string // the relay
	reason string // what the host has noticed
}

// ViewerHello identifies a host that opens a link to a relay. The link carries views only.
//
//value:generate
type ViewerHello struct {
	host   string // the name of the host
	epoch  int64  // the epoch of the scheduler that has named the relay
	number int64  // the number of the last push that the host has applied, 0 for none
	least  int64  // the least number of all views that the host accepts
}

// ViewerLinkChanged reports that a host has opened or lost a link to this host for views.
//
//value:generate
type ViewerLinkChanged struct {
	link    int64       // the number of the link, unique on this host
	present bool        // whether the link is open
	hello   ViewerHello // what the host has sent, for an open link
}

// RelayedViews passes views that have arrived from a relay to the scheduler duty of this host.
//
//value:generate
type RelayedViews struct {
	link   int64       // the number of the link, see ViewRelayLink
	pushed ViewsPushed // the views
}

// ViewRelayLost reports that the link to a relay has ended or could not be opened.
//
//value:generate
type ViewRelayLost struct {
	link   int64  // the number of the link, see ViewRelayLink
	reason string // the reason
}

// ViewRelayLink is a link to a relay that this host opens.
//
//value:generate
type ViewRelayLink struct {
	link    int64       // the number of the link, unique on this host; 0 for none
	relay   string      // the relay
	address string      // the address on which it accepts links
	hello   ViewerHello // what this host sends first
}

// ViewRelay is a host that relays views.
//
//value:generate
type ViewRelay struct {
	host    RelayHost // the host
	viewers int       // the number of hosts that get views from it
	ready   bool      // whether it has got all views, so that a host that has nearly all of them needs no others from it
}

// ViewRelayChooser chooses the hosts that relay views. The results depend on the arguments alone.
type ViewRelayChooser interface {
	// Relays returns the names of the hosts that relay views, of those given, which are sorted by name. current holds the names of
	// those that do so now; each one that is replaced costs its viewers a new link.
	Relays(hosts []RelayHost, current []string) []string
	// Assign returns the name of the relay from which a host gets views, and false if there is none for it.
	Assign(viewer RelayHost, relays []ViewRelay) (string, bool)
}

// ViewLinker carries views, their numbers and the assignment of relays over the links between hosts.
type ViewLinker interface {
	// SendNumber sends the number of a push to linked hosts.
	SendNumber(hosts []string, numbered ViewsNumbered)
	// AssignViews tells a linked host from where it gets views.
	AssignViews(host string, assigned ViewsAssigned)
	// RelayViews sends views over links that other hosts have opened to this one for views, by the numbers of the links.
	RelayViews(links []int64, pushed ViewsPushed)
	// CloseViewers closes such links.
	CloseViewers(links []int64)
	// FollowRelay closes the link to the earlier relay and opens another one, or none if its number is 0.
	FollowRelay(relay ViewRelayLink)
	// ReportMissed tells the scheduler that views from a relay are missing. The message may be lost.
	ReportMissed(missed ViewsMissed)
}

func (ViewsAssigned) schedulerMessage()     {}
func (ViewsNumbered) schedulerMessage()     {}
func (ViewsMissed) schedulerMessage()       {}
func (ViewerLinkChanged) schedulerMessage() {}
func (RelayedViews) schedulerMessage()      {}
func (ViewRelayLost) schedulerMessage()     {}
