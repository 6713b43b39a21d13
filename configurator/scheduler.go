package configurator

import (
	"time"

	"github.com/almondcross/almondcross/parser"
)

type schedulerDraft struct {
	role
	SchedulerSettingsConfig
}

var schedulerFields = []parser.Field[schedulerDraft]{
	parser.Choice(parser.About{Key: "role", Description: "the role of the process"},
		[]Role{RoleScheduler}, func(draft *schedulerDraft) *Role { return &draft.Role }),
	parser.Name(parser.About{Key: "name", Description: "the name of the host, unique in the cell"},
		func(draft *schedulerDraft) *string { return &draft.Name }),
	parser.Name(parser.About{Key: "data_centre", Description: "the data centre of the host"},
		func(draft *schedulerDraft) *string { return &draft.DataCentre }),
	parser.Name(parser.About{Key: "region", Description: "the region of the data centre"},
		func(draft *schedulerDraft) *string { return &draft.Region }),
	parser.Address(parser.About{Key: "callers_listen", Description: "the address on which callers are served"},
		true, func(draft *schedulerDraft) *string { return &draft.CallersListen }),
	parser.Address(parser.About{Key: "ready_listen", Description: "the address on which the balancer asks whether the host is ready"},
		true, func(draft *schedulerDraft) *string { return &draft.ReadyListen }),
	parser.Address(parser.About{Key: "metrics_listen", Description: "the address on which metrics are served"},
		true, func(draft *schedulerDraft) *string { return &draft.MetricsListen }),
	parser.Address(parser.About{Key: "link_listen", Description: "the address on which the links of other hosts are served, also the one that they dial"},
		false, func(draft *schedulerDraft) *string { return &draft.LinkListen }),
	parser.Address(parser.About{Key: "store_address", Description: "the address of the platform's store"},
		false, func(draft *schedulerDraft) *string { return &draft.StoreAddress }),
	parser.Integer(parser.About{Key: "store_partitions", Description: "the number of partitions of a topic of the store"},
		1, 1024, func(draft *schedulerDraft) *int { return &draft.StorePartitions }),
	parser.Integer(parser.About{Key: "store_record", Unit: "bytes", Description: "the largest record of the store"},
		16<<10, 16<<20, func(draft *schedulerDraft) *int { return &draft.StoreRecord }),
	parser.Duration(parser.About{Key: "store_retention", Description: "the time for which the store keeps a record"},
		time.Second, 1000*time.Hour, func(draft *schedulerDraft) *time.Duration { return &draft.StoreRetention }),
	parser.Address(parser.About{Key: "advice_address", Description: "the address of the advice service"},
		false, func(draft *schedulerDraft) *string { return &draft.AdviceAddress }).WithDefault(""),
	parser.Address(parser.About{Key: "machines_address", Description: "the address of the service that moves and mends machines"},
		false, func(draft *schedulerDraft) *string { return &draft.MachinesAddress }).WithDefault(""),
	parser.Duration(parser.About{Key: "state_retention", Description: "the time for which the state of a finished job stays readable"},
		time.Second, 24*time.Hour, func(draft *schedulerDraft) *time.Duration { return &draft.StateRetention }),
	parser.Duration(parser.About{Key: "max_lease", Description: "the longest lease that workers grant"},
		time.Second, time.Hour, func(draft *schedulerDraft) *time.Duration { return &draft.MaxLease }),
	parser.Duration(parser.About{Key: "stop_grace", Description: "the time after which a process that was asked to stop is killed"},
		time.Second, time.Hour, func(draft *schedulerDraft) *time.Duration { return &draft.StopGrace }),
	parser.Decimal(parser.About{Key: "processors", Unit: "cores", Description: "the processors that the process may use"},
		0.001, 1024, func(draft *schedulerDraft) *float64 { return &draft.Processors }),
	parser.Decimal(parser.About{Key: "link_mbps", Unit: "megabits a second", Description: "the bandwidth of the host's link"},
		0.001, 1_000_000, func(draft *schedulerDraft) *float64 { return &draft.LinkMbps }),
	parser.Integer(parser.About{Key: "memory_mb", Unit: "megabytes", Description: "the memory that the process may use"},
		32, 1<<20, func(draft *schedulerDraft) *int { return &draft.MemoryMB }),
	parser.Integer(parser.About{Key: "log_lines", Default: "4096", Description: "the most log lines that wait to be written; further ones are counted and left out"},
		1, 1<<20, func(draft *schedulerDraft) *int { return &draft.LogLines }),
}

// ParseScheduler reads the settings of a host that serves jobs on the users' platform.
func ParseScheduler(file string, source []byte) (SchedulerSettings, error) {
	var draft schedulerDraft
	if _, err := parseDraft(file, source, schedulerFields, &draft); err != nil {
		return SchedulerSettings{}, err
	}
	return NewSchedulerSettings(draft.SchedulerSettingsConfig), nil
}
