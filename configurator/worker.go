package configurator

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// Bounds of the capacity of one worker, well above the largest hosts in use.
const (
	maxMilliCPU     = 1_000_000
	maxMemoryMB     = 64_000_000
	maxAccelerators = 1_000
	maxSlots        = 10_000
)

type workerDraft struct {
	role
	WorkerSettingsConfig
	capacity almondcross.ResourcesConfig
}

var capacityFields = []parser.Field[almondcross.ResourcesConfig]{
	parser.Integer(parser.About{Key: "milli_cpu", Unit: "thousandths of a core", Description: "the processor time"},
		1, maxMilliCPU, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.MilliCPU }),
	parser.Memory(parser.About{Key: "memory", Description: "the memory"},
		1, maxMemoryMB, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.MemoryMB }),
	parser.Integer(parser.About{Key: "accelerators", Default: "0", Description: "the number of accelerators"},
		0, maxAccelerators, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.Accelerators }),
	parser.Integer(parser.About{Key: "slots", Default: "0", Description: "the number of slots of the runner"},
		0, maxSlots, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.Slots }),
}

var workerFields = []parser.Field[workerDraft]{
	parser.Choice(parser.About{Key: "role", Description: "the role of the process"},
		[]Role{RoleWorker}, func(draft *workerDraft) *Role { return &draft.Role }),
	parser.Name(parser.About{Key: "name", Description: "the name of the worker, unique in the cell"},
		func(draft *workerDraft) *string { return &draft.Name }),
	parser.Name(parser.About{Key: "data_centre", Description: "the data centre of the worker"},
		func(draft *workerDraft) *string { return &draft.DataCentre }),
	parser.Name(parser.About{Key: "rack", Description: "the rack of the worker"},
		func(draft *workerDraft) *string { return &draft.Rack }),
	parser.Address(parser.About{Key: "listen", Description: "the address on which the worker is served"},
		true, func(draft *workerDraft) *string { return &draft.Listen }),
	parser.Address(parser.About{Key: "advertise", Description: "the address at which entry hosts reach the worker"},
		false, func(draft *workerDraft) *string { return &draft.Advertise }),
	parser.Address(parser.About{Key: "platform_address", Description: "the address of the platform's live list"},
		false, func(draft *workerDraft) *string { return &draft.PlatformAddress }),
	parser.Object(parser.About{Key: "capacity", Description: "the capacity of the worker"},
		capacityFields, func(draft *workerDraft) *almondcross.ResourcesConfig { return &draft.capacity }),
	parser.Duration(parser.About{Key: "usage_lag", Default: `"1s"`, Description: "the age of the use that the worker reports"},
		0, time.Minute, func(draft *workerDraft) *time.Duration { return &draft.UsageLag }),
	parser.Choice(parser.About{Key: "log_format", Default: `"text"`, Description: "the format of log lines"},
		[]LogFormat{LogText, LogJSON}, func(draft *workerDraft) *LogFormat { return &draft.LogFormat }),
}

// ParseWorker reads the settings of the stand-in for a worker.
func ParseWorker(file string, source []byte) (WorkerSettings, error) {
	var draft workerDraft
	lines, err := parseDraft(file, source, workerFields, &draft)
	if err != nil {
		return WorkerSettings{}, err
	}
	if draft.Advertise == draft.PlatformAddress {
		return WorkerSettings{}, lines.Conflict("advertise", draft.Advertise, "an address other than platform_address")
	}
	draft.Capacity = almondcross.NewResources(draft.capacity)
	return NewWorkerSettings(draft.WorkerSettingsConfig), nil
}
