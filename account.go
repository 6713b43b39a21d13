package almondcross

import "time"

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
