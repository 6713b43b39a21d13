package almondcross

import "time"

// MemberID identifies one incarnation of an entry host.
//
//value:generate
type MemberID struct {
	name        string // the name of the entry host
	incarnation uint64 // the number that increases each time the host starts or rejoins
}

// Member is an entry host of the cell.
//
//value:generate
type Member struct {
	id         MemberID // the name and incarnation
	dataCentre string   // the data centre of the host
	address    string   // the IP address and port of its peer link
	leaving    bool     // whether the host accepts no new keys
}

// Summary is the state that a member reports to its peers in each ping.
//
//value:generate
type Summary struct {
	catalogueOffset Offset        // the offset that its catalogue covers
	free            Resources     // the total free capacity of the targets that it holds
	largestFree     Resources     // the free capacity of its least loaded target
	waiting         int           // the number of tasks in its queue
	oldest          time.Duration // the age of the oldest task in its queue
	held            int           // the number of targets that it holds
	ejected         int           // the number of held targets that get no work because their tasks fail
	largest         Resources     // the maximum capacity of each resource among the targets that it knows
}

// Peer is another member of the view with its last reported state.
//
//value:generate
type Peer struct {
	member     Member    // the member
	summary    Summary   // the summary of its last ping
	heardAt    time.Time // the time of its last message
	leaseUntil time.Time // the end of the link lease that it granted
}

// View is the set of members that a host considers alive.
//
//value:generate
type View struct {
	self       Member          // the host itself
	peers      map[string]Peer // the other members by name
	lost       map[string]Loss // the lost members of the data centre, by name
	joinedWall time.Time       // the wall-clock time of the last join or planned leave in the data centre
	lostWall   time.Time       // the wall-clock time of the last loss in the data centre, or of this host's start
	readyAt    time.Time       // the time from which the host takes part as a coordinator
	validUntil time.Time       // the time from which the view is too old to be used
}

// Loss is a member that was removed from the view. It is not known which keys it had started.
//
//value:generate
type Loss struct {
	member   MemberID  // the lost member
	at       time.Time // the monotonic time at which it was removed from the view
	wallTime time.Time // the wall-clock time of the removal, compared with times of issue
}
