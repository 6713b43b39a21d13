package encoder

import (
	"fmt"
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// Upper bounds of the fields of an entry.
const (
	maxMilliCPU     = 1_000_000
	maxMemoryMB     = 64_000_000
	maxAccelerators = 1_000
	maxSlots        = 10_000
	maxTasks        = 100_000
	maxRequests     = 10_000_000
	maxShare        = 1_000_000
	maxDuration     = 1488 * time.Hour // the claim horizon of 62 days
)

// CatalogueFile is a decoded catalogue file.
type CatalogueFile struct {
	entries []almondcross.Entry
}

// Entries returns the entries in the order of the file. Each has the version that the file gives, 0 for none.
func (cataloguefile CatalogueFile) Entries() []almondcross.Entry { return cataloguefile.entries }

// rawEntry is an entry with the line numbers of its keys.
type rawEntry struct {
	EntryJSON
	lines parser.Lines
}

type rawCatalogue struct {
	entries []rawEntry
}

var resourcesFields = []parser.Field[ResourcesJSON]{
	parser.Integer(parser.FieldSpec{Key: "milli_cpu", Unit: "thousandths of a core", Default: "0", Description: "the CPU need"},
		0, maxMilliCPU, func(resources *ResourcesJSON) *int64 { return &resources.MilliCPU }),
	parser.Memory(parser.FieldSpec{Key: "memory", Default: `"0MB"`, Description: "the memory"},
		0, maxMemoryMB, func(resources *ResourcesJSON) *Memory { return &resources.Memory }),
	parser.Integer(parser.FieldSpec{Key: "accelerators", Default: "0", Description: "the number of accelerators"},
		0, maxAccelerators, func(resources *ResourcesJSON) *int64 { return &resources.Accelerators }),
	parser.Integer(parser.FieldSpec{Key: "slots", Default: "0", Description: "the number of slots of the task runner"},
		0, maxSlots, func(resources *ResourcesJSON) *int64 { return &resources.Slots }),
}

var classes = []almondcross.Class{
	almondcross.ClassService, almondcross.ClassBatch, almondcross.ClassGang, almondcross.ClassCall,
}

var entryFields = []parser.Field[rawEntry]{
	parser.Name(parser.FieldSpec{Key: "name", Description: "the name of the entry"},
		func(entry *rawEntry) *string { return &entry.Name }),
	parser.Name(parser.FieldSpec{Key: "owner", Description: "the team that the entry belongs to"},
		func(entry *rawEntry) *string { return &entry.Owner }),
	parser.Choice(parser.FieldSpec{Key: "class", Description: "the scheduling class of the tasks"},
		classes, func(entry *rawEntry) *almondcross.Class { return &entry.Class }),
	parser.Object(parser.FieldSpec{Key: "resources", Description: "the resources that each task needs"},
		resourcesFields, func(entry *rawEntry) *ResourcesJSON { return &entry.Resources }),
	parser.Integer(parser.FieldSpec{Key: "replicas", Default: "0", Description: "the number of replicas of a service in each data centre"},
		0, maxTasks, func(entry *rawEntry) *int { return &entry.Replicas }),
	parser.Integer(parser.FieldSpec{Key: "tasks", Default: "0", Description: "the number of tasks of a gang request"},
		0, maxTasks, func(entry *rawEntry) *int { return &entry.Tasks }),
	parser.Integer(parser.FieldSpec{Key: "max_running", Default: "0", Description: "the maximum number of tasks that run at the same time in a data centre, 0 for no limit"},
		0, maxTasks, func(entry *rawEntry) *int { return &entry.MaxRunning }),
	parser.Integer(parser.FieldSpec{Key: "max_waiting", Default: "0", Description: "the maximum number of requests that wait in a data centre, 0 for no limit"},
		0, maxRequests, func(entry *rawEntry) *int { return &entry.MaxWaiting }),
	parser.Duration(parser.FieldSpec{Key: "timeout", Default: `"0s"`, Description: "the time within which an answer is useful, 0s for no limit"},
		0, maxDuration, func(entry *rawEntry) *Duration { return &entry.Timeout }),
	parser.Duration(parser.FieldSpec{Key: "max_run", Default: `"0s"`, Description: "the time after which a task is stopped, 0s for no limit"},
		0, maxDuration, func(entry *rawEntry) *Duration { return &entry.MaxRun }),
	parser.Duration(parser.FieldSpec{Key: "expected_run", Default: `"0s"`, Description: "the declared run time, 0s when not known"},
		0, maxDuration, func(entry *rawEntry) *Duration { return &entry.ExpectedRun }),
	parser.Integer(parser.FieldSpec{Key: "share", Description: "the weight of this entry in the share promised to its owner"},
		1, maxShare, func(entry *rawEntry) *int64 { return &entry.Share }),
	parser.Boolean(parser.FieldSpec{Key: "repeatable", Description: "whether a request may run again after a failure"},
		func(entry *rawEntry) *bool { return &entry.Repeatable }),
	parser.Boolean(parser.FieldSpec{Key: "urgent", Default: "false", Description: "whether the tasks may preempt tasks that run on borrowed capacity"},
		func(entry *rawEntry) *bool { return &entry.Urgent }),
	parser.Names(parser.FieldSpec{Key: "data_centres", Default: "[]", Description: "the data centres that may run the entry, none for all"},
		0, func(entry *rawEntry) *[]string { return &entry.DataCentres }),
	parser.Integer(parser.FieldSpec{Key: "version", Default: "0", Description: "the version of the entry on which the change is based"},
		0, almondcross.Offset(1)<<62, func(entry *rawEntry) *almondcross.Offset { return &entry.Version }),
}

var catalogueFields = []parser.Field[rawCatalogue]{
	parser.Objects(parser.FieldSpec{Key: "entries", Description: "the entries"}, entryFields, checkEntry,
		func(catalogue *rawCatalogue) *[]rawEntry { return &catalogue.entries }),
}

// DecodeCatalogueFile decodes and validates a catalogue file. A parser.FormatError gives the file, the line
// and the key of the first error.
func DecodeCatalogueFile(file string, source []byte) (CatalogueFile, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return CatalogueFile{}, err
	}
	var catalogue rawCatalogue
	if _, err := parser.Decode(node, catalogueFields, &catalogue); err != nil {
		return CatalogueFile{}, err
	}
	names := make(map[string]bool, len(catalogue.entries))
	entries := make([]almondcross.Entry, len(catalogue.entries))
	for index, entry := range catalogue.entries {
		if names[entry.Name] {
			return CatalogueFile{}, entry.lines.Conflict("name", strconv.Quote(entry.Name)+" more than once", "unique names")
		}
		names[entry.Name] = true
		entries[index] = entry.Entry()
	}
	return CatalogueFile{entries: entries}, nil
}

