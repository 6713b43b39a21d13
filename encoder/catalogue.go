package encoder

import (
	"fmt"
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// Bounds of the fields of an entry.
const (
	maxMilliCPU     = 1_000_000
	maxMemoryMB     = 64_000_000
	maxAccelerators = 1_000
	maxSlots        = 10_000
	maxTasks        = 100_000
	maxRequests     = 10_000_000
	maxShare        = 1_000_000
	maxTime         = 1488 * time.Hour // the horizon of claims, 62 days
)

// CatalogueFile is the content of a catalogue file.
type CatalogueFile struct {
	entries []almondcross.Entry
}

// Entries returns the entries in the order of the file. A version is that of the file, 0 for none.
func (cataloguefile CatalogueFile) Entries() []almondcross.Entry { return cataloguefile.entries }

// entryDraft is an entry with the positions of its keys.
type entryDraft struct {
	EntryShape
	lines parser.Lines
}

type catalogueDraft struct {
	entries []entryDraft
}

var resourcesFields = []parser.Field[ResourcesShape]{
	parser.Integer(parser.About{Key: "milli_cpu", Unit: "thousandths of a core", Default: "0", Description: "the processor time"},
		0, maxMilliCPU, func(resources *ResourcesShape) *int64 { return &resources.MilliCPU }),
	parser.Memory(parser.About{Key: "memory", Default: `"0MB"`, Description: "the memory"},
		0, maxMemoryMB, func(resources *ResourcesShape) *Memory { return &resources.Memory }),
	parser.Integer(parser.About{Key: "accelerators", Default: "0", Description: "the number of accelerators"},
		0, maxAccelerators, func(resources *ResourcesShape) *int64 { return &resources.Accelerators }),
	parser.Integer(parser.About{Key: "slots", Default: "0", Description: "the number of slots of the runner"},
		0, maxSlots, func(resources *ResourcesShape) *int64 { return &resources.Slots }),
}

var classes = []almondcross.Class{
	almondcross.ClassService, almondcross.ClassBatch, almondcross.ClassGang, almondcross.ClassCall,
}

var entryFields = []parser.Field[entryDraft]{
	parser.Name(parser.About{Key: "name", Description: "the name of the entry"},
		func(draft *entryDraft) *string { return &draft.Name }),
	parser.Name(parser.About{Key: "owner", Description: "the team that the entry belongs to"},
		func(draft *entryDraft) *string { return &draft.Owner }),
	parser.Choice(parser.About{Key: "class", Description: "how the tasks are run"},
		classes, func(draft *entryDraft) *almondcross.Class { return &draft.Class }),
	parser.Object(parser.About{Key: "resources", Description: "what one task needs"},
		resourcesFields, func(draft *entryDraft) *ResourcesShape { return &draft.Resources }),
	parser.Integer(parser.About{Key: "replicas", Default: "0", Description: "the replicas of a service in each data centre"},
		0, maxTasks, func(draft *entryDraft) *int { return &draft.Replicas }),
	parser.Integer(parser.About{Key: "tasks", Default: "0", Description: "the tasks of a gang request"},
		0, maxTasks, func(draft *entryDraft) *int { return &draft.Tasks }),
	parser.Integer(parser.About{Key: "max_running", Default: "0", Description: "the most tasks that run at once in a data centre, 0 for no limit"},
		0, maxTasks, func(draft *entryDraft) *int { return &draft.MaxRunning }),
	parser.Integer(parser.About{Key: "max_waiting", Default: "0", Description: "the most requests that wait in a data centre, 0 for no limit"},
		0, maxRequests, func(draft *entryDraft) *int { return &draft.MaxWaiting }),
	parser.Duration(parser.About{Key: "timeout", Default: `"0s"`, Description: "the time within which an answer is useful, 0s for no limit"},
		0, maxTime, func(draft *entryDraft) *Duration { return &draft.Timeout }),
	parser.Duration(parser.About{Key: "max_run", Default: `"0s"`, Description: "the time after which a task is stopped, 0s for no limit"},
		0, maxTime, func(draft *entryDraft) *Duration { return &draft.MaxRun }),
	parser.Duration(parser.About{Key: "expected_run", Default: `"0s"`, Description: "the declared run time, 0s when not known"},
		0, maxTime, func(draft *entryDraft) *Duration { return &draft.ExpectedRun }),
	parser.Integer(parser.About{Key: "share", Description: "the weight of the share that the owner is promised through this entry"},
		1, maxShare, func(draft *entryDraft) *int64 { return &draft.Share }),
	parser.Boolean(parser.About{Key: "repeatable", Description: "whether a request may run again after a failure"},
		func(draft *entryDraft) *bool { return &draft.Repeatable }),
	parser.Boolean(parser.About{Key: "urgent", Default: "false", Description: "whether the work takes capacity from lent work"},
		func(draft *entryDraft) *bool { return &draft.Urgent }),
	parser.Names(parser.About{Key: "data_centres", Default: "[]", Description: "the data centres that may run the entry, none for all"},
		0, func(draft *entryDraft) *[]string { return &draft.DataCentres }),
	parser.Integer(parser.About{Key: "version", Default: "0", Description: "the version that the change is based on"},
		0, almondcross.Offset(1)<<62, func(draft *entryDraft) *almondcross.Offset { return &draft.Version }),
}

var catalogueFields = []parser.Field[catalogueDraft]{
	parser.Objects(parser.About{Key: "entries", Description: "the entries"}, entryFields, checkEntry,
		func(draft *catalogueDraft) *[]entryDraft { return &draft.entries }),
}

// DecodeCatalogueFile reads a catalogue file; an error is one line with file and line.
func DecodeCatalogueFile(file string, source []byte) (CatalogueFile, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return CatalogueFile{}, err
	}
	var draft catalogueDraft
	if _, err := parser.Decode(node, catalogueFields, &draft); err != nil {
		return CatalogueFile{}, err
	}
	names := make(map[string]bool, len(draft.entries))
	entries := make([]almondcross.Entry, len(draft.entries))
	for index, entry := range draft.entries {
		if names[entry.Name] {
			return CatalogueFile{}, entry.lines.Conflict("name", strconv.Quote(entry.Name)+" a second time", "each name once")
		}
		names[entry.Name] = true
		entries[index] = entry.Entry()
	}
	return CatalogueFile{entries: entries}, nil
}

