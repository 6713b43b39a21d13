package almondcross

// HostState is the state of a host in the platform's live list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Target is a worker in the platform's live list.
//
//value:generate
type Target struct {
	name       string    // the name of the target
	dataCentre string    // the data centre of the target
	rack       string    // the rack of the target
	address    string    // the IP address and port of the worker
	state      HostState // the state in the live list
}

// LiveHosts is one version of the platform's live list.
//
//value:generate
type LiveHosts struct {
	version uint64   // the version of the list
	targets []Target // the targets of the cell
}