// DecodeEntry decodes and validates one entry, such as that of a request body; file names the source in errors.
func DecodeEntry(file string, source []byte) (almondcross.Entry, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return almondcross.Entry{}, err
	}
	var entry rawEntry
	lines, err := parser.Decode(node, entryFields, &entry)
	if err != nil {
		return almondcross.Entry{}, err
	}
	if err := checkEntry(lines, &entry); err != nil {
		return almondcross.Entry{}, err
	}
	return entry.Entry(), nil
}

// checkEntry stores the line numbers of the entry and returns an error for values that conflict with each other.
func checkEntry(lines parser.Lines, entry *rawEntry) error {
	entry.lines = lines
	isService, isGang := entry.Class == almondcross.ClassService, entry.Class == almondcross.ClassGang
	rules := []struct {
		violated            bool
		key, found, allowed string
	}{
		{entry.Resources == ResourcesJSON{}, "resources", "nothing", "at least one resource above zero"},
		{isService && entry.Replicas == 0, "replicas", "0", "at least 1 for class service"},
		{!isService && entry.Replicas != 0, "replicas", strconv.Itoa(entry.Replicas), "0 for class " + string(entry.Class)},
		{isService && !entry.Repeatable, "repeatable", "false", "true for class service, whose replicas start again after a failure"},
		{isService && entry.MaxRun != 0, "max_run", entry.MaxRun.String(), "0s for class service, which has no end"},
		{isGang && entry.Tasks < 2, "tasks", strconv.Itoa(entry.Tasks), "at least 2 for class gang"},
		{!isGang && entry.Tasks != 0, "tasks", strconv.Itoa(entry.Tasks), "0 for class " + string(entry.Class)},
		{entry.Class == almondcross.ClassCall && entry.Timeout == 0, "timeout", "0s", "more than 0s for class call, whose caller waits"},
		{entry.MaxRun != 0 && entry.ExpectedRun > entry.MaxRun, "expected_run", entry.ExpectedRun.String(), "at most max_run, " + entry.MaxRun.String()},
		{
			entry.MaxRunning != 0 && max(entry.Tasks, entry.Replicas) > entry.MaxRunning, "max_running", strconv.Itoa(entry.MaxRunning),
			fmt.Sprintf("0 or at least the %d tasks or replicas", max(entry.Tasks, entry.Replicas)),
		},
	}
	for _, rule := range rules {
		if rule.violated {
			return lines.Conflict(rule.key, rule.found, rule.allowed)
		}
	}
	return nil
}
