package configurator

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// Upper bounds of the capacity of one worker, well above that of the largest machines in use.
const (
	maxMilliCPU     = 1_000_000
	maxMemoryMB     = 64_000_000
	maxAccelerators = 1_000
	maxSlots        = 10_000
)

type rawWorkerSettings struct {
	roleField
	WorkerSettingsConfig
	capacity almondcross.ResourcesConfig
}

var capacityFields = []parser.Field[almondcross.ResourcesConfig]{
	parser.Integer(parser.FieldSpec{Key: "milli_cpu", Unit: "thousandths of a core", Description: "the CPU capacity"},
		1, maxMilliCPU, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.MilliCPU }),
	parser.Memory(parser.FieldSpec{Key: "memory", Description: "the memory"},
		1, maxMemoryMB, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.MemoryMB }),
	parser.Integer(parser.FieldSpec{Key: "accelerators", Default: "0", Description: "the number of accelerators"},
		0, maxAccelerators, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.Accelerators }),
	parser.Integer(parser.FieldSpec{Key: "slots", Default: "0", Description: "the number of slots of the task runner"},
		0, maxSlots, func(capacity *almondcross.ResourcesConfig) *int64 { return &capacity.Slots }),
}

var workerFields = []parser.Field[rawWorkerSettings]{
	parser.Choice(parser.FieldSpec{Key: "role", Description: "the role of the process"},
		[]Role{RoleWorker}, func(settings *rawWorkerSettings) *Role { return &settings.Role }),
	parser.Name(parser.FieldSpec{Key: "name", Description: "the name of the worker, unique in the cell"},
		func(settings *rawWorkerSettings) *string { return &settings.Name }),
	parser.Name(parser.FieldSpec{Key: "data_centre", Description: "the data centre of the worker"},
		func(settings *rawWorkerSettings) *string { return &settings.DataCentre }),
	parser.Name(parser.FieldSpec{Key: "rack", Description: "the rack of the worker"},
		func(settings *rawWorkerSettings) *string { return &settings.Rack }),
	parser.Address(parser.FieldSpec{Key: "listen", Description: "the listen address of the worker"},
		true, func(settings *rawWorkerSettings) *string { return &settings.Listen }),
	parser.Address(parser.FieldSpec{Key: "advertise", Description: "the address at which entry hosts reach the worker"},
		false, func(settings *rawWorkerSettings) *string { return &settings.Advertise }),
	parser.Address(parser.FieldSpec{Key: "platform_address", Description: "the address of the platform's live list"},
		false, func(settings *rawWorkerSettings) *string { return &settings.PlatformAddress }),
	parser.Object(parser.FieldSpec{Key: "capacity", Description: "the capacity of the worker"},
		capacityFields, func(settings *rawWorkerSettings) *almondcross.ResourcesConfig { return &settings.capacity }),
	parser.Duration(parser.FieldSpec{Key: "usage_lag", Default: `"1s"`, Description: "the delay of the resource usage that the worker reports"},
		0, time.Minute, func(settings *rawWorkerSettings) *time.Duration { return &settings.UsageLag }),
	parser.Choice(parser.FieldSpec{Key: "log_format", Default: `"text"`, Description: "the format of log lines"},
		[]LogFormat{LogText, LogJSON}, func(settings *rawWorkerSettings) *LogFormat { return &settings.LogFormat }),
}

// ParseWorker decodes and validates the settings of the stand-in for a worker.
func ParseWorker(file string, source []byte) (WorkerSettings, error) {
	var settings rawWorkerSettings
	lines, err := parseRaw(file, source, workerFields, &settings)
	if err != nil {
		return WorkerSettings{}, err
	}
	if settings.Advertise == settings.PlatformAddress {
		return WorkerSettings{}, lines.Conflict("advertise", settings.Advertise, "an address other than platform_address")
	}
	settings.Capacity = almondcross.NewResources(settings.capacity)
	return NewWorkerSettings(settings.WorkerSettingsConfig), nil
}
