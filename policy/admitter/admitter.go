package admitter

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// intervalWeight is the weight of the newest start interval in the exponential moving average.
	intervalWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay that a rejected caller is given.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxWaiting limits the number of waiting tasks of a host, which bounds their memory to about 100 MB.
	maxWaiting = 65536
)

// waitFractions holds, for each class, the fraction of the time left until its timeout that a task may be
// expected to wait. It is lower for batch tasks and gangs, so that they are shed before calls.
var waitFractions = map[almondcross.Class]float64{
	almondcross.ClassCall:    0.95,
	almondcross.ClassBatch:   0.8,
	almondcross.ClassGang:    0.8,
	almondcross.ClassService: 1,
}

// Admitter implements almondcross.AdmissionPolicy. It is not safe for concurrent use.
type Admitter struct {
	startRates map[string]*startRate
}

// startRate tracks how often tasks of an entry start from its queue.
type startRate struct {
	lastStart    time.Time
	meanInterval time.Duration
}

// New returns an admitter without observed starts.
func New() *Admitter { return &Admitter{startRates: map[string]*startRate{}} }

// Admit decides whether a task may wait in the queue of its entry.
func (admitter *Admitter) Admit(query almondcross.AdmissionQuery, now time.Time) almondcross.Admission {
	if query.Waiting() >= maxWaiting {
		return refuse(maxRetryAfter)
	}
	if query.Timeout() == 0 {
		return almondcross.NewAdmission(almondcross.AdmissionConfig{Accepted: true})
	}
	limit := query.Timeout()
	if fraction, ok := waitFractions[query.Class()]; ok && !query.Urgent() {
		limit = time.Duration(fraction * float64(limit))
	}
	wait := admitter.expectedWait(query, now)
	if wait <= limit {
		return almondcross.NewAdmission(almondcross.AdmissionConfig{Accepted: true})
	}
	return refuse(wait - limit)
}

func refuse(retryAfter time.Duration) almondcross.Admission {
	return almondcross.NewAdmission(almondcross.AdmissionConfig{
		Code: almondcross.CodeShedOverload, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter),
	})
}

// expectedWait returns the expected waiting time of a task that is queued now.
func (admitter *Admitter) expectedWait(query almondcross.AdmissionQuery, now time.Time) time.Duration {
	if query.Ahead() == 0 {
		return 0
	}
	rate, ok := admitter.startRates[query.Entry()]
	if !ok || rate.meanInterval == 0 {
		return query.Oldest()
	}
	// If no task has started for longer than the average predicts, the queue has become slower.
	interval := max(rate.meanInterval, min(now.Sub(rate.lastStart), query.Oldest())/time.Duration(query.Ahead()))
	return time.Duration(query.Ahead()+1) * interval
}

// Dequeued records that a task left the queue of an entry after waiting, started or not.
func (admitter *Admitter) Dequeued(entry string, waited time.Duration, started bool, now time.Time) {
	if !started {
		return
	}
	rate, ok := admitter.startRates[entry]
	if !ok {
		admitter.startRates[entry] = &startRate{lastStart: now}
		return
	}
	// The time in which no task was waiting does not count as part of the start interval.
	interval := min(now.Sub(rate.lastStart), waited)
	rate.lastStart = now
	if rate.meanInterval == 0 {
		rate.meanInterval = interval
		return
	}
	rate.meanInterval += time.Duration(intervalWeight * float64(interval-rate.meanInterval))
}
