package admitter

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// intervalWeight is the weight of the newest start interval in the moving average.
	intervalWeight = 0.1
	// retryLeast and retryMost bound the time after which a refused caller asks again.
	retryLeast = 100 * time.Millisecond
	retryMost  = 30 * time.Second
	// waitingLimit bounds the waiting tasks of a host at about 100 MB.
	waitingLimit = 65536
)

// patience is the part of its time that work of a class may wait by prediction. Batch work keeps
// more in hand, so that it is shed before calls are.
var patience = map[almondcross.Class]float64{
	almondcross.ClassCall:    0.95,
	almondcross.ClassBatch:   0.8,
	almondcross.ClassGang:    0.8,
	almondcross.ClassService: 1,
}

// Admitter is an AdmissionPolicy. One goroutine uses it.
type Admitter struct {
	entries map[string]*pace
}

// pace is how fast an entry's tasks leave their line.
type pace struct {
	last     time.Time
	interval time.Duration
}

// New returns an admitter that has seen no task.
func New() *Admitter { return &Admitter{entries: map[string]*pace{}} }

// Admit decides whether a task joins its line.
func (admitter *Admitter) Admit(query almondcross.AdmissionQuery, now time.Time) almondcross.Admission {
	if query.Waiting() >= waitingLimit {
		return refuse(retryMost)
	}
	if query.Timeout() == 0 {
		return almondcross.NewAdmission(almondcross.AdmissionConfig{Accepted: true})
	}
	limit := query.Timeout()
	if part, ok := patience[query.Class()]; ok && !query.Urgent() {
		limit = time.Duration(part * float64(limit))
	}
	wait := admitter.predict(query, now)
	if wait <= limit {
		return almondcross.NewAdmission(almondcross.AdmissionConfig{Accepted: true})
	}
	return refuse(wait - limit)
}

func refuse(retryAfter time.Duration) almondcross.Admission {
	return almondcross.NewAdmission(almondcross.AdmissionConfig{
		Code: almondcross.CodeShedOverload, RetryAfter: min(max(retryAfter, retryLeast), retryMost),
	})
}

// predict returns the expected wait of a task that joins its line now.
func (admitter *Admitter) predict(query almondcross.AdmissionQuery, now time.Time) time.Duration {
	if query.Ahead() == 0 {
		return 0
	}
	known, ok := admitter.entries[query.Entry()]
	if !ok || known.interval == 0 {
		return query.Oldest()
	}
	// A line that stands still for longer than its interval has become slower.
	interval := max(known.interval, min(now.Sub(known.last), query.Oldest())/time.Duration(query.Ahead()))
	return time.Duration(query.Ahead()+1) * interval
}

// Left tells that a task left the line of an entry after a wait.
func (admitter *Admitter) Left(entry string, waited time.Duration, started bool, now time.Time) {
	if !started {
		return
	}
	known, ok := admitter.entries[entry]
	if !ok {
		admitter.entries[entry] = &pace{last: now}
		return
	}
	// A pause without waiting work says nothing about the pace.
	interval := min(now.Sub(known.last), waited)
	known.last = now
	if known.interval == 0 {
		known.interval = interval
		return
	}
	known.interval += time.Duration(intervalWeight * float64(interval-known.interval))
}
