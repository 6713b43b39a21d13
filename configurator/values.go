package configurator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// Token is an access token of a caller, a reporter or an operator. It is an alias because tools/valuer generates no
// import but time.
type Token = almondcross.Token

// Capacity is an amount of resources. It is an alias because tools/valuer generates no import but time.
type Capacity = almondcross.Resources

// Role is the role of the process that a settings file configures.
type Role string

// The roles of processes.
const (
	RoleEntry    Role = "entry"    // RoleEntry is an entry host.
	RolePlatform Role = "platform" // RolePlatform is the stand-in for the platform.
	RoleWorker   Role = "worker"   // RoleWorker is the stand-in for a worker.
	// RoleScheduler is a scheduling host, which schedules jobs on the users' platform.
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
	PlacementPacked      PlacementName = "packed"       // PlacementPacked packs tasks onto few targets.
	PlacementLeastLoaded PlacementName = "least_loaded" // PlacementLeastLoaded spreads tasks over targets.
)

// ShareName selects a share policy.
type ShareName string

// The share policies.
const (
	ShareDominant ShareName = "dominant" // ShareDominant orders owners by the ratio of received to promised dominant share.
)

// PeerSettings is another entry host of the cell.
//
//value:generate
type PeerSettings struct {
	name       string // the name of the entry host
	dataCentre string // the data centre of the entry host
	address    string // the IP address and port for connections from its peers
}

// EntrySettings are the settings of an entry host.
//
//value:generate
type EntrySettings struct {
	name              string         // the name of the host
	dataCentre        string         // the data centre of the host
	region            string         // the region of the data centre
	listen            string         // the listen address for callers and operators
	advertise         string         // the address at which callers and operators reach the host
	peerListen        string         // the listen address for peers
	peerAdvertise     string         // the address at which peers reach the host
	peers             []PeerSettings // the other entry hosts of the cell
	dataCentres       []string       // the data centres of the cell
	logAddress        string         // the address of the platform's log
	liveListAddress   string         // the address of the platform's live list
	tokens            []Token        // the tokens of operators, reporters and callers
	stopGrace         time.Duration  // the time for which a graceful shutdown waits for requests in flight
	requestTimeout    time.Duration  // the timeout of a request whose caller sets none
	maxRequestTimeout time.Duration  // the maximum timeout of a request
	changeTimeout     time.Duration  // the time that an operator waits for the outcome of a catalogue change
	queryTimeout      time.Duration  // the timeout of a query
	logTimeout        time.Duration  // the timeout of a call to the log
	workerTimeout     time.Duration  // the timeout of a call to a worker
	accountInterval   time.Duration  // the interval of usage accounting
	claimHorizon      time.Duration  // the age above which a key of a non-repeatable request is rejected
	placement         PlacementName  // the name of the placement policy
	share             ShareName      // the name of the share policy
	memoryMB          int            // the memory that the process may use in megabytes
	maxDescriptors    int            // the file descriptors that the process may open, 0 for its own limit
	logFormat         LogFormat      // the format of log lines
}

// PlatformSettings are the settings of the stand-in for the platform.
//
//value:generate
type PlatformSettings struct {
	listen    string        // the listen address of the log and the live list
	lag       time.Duration // the delay until a change is visible in the live list and to readers of the log
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
	listen          string        // the listen address of the worker
	advertise       string        // the address at which entry hosts reach the worker
	platformAddress string        // the address of the platform's live list
	capacity        Capacity      // the capacity of the worker
	usageLag        time.Duration // the delay of the resource usage that the worker reports
	logFormat       LogFormat     // the format of log lines
}

// SchedulerSettings are the settings of a scheduling host.
//
//value:generate
type SchedulerSettings struct {
	name            string        // the name of the host, unique in the cell
	dataCentre      string        // the data centre of the host
	region          string        // the region of the data centre
	callersListen   string        // the listen address for callers
	readyListen     string        // the listen address for readiness checks of the load balancer
	metricsListen   string        // the listen address for metrics
	linkListen      string        // the listen address for connections from other hosts, also the address that they dial
	storeAddress    string        // the address of the platform's store
	storePartitions int           // the number of partitions of each topic in the store
	storeRecord     int           // the maximum size of a record in the store, in bytes
	storeCall       int           // the maximum total size of the records of one append to the store, in bytes
	storeRetention  time.Duration // the retention of records in the store
	adviceAddress   string        // the address of the advice service, empty for none
	machinesAddress string        // the address of the service that moves and repairs machines, empty for none
	stateRetention  time.Duration // the time for which callers can query the state of a finished job
	maxLease        time.Duration // the maximum duration of a lease that workers grant
	stopGrace       time.Duration // the time from the stop signal until the process is killed
	processors      float64       // the number of CPU cores that the process may use
	directWorkers   int           // the number of workers up to which the scheduler sends all orders itself, negative for a number by the CPU cores
	viewRelayHosts  int           // the number of linked hosts above which relays pass the views of jobs on
	linkMbps        float64       // the network bandwidth of the host, in megabits a second
	memoryMB        int           // the memory that the process may use, in megabytes
	maxDescriptors  int           // the file descriptors that the process may open, 0 for the limit of the process
	bodyMemoryMB    int           // the memory for the bodies of all requests and the jobs decoded from them in megabytes, 0 for a part of the process's memory
	headerMemoryMB  int           // the memory for the decoded headers of all requests in megabytes, 0 for a part of the process's memory
	linkMemoryMB    int           // the memory for the large messages that other hosts send at the same time in megabytes, 0 for a part of the process's memory
	stateMemoryMB   int           // the memory for accepted jobs that the host can hold in megabytes, 0 for a part of the process's memory
	bodyTimeout     time.Duration // the time in which the body of a request must arrive
	answerTimeout   time.Duration // the time from the end of a request's headers in which its answer must be sent
	callerLimit     int           // the maximum number of open connections of callers, 0 for a number by memory and descriptors
	linkLimit       int           // the maximum number of open connections of other hosts, 0 for a number by the descriptors
	checkLimit      int           // the maximum number of open connections for metrics, and as many for readiness checks, 0 for a number by the descriptors
	logLines        int           // the maximum number of log lines that wait to be written; further lines are dropped and counted
}
