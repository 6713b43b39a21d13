package almondcross

import (
	"context"
	"time"
)

// AccountEvent is one event of the share accounting.
//
//value:generate
type AccountEvent struct {
	entry     string        // the name of the entry
	owner     string        // the owner of the entry
	code      Code          // the reason code, empty for resource usage
	resources Resources     // the resources held
	duration  time.Duration // the time for which they were held, or the waiting time
	count     int64         // the number of tasks or requests
	at        time.Time     // the time of the event
}

// UsageLine is the resource usage of one entry in one interval.
//
//value:generate
type UsageLine struct {
	entry          string         // the name of the entry
	owner          string         // the owner of the entry
	milliCPUSec    float64        // the processor allocation, in millicore-seconds
	memoryMBSec    float64        // the memory allocation, in megabyte-seconds
	acceleratorSec float64        // the accelerator allocation, in accelerator-seconds
	slotSec        float64        // the slot allocation, in slot-seconds
	promised       float64        // the promised fraction of the data centre
	received       float64        // the received fraction of the data centre's dominant resource
	started        int64          // the number of started tasks
	finished       int64          // the number of tasks that ended with an answer
	waitedSec      float64        // the total waiting time of started tasks, in seconds
	reasons        map[Code]int64 // the number of events by reason code
}

// UsageBatch is the usage that one member recorded in one interval.
//
//value:generate
type UsageBatch struct {
	member     MemberID    // the member that recorded the usage
	dataCentre string      // the data centre of the member
	sequence   uint64      // the sequence number of the batch within the incarnation, from 1
	from       time.Time   // the start of the interval
	to         time.Time   // the end of the interval
	lines      []UsageLine // the usage by entry
	incomplete bool        // whether events of the interval were dropped
	final      bool        // whether this is the last batch of the incarnation
}

// UsageHour is the usage that all members of a data centre recorded in one hour.
//
//value:generate
type UsageHour struct {
	dataCentre string       // the data centre
	from       time.Time    // the start of the hour
	to         time.Time    // the end of the hour
	batches    int          // the number of distinct batches in the sum
	lines      []UsageLine  // the usage by entry; a line without an entry name holds the capacity
	gaps       []AccountGap // the missing batches; a gap without a member means that the stream was trimmed
	incomplete bool         // whether events of the hour are known to be missing
}

// HourAggregator sums the usage batches of one hour; it has no side effects.
type HourAggregator interface {
	// FirstHour returns the start of the hour of the oldest batch in the log, the zero time for none.
	FirstHour(ctx context.Context, dataCentre string) (time.Time, error)
	// AggregateHour returns the summed usage of the hour that begins at the given time.
	AggregateHour(ctx context.Context, dataCentre string, from time.Time) (UsageHour, error)
}

// Periods of the share accounting that writers and readers have in common.
const (
	// RollUpPeriod is the length of the periods into which intervals are rolled up.
	RollUpPeriod = time.Hour
	// AccountLag is the longest delay between the end of an interval and the append of its batch:
	// the time for which a host keeps batches while the log is down.
	AccountLag = 65 * time.Minute
)
