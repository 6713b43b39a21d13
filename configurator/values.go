package configurator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// Token is the token type of the root package.
type Token = almondcross.Token

// Capacity is the resource type of the root package.
type Capacity = almondcross.Resources

// Role is the kind of process that a settings file is for.
type Role string

// The roles of processes.
const (
	RoleEntry    Role = "entry"    // RoleEntry is an entry host.
	RolePlatform Role = "platform" // RolePlatform is the stand-in for the platform.
	RoleWorker   Role = "worker"   // RoleWorker is the stand-in for a worker.
	// RoleScheduler is a host that serves jobs on the users' platform.
	RoleScheduler Role = "scheduler"
)

// LogFormat is the format of log lines.
type LogFormat string

// The formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// PlacementName selects a placement policy.
type PlacementName string

// The placement policies.
const (
	PlacementPacked      PlacementName = "packed"       // PlacementPacked fills targets tightly.
	PlacementLeastLoaded PlacementName = "least_loaded" // PlacementLeastLoaded spreads tasks.
)

// ShareName selects a share policy.
type ShareName string

// The share policies.
const (
	ShareDominant ShareName = "dominant" // ShareDominant orders owners by received to promised dominant share.
)

// PeerSettings is another entry host of the cell.
//
//value:generate
type PeerSettings struct {
	name       string // the name of the entry host
	dataCentre string // the data centre of the entry host
	address    string // the IP address and port of its peer link
}

// EntrySettings are the settings of an entry host.
//
//value:generate
type EntrySettings struct {
	name              string         // the name of the host
	dataCentre        string         // the data centre of the host
	region            string         // the region of the data centre
	listen            string         // the address on which callers and operators are served
	advertise         string         // the address at which callers and operators reach the host
	peerListen        string         // the address on which peers are served
	peerAdvertise     string         // the address at which peers reach the host
	peers             []PeerSettings // the other entry hosts of the cell
	dataCentres       []string       // the data centres of the cell
	logAddress        string         // the address of the platform's log
	liveListAddress   string         // the address of the platform's live list
	tokens            []Token        // the tokens of operators, reporters and callers
	stopGrace         time.Duration  // the time that a planned stop leaves for requests in flight
	requestTimeout    time.Duration  // the time that a request waits when its caller gives none
	requestTimeoutMax time.Duration  // the longest time that a request waits for its outcome
	changeTimeout     time.Duration  // the time that an operator waits for the outcome of a change
	queryTimeout      time.Duration  // the time within which a query is answered
	logTimeout        time.Duration  // the time after which a call to the log counts as lost
	workerTimeout     time.Duration  // the time after which a call to a worker counts as lost
	accountInterval   time.Duration  // the length of an interval of the account
	claimHorizon      time.Duration  // the age after which a key that may not be repeated is refused
	placement         PlacementName  // the name of the placement policy
	share             ShareName      // the name of the share policy
	logFormat         LogFormat      // the format of log lines
}

// PlatformSettings are the settings of the stand-in for the platform.
//
//value:generate
type PlatformSettings struct {
	listen    string        // the address on which the log and the live list are served
	lag       time.Duration // the time after which the live list and readers of the log see a change
	retention time.Duration // the time for which the log keeps a record
	logFormat LogFormat     // the format of log lines
}

// WorkerSettings are the settings of the stand-in for a worker.
//
//value:generate
type WorkerSettings struct {
	name            string        // the name of the worker
	dataCentre      string        // the data centre of the worker
	rack            string        // the rack of the worker
	listen          string        // the address on which the worker is served
	advertise       string        // the address at which entry hosts reach the worker
	platformAddress string        // the address of the platform's live list
	capacity        Capacity      // the capacity of the worker
	usageLag        time.Duration // the age of the use that the worker reports
	logFormat       LogFormat     // the format of log lines
}

// SchedulerSettings are the settings of a host that serves jobs on the users' platform.
//
//value:generate
type SchedulerSettings struct {
	name            string        // the name of the host, unique in the cell
	dataCentre      string        // the data centre of the host
	region          string        // the region of the data centre
	callersListen   string        // the address on which callers are served
	readyListen     string        // the address on which the balancer asks whether the host is ready
	metricsListen   string        // the address on which metrics are served
	linkListen      string        // the address on which the links of other hosts are served
	storeAddress    string        // the address of the platform's store
	storePartitions int           // the number of partitions of a topic of the store
	storeRecord     int           // the largest record of the store in bytes
	storeRetention  time.Duration // the time for which the store keeps a record
	adviceAddress   string        // the address of the advice service, empty when there is none
	machinesAddress string        // the address of the service that moves and mends machines, empty when there is none
	stateRetention  time.Duration // the time for which the state of a finished job stays readable
	maxLease        time.Duration // the longest lease that workers grant
	stopGrace       time.Duration // the time after which a process that was asked to stop is killed
	processors      float64       // the processors that the process may use, in cores
	linkMbps        float64       // the bandwidth of the host's link in megabits a second
	memoryMB        int           // the memory that the process may use in megabytes
	logLines        int           // the most log lines that wait to be written; further ones are counted and left out
}
