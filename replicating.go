package almondcross

//go:generate go run ./tools/valuer -output replicating_generated.go replicating.go

// RoutesFormat is the number of the messages with which this version replicates the configuration over links. It is raised when an
// earlier version could not read them.
const RoutesFormat = 1

// MaxRoutesBytes is the maximum size in bytes of a stored configuration that is sent over a link. The store takes records of 256 KiB.
const MaxRoutesBytes = 512 << 10

// RoutesRecord is a version of the configuration with the form in which operators stored it.
//
//value:generate
type RoutesRecord struct {
	table  RouteTable // the route table
	source []byte     // the stored form
}

// LinkEnd names the host at the other end of a link.
type LinkEnd struct {
	Host   string // Host is the name of the host.
	Uplink int64  // Uplink is the number of the link if this host has opened it to the scheduler's host, 0 otherwise.
}

// RoutesMessage is a message for the duty that replicates the configuration.
type RoutesMessage interface{ routesMessage() }

// RoutesLinkMessage is a message that replicates the configuration over a link.
type RoutesLinkMessage interface {
	LinkMessage
	// From returns the message with the end of the link that sent it.
	From(end LinkEnd) RoutesMessage
}

// RoutesStored passes a version of the configuration that this host has read from the store.
//
//value:generate
type RoutesStored struct {
	record RoutesRecord // the version
}

// RoutesLinkChanged reports that a link which replicates the configuration was opened by another host, or has ended.
//
//value:generate
type RoutesLinkChanged struct {
	end     LinkEnd // the other end
	present bool    // whether the link is open
}

// RoutesKnown tells the other end of a link which version of the configuration is in force on the sender.
//
//value:generate
type RoutesKnown struct {
	end     LinkEnd // the sender, set by the receiver
	version int64   // the version, 0 for none
}

// RoutesWanted asks the other end of a link for the configuration that is in force there.
//
//value:generate
type RoutesWanted struct {
	end LinkEnd // the sender, set by the receiver
}

// RoutesSent carries the configuration that is in force on the sender.
//
//value:generate
type RoutesSent struct {
	end    LinkEnd // the sender, set by the receiver
	source []byte  // the stored form of the configuration
}

// RoutesLinker sends messages about the configuration over links.
type RoutesLinker interface {
	// SendRoutes queues a message for the other end of a link. It returns false if there is no such link or its queue is full.
	SendRoutes(end LinkEnd, message RoutesLinkMessage) bool
}

// From returns the message with its sender.
func (routesknown RoutesKnown) From(end LinkEnd) RoutesMessage { return routesknown.WithEnd(end) }

// From returns the message with its sender.
func (routeswanted RoutesWanted) From(end LinkEnd) RoutesMessage { return routeswanted.WithEnd(end) }

// From returns the message with its sender.
func (routessent RoutesSent) From(end LinkEnd) RoutesMessage { return routessent.WithEnd(end) }

func (RoutesStored) routesMessage()      {}
func (RoutesLinkChanged) routesMessage() {}
func (RoutesKnown) routesMessage()       {}
func (RoutesWanted) routesMessage()      {}
func (RoutesSent) routesMessage()        {}