// DecodeEntry reads one entry of a request body.
func DecodeEntry(file string, source []byte) (almondcross.Entry, error) {
	node, err := parser.Parse(file, source)
	if err != nil {
		return almondcross.Entry{}, err
	}
	var draft entryDraft
	lines, err := parser.Decode(node, entryFields, &draft)
	if err != nil {
		return almondcross.Entry{}, err
	}
	if err := checkEntry(lines, &draft); err != nil {
		return almondcross.Entry{}, err
	}
	return draft.Entry(), nil
}

// checkEntry refuses fields that contradict each other.
func checkEntry(lines parser.Lines, draft *entryDraft) error {
	draft.lines = lines
	isService, isGang := draft.Class == almondcross.ClassService, draft.Class == almondcross.ClassGang
	rules := []struct {
		broken              bool
		key, found, allowed string
	}{
		{draft.Resources == ResourcesShape{}, "resources", "nothing", "at least one resource above zero"},
		{isService && draft.Replicas == 0, "replicas", "0", "at least 1 for class service"},
		{!isService && draft.Replicas != 0, "replicas", strconv.Itoa(draft.Replicas), "0 for class " + string(draft.Class)},
		{isService && !draft.Repeatable, "repeatable", "false", "true for class service, whose replicas start again after a failure"},
		{isService && draft.MaxRun != 0, "max_run", draft.MaxRun.String(), "0s for class service, which has no end"},
		{isGang && draft.Tasks < 2, "tasks", strconv.Itoa(draft.Tasks), "at least 2 for class gang"},
		{!isGang && draft.Tasks != 0, "tasks", strconv.Itoa(draft.Tasks), "0 for class " + string(draft.Class)},
		{draft.Class == almondcross.ClassCall && draft.Timeout == 0, "timeout", "0s", "more than 0s for class call, whose caller waits"},
		{draft.MaxRun != 0 && draft.ExpectedRun > draft.MaxRun, "expected_run", draft.ExpectedRun.String(), "at most max_run, " + draft.MaxRun.String()},
		{
			draft.MaxRunning != 0 && max(draft.Tasks, draft.Replicas) > draft.MaxRunning, "max_running", strconv.Itoa(draft.MaxRunning),
			fmt.Sprintf("0 or at least the %d tasks or replicas", max(draft.Tasks, draft.Replicas)),
		},
	}
	for _, rule := range rules {
		if rule.broken {
			return lines.Conflict(rule.key, rule.found, rule.allowed)
		}
	}
	return nil
}
