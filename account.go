package almondcross

import (
	"context"
	"time"
)

// AccountEvent is one fact for the account of shares.
//
//value:generate
type AccountEvent struct {
	entry     string        // the name of the entry
	owner     string        // the owner of the entry
	code      Code          // the reason code, empty for use
	resources Resources     // the resources held
	duration  time.Duration // the time for which they were held, or the time waited
	count     int64         // the number of tasks or requests
	at        time.Time     // the time of the event
}

// UsageLine is the use of one entry in one interval.
//
//value:generate
type UsageLine struct {
	entry          string         // the name of the entry
	owner          string         // the owner of the entry
	milliCPUSec    float64        // the processor time held, in thousandths of a core times seconds
	memoryMBSec    float64        // the memory held, in megabytes times seconds
	acceleratorSec float64        // the accelerators held, times seconds
	slotSec        float64        // the slots held, times seconds
	promised       float64        // the promised fraction of the data centre
	received       float64        // the received fraction of the data centre's dominant resource
	started        int64          // the number of tasks started
	finished       int64          // the number of tasks ended with an answer
	waitedSec      float64        // the time waited by started tasks, in seconds
	reasons        map[Code]int64 // the counted reasons
}

// UsageBatch is what one member accounted in one interval.
//
//value:generate
type UsageBatch struct {
	member     MemberID    // the member that accounted
	dataCentre string      // the data centre of the member
	sequence   uint64      // the number of the batch within the incarnation, from 1
	from       time.Time   // the start of the interval
	to         time.Time   // the end of the interval
	lines      []UsageLine // the use by entry
	incomplete bool        // whether events of the interval were refused and are missing
	final      bool        // whether this is the last batch of the incarnation
}

// UsageHour is what all members of a data centre accounted in one hour.
//
//value:generate
type UsageHour struct {
	dataCentre string       // the data centre
	from       time.Time    // the start of the hour
	to         time.Time    // the end of the hour
	batches    int          // the number of batches added up, each once
	lines      []UsageLine  // the use by entry; a line without an entry holds the capacity
	gaps       []AccountGap // the batches that are missing; a gap without a member is a trimmed stream
	incomplete bool         // whether facts of the hour are known to be missing
}

// HourSummer adds up the batches of one hour; it changes nothing.
type HourSummer interface {
	// FirstHour returns the start of the hour of the oldest batch that the log holds, zero for none.
	FirstHour(ctx context.Context, dataCentre string) (time.Time, error)
	// HourOf returns the sum of the hour that begins at a time.
	HourOf(ctx context.Context, dataCentre string, from time.Time) (UsageHour, error)
}

// Times of the account that writers and readers agree on.
const (
	// RollUpPeriod is the length of the periods into which intervals are rolled up.
	RollUpPeriod = time.Hour
	// AccountLag is how long after its interval a batch can be appended: as long as a host keeps
	// batches while the log is down.
	AccountLag = 65 * time.Minute
)
