package process_test

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// evidence is the checker's input: the records of the stand-ins and the responses that callers received.
type evidence struct {
	workers        []encoder.WorkerHistory
	appends        encoder.PlatformAppends
	attempts       []attempt
	leavingPeriods []leavingPeriod
	stops          []plannedStop
	changes        []acceptedChange
	catalogues     []catalogueReading
}

// attempt is one attempt of a caller to send a request, with the response or the error.
type attempt struct {
	Key, Entry, Host string
	Repeatable       bool
	Expected         string // Expected is the correct answer for the key.
	Sent, Received   time.Time
	Status           almondcross.Status
	Code             almondcross.Code
	ReceivedKey      string // ReceivedKey is the key in the outcome, empty if there is no outcome.
	Answer           string
	Target           string
	Refused          bool // Refused means that no connection was made, so nothing was sent.
	Abandoned        bool // Abandoned means that the caller itself ended the attempt.
	Err              string
}

// leavingPeriod is a period in which a worker was reported as leaving.
type leavingPeriod struct {
	Worker string
	From   time.Time
	Until  time.Time // Until is zero while the worker is leaving.
}

// plannedStop is the period from SIGTERM to the exit of the process.
type plannedStop struct {
	Host           string
	Started, Ended time.Time
}

// acceptedChange is an accepted catalogue change with the time at which its operator received the response.
type acceptedChange struct {
	Version almondcross.Offset
	At      time.Time
}

// catalogueReading is the catalogue offset that a ready host reported; StartCount distinguishes the
// processes of one host.
type catalogueReading struct {
	Host       string
	StartCount int
	At         time.Time
	Offset     almondcross.Offset
}
