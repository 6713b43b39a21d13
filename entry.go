package almondcross

import "time"

// Class determines how the tasks of an entry are run.
type Class string

// The classes of an entry.
const (
	ClassService Class = "service" // ClassService is long-running; its replicas are kept running.
	ClassBatch   Class = "batch"   // ClassBatch runs to its end once for each request.
	ClassGang    Class = "gang"    // ClassGang needs all its tasks to run at the same time.
	ClassCall    Class = "call"    // ClassCall is a short request whose caller waits for the answer.
)

// Offset is the position of a record in a log stream; versions of entries are offsets.
type Offset int64

// Entry is the definition of a job or service in the catalogue, with its owner and limits.
//
//value:generate
type Entry struct {
	name        string        // the name of the entry
	owner       string        // the team that owns the entry
	class       Class         // the class of the work
	resources   Resources     // the resources that one task needs
	replicas    int           // the number of replicas of a service in each data centre
	tasks       int           // the number of tasks of a gang request
	maxRunning  int           // the maximum number of running tasks in a data centre, 0 for no limit
	maxWaiting  int           // the maximum number of waiting requests in a data centre, 0 for no limit
	timeout     time.Duration // the time within which an answer is useful
	maxRun      time.Duration // the time after which a task is stopped, 0 for no limit
	expectedRun time.Duration // the declared run time
	share       int64         // the weight of the share that the owner is promised through this entry
	repeatable  bool          // whether a request may run again after a failure
	urgent      bool          // whether the work may preempt tasks that run on lent capacity
	dataCentres []string      // the data centres that may run the entry; empty for all
	version     Offset        // the log offset of the last accepted change
}

// RunsIn reports whether the entry may run in a data centre.
func (entry Entry) RunsIn(dataCentre string) bool {
	for _, name := range entry.dataCentres {
		if name == dataCentre {
			return true
		}
	}
	return len(entry.dataCentres) == 0
}

// Catalogue is the set of entries at one offset of the log.
type Catalogue struct {
	offset  Offset
	entries map[string]Entry
}

// NewCatalogue returns an empty catalogue that covers no record of the log.
func NewCatalogue() Catalogue { return Catalogue{offset: -1} }

// Offset returns the offset of the last record that the catalogue covers.
func (catalogue Catalogue) Offset() Offset { return catalogue.offset }

// Len returns the number of entries.
func (catalogue Catalogue) Len() int { return len(catalogue.entries) }

// Entry returns the entry with the given name and reports whether it exists.
func (catalogue Catalogue) Entry(name string) (Entry, bool) {
	entry, ok := catalogue.entries[name]
	return entry, ok
}

// Entries calls yield for each entry, in no fixed order, until it returns false.
func (catalogue Catalogue) Entries(yield func(Entry) bool) {
	for _, entry := range catalogue.entries {
		if !yield(entry) {
			return
		}
	}
}

// WithOffset returns a copy that covers the log up to the given offset.
func (catalogue Catalogue) WithOffset(offset Offset) Catalogue {
	catalogue.offset = offset
	return catalogue
}

// WithEntry returns a copy that contains the given entry.
func (catalogue Catalogue) WithEntry(entry Entry) Catalogue {
	entries := catalogue.copyEntries()
	entries[entry.name] = entry
	catalogue.entries = entries
	return catalogue
}

// WithoutEntry returns a copy without the named entry.
func (catalogue Catalogue) WithoutEntry(name string) Catalogue {
	entries := catalogue.copyEntries()
	delete(entries, name)
	catalogue.entries = entries
	return catalogue
}

func (catalogue Catalogue) copyEntries() map[string]Entry {
	entries := make(map[string]Entry, len(catalogue.entries)+1)
	for name, entry := range catalogue.entries {
		entries[name] = entry
	}
	return entries
}
