package process_test

import (
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// evidence is what the checker judges: the records of the stand-ins and what callers were told.
type evidence struct {
	workers    []encoder.WorkerHistory
	appends    encoder.PlatformAppends
	answers    []answer
	leaving    []leavingMark
	stops      []plannedStop
	changes    []acceptedChange
	catalogues []catalogueReading
}

// answer is one attempt of a caller and what came back.
type answer struct {
	Key, Entry, Host string
	Repeatable       bool
	Expected         string // Expected is the answer that belongs to the key.
	Sent, Told       time.Time
	Status           almondcross.Status
	Code             almondcross.Code
	ToldKey          string // ToldKey is the key in the outcome, empty for an error without an outcome.
	Answer           string
	Target           string
	Refused          bool // Refused means that no connection was made, so nothing was sent.
	Abandoned        bool // Abandoned means that the caller itself ended the attempt.
	Err              string
}

// leavingMark is a period in which a worker was reported as leaving.
type leavingMark struct {
	Worker string
	From   time.Time
	Until  time.Time // Until is zero while the worker is leaving.
}

// plannedStop is the period from SIGTERM to the end of the process.
type plannedStop struct {
	Host        string
	Begun, Done time.Time
}

// acceptedChange is a catalogue change from the time at which an operator was told that it is accepted.
type acceptedChange struct {
	Version almondcross.Offset
	At      time.Time
}

// catalogueReading is the offset that a ready host reported; Run distinguishes processes of one name.
type catalogueReading struct {
	Host   string
	Run    int
	At     time.Time
	Offset almondcross.Offset
}
