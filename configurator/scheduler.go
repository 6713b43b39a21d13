package configurator

import (
	"fmt"
	"strconv"
	"time"

	"github.com/almondcross/almondcross/parser"
)

const (
	// minDescriptors is the least number of descriptors of a host: 200 for files, and a few for each of its servers.
	minDescriptors = 256
	// minAnswerTime is the time between the last byte of a body and the end of its answer. A job waits 800 ms for the store.
	minAnswerTime = time.Second
)

type rawSchedulerSettings struct {
	roleField
	SchedulerSettingsConfig
}

var schedulerFields = []parser.Field[rawSchedulerSettings]{
	parser.Choice(parser.FieldSpec{Key: "role", Description: "the role of the process"},
		[]Role{RoleScheduler}, func(settings *rawSchedulerSettings) *Role { return &settings.Role }),
	parser.Name(parser.FieldSpec{Key: "name", Description: "the name of the host, unique in the cell"},
		func(settings *rawSchedulerSettings) *string { return &settings.Name }),
	parser.Name(parser.FieldSpec{Key: "data_centre", Description: "the data centre of the host"},
		func(settings *rawSchedulerSettings) *string { return &settings.DataCentre }),
	parser.Name(parser.FieldSpec{Key: "region", Description: "the region of the data centre"},
		func(settings *rawSchedulerSettings) *string { return &settings.Region }),
	parser.Address(parser.FieldSpec{Key: "callers_listen", Description: "the listen address for callers"},
		true, func(settings *rawSchedulerSettings) *string { return &settings.CallersListen }),
	parser.Address(parser.FieldSpec{Key: "ready_listen", Description: "the listen address for readiness checks of the load balancer"},
		true, func(settings *rawSchedulerSettings) *string { return &settings.ReadyListen }),
	parser.Address(parser.FieldSpec{Key: "metrics_listen", Description: "the listen address for metrics"},
		true, func(settings *rawSchedulerSettings) *string { return &settings.MetricsListen }),
	parser.Address(parser.FieldSpec{Key: "link_listen", Description: "the listen address for connections from other hosts, also the address that they dial"},
		false, func(settings *rawSchedulerSettings) *string { return &settings.LinkListen }),
	parser.Address(parser.FieldSpec{Key: "store_address", Description: "the address of the platform's store"},
		false, func(settings *rawSchedulerSettings) *string { return &settings.StoreAddress }),
	parser.Integer(parser.FieldSpec{Key: "store_partitions", Description: "the number of partitions of each topic in the store"},
		1, 1024, func(settings *rawSchedulerSettings) *int { return &settings.StorePartitions }),
	parser.Integer(parser.FieldSpec{Key: "store_record", Unit: "bytes", Description: "the maximum size of a record in the store"},
		16<<10, 16<<20, func(settings *rawSchedulerSettings) *int { return &settings.StoreRecord }),
	parser.Integer(parser.FieldSpec{Key: "store_call", Unit: "bytes", Default: "2097152", Description: "the maximum total size of the records of one append to the store"},
		16<<10, 1<<30, func(settings *rawSchedulerSettings) *int { return &settings.StoreCall }),
	parser.Duration(parser.FieldSpec{Key: "store_retention", Description: "the retention of records in the store"},
		time.Second, 1000*time.Hour, func(settings *rawSchedulerSettings) *time.Duration { return &settings.StoreRetention }),
	parser.Address(parser.FieldSpec{Key: "advice_address", Description: "the address of the advice service"},
		false, func(settings *rawSchedulerSettings) *string { return &settings.AdviceAddress }).WithDefault(""),
	parser.Address(parser.FieldSpec{Key: "machines_address", Description: "the address of the service that moves and repairs machines"},
		false, func(settings *rawSchedulerSettings) *string { return &settings.MachinesAddress }).WithDefault(""),
	parser.Duration(parser.FieldSpec{Key: "state_retention", Description: "the time for which callers can query the state of a finished job"},
		time.Second, 24*time.Hour, func(settings *rawSchedulerSettings) *time.Duration { return &settings.StateRetention }),
	parser.Duration(parser.FieldSpec{Key: "max_lease", Description: "the maximum duration of a lease that workers grant"},
		time.Second, time.Hour, func(settings *rawSchedulerSettings) *time.Duration { return &settings.MaxLease }),
	parser.Duration(parser.FieldSpec{Key: "stop_grace", Description: "the time from the stop signal until the process is killed"},
		time.Second, time.Hour, func(settings *rawSchedulerSettings) *time.Duration { return &settings.StopGrace }),
	parser.Decimal(parser.FieldSpec{Key: "processors", Unit: "cores", Description: "the number of CPU cores that the process may use"},
		0.001, 1024, func(settings *rawSchedulerSettings) *float64 { return &settings.Processors }),
	parser.Integer(parser.FieldSpec{Key: "direct_workers", Default: "-1", Description: "the number of workers up to which the scheduler sends all orders itself; with more, the hosts in the workers' data centres relay them; -1 for 200 for each CPU core"},
		-1, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.DirectWorkers }),
	parser.Integer(parser.FieldSpec{Key: "view_relay_hosts", Default: "120", Description: "the number of linked hosts up to which the scheduler sends the views of jobs to all of them itself; with more, strong hosts of each data centre relay them"},
		1, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.ViewRelayHosts }),
	parser.Decimal(parser.FieldSpec{Key: "link_mbps", Unit: "megabits a second", Description: "the network bandwidth of the host"},
		0.001, 1_000_000, func(settings *rawSchedulerSettings) *float64 { return &settings.LinkMbps }),
	parser.Integer(parser.FieldSpec{Key: "memory_mb", Unit: "megabytes", Description: "the memory that the process may use"},
		32, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.MemoryMB }),
	parser.Integer(parser.FieldSpec{Key: "max_descriptors", Default: "0", Description: "the file descriptors that the process may open, 200 of them for files; 0 for the limit with which the process was started, otherwise at least 256"},
		0, 1<<24, func(settings *rawSchedulerSettings) *int { return &settings.MaxDescriptors }),
	parser.Integer(parser.FieldSpec{Key: "body_memory_mb", Unit: "megabytes", Default: "0", Description: "the memory for the bodies of all requests and the jobs decoded from them; a quarter of it is kept for small ones; 0 for a sixth of what memory_mb leaves beside the process itself"},
		0, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.BodyMemoryMB }),
	parser.Integer(parser.FieldSpec{Key: "header_memory_mb", Unit: "megabytes", Default: "0", Description: "the memory for the decoded headers of all requests, of which 32 lines each are free; 0 for a sixteenth of what memory_mb leaves beside the process itself"},
		0, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.HeaderMemoryMB }),
	parser.Integer(parser.FieldSpec{Key: "link_memory_mb", Unit: "megabytes", Default: "0", Description: "the memory for the messages above 16 KiB that other hosts send at the same time; 0 for a sixteenth of what memory_mb leaves beside the process itself"},
		0, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.LinkMemoryMB }),
	parser.Integer(parser.FieldSpec{Key: "state_memory_mb", Unit: "megabytes", Default: "0", Description: "the memory for accepted jobs that this host can hold; the scheduler refuses jobs beyond that of the weakest linked host; 0 for a third of what memory_mb leaves beside the process itself"},
		0, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.StateMemoryMB }),
	parser.Duration(parser.FieldSpec{Key: "body_timeout", Default: `"3s"`, Description: "the time in which the body of a request must arrive, after its headers"},
		100*time.Millisecond, time.Minute, func(settings *rawSchedulerSettings) *time.Duration { return &settings.BodyTimeout }),
	parser.Duration(parser.FieldSpec{Key: "answer_timeout", Default: `"6s"`, Description: "the time from the end of a request's headers until its answer is sent, after which the connection is closed; at least a second more than body_timeout"},
		time.Second, 2*time.Minute, func(settings *rawSchedulerSettings) *time.Duration { return &settings.AnswerTimeout }),
	parser.Integer(parser.FieldSpec{Key: "caller_connections", Default: "0", Description: "the maximum number of open connections of callers; 0 for a number by memory_mb and max_descriptors"},
		0, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.CallerLimit }),
	parser.Integer(parser.FieldSpec{Key: "link_connections", Default: "0", Description: "the maximum number of open connections of other hosts; 0 for a number by max_descriptors"},
		0, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.LinkLimit }),
	parser.Integer(parser.FieldSpec{Key: "check_connections", Default: "0", Description: "the maximum number of open connections for metrics, and as many for readiness checks; 0 for a number by max_descriptors"},
		0, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.CheckLimit }),
	parser.Integer(parser.FieldSpec{Key: "log_lines", Default: "4096", Description: "the maximum number of log lines that wait to be written; further lines are dropped and counted"},
		1, 1<<20, func(settings *rawSchedulerSettings) *int { return &settings.LogLines }),
}

// ParseScheduler decodes and validates the settings of a scheduling host.
func ParseScheduler(file string, source []byte) (SchedulerSettings, error) {
	var settings rawSchedulerSettings
	lines, err := parseRaw(file, source, schedulerFields, &settings)
	if err != nil {
		return SchedulerSettings{}, err
	}
	if settings.MaxDescriptors > 0 && settings.MaxDescriptors < minDescriptors {
		return SchedulerSettings{}, lines.Conflict("max_descriptors", strconv.Itoa(settings.MaxDescriptors), fmt.Sprintf("0, or at least %d", minDescriptors))
	}
	if settings.AnswerTimeout < settings.BodyTimeout+minAnswerTime {
		return SchedulerSettings{}, lines.Conflict("answer_timeout", parser.FormatDuration(settings.AnswerTimeout),
			"at least a second more than body_timeout, "+parser.FormatDuration(settings.BodyTimeout))
	}
	return NewSchedulerSettings(settings.SchedulerSettingsConfig), nil
}
