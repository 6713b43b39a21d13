package encoder

import (
	"time"

	"github.com/almondcross/almondcross"
)

// MaxPlatformBody is the most bytes of one body of the platform and worker protocols.
const MaxPlatformBody = 1 << 20

// FirstPlatformOffset is the offset of the first record of a stream. It is 1, since the version of an
// entry is an offset and 0 stands for a new entry.
const FirstPlatformOffset = 1

// PlatformCode is the stable code of a refusal in the platform and worker protocols.
type PlatformCode string

// The refusal codes; a refused operation had no effect.
const (
	PlatformDown         PlatformCode = "down"              // PlatformDown means that the service takes no requests.
	PlatformInvalid      PlatformCode = "invalid"           // PlatformInvalid means that the request is malformed.
	PlatformTooLarge     PlatformCode = "too_large"         // PlatformTooLarge means that a body or record exceeds its bound.
	PlatformTrimmed      PlatformCode = "trimmed"           // PlatformTrimmed means that the offset is no longer kept.
	PlatformUnknownHost  PlatformCode = "unknown_host"      // PlatformUnknownHost means that the live list lacks the host.
	PlatformLeaseHeld    PlatformCode = "lease_held"        // PlatformLeaseHeld means that a lease is in force.
	PlatformTermStale    PlatformCode = "term_stale"        // PlatformTermStale means that the term is not in force.
	PlatformLeaving      PlatformCode = "target_leaving"    // PlatformLeaving means that the worker accepts no new work.
	PlatformOverCapacity PlatformCode = "capacity_exceeded" // PlatformOverCapacity means that the task does not fit.
	PlatformTaskConflict PlatformCode = "task_conflict"     // PlatformTaskConflict means that another attempt of the task runs.
	PlatformTasksFull    PlatformCode = "tasks_full"        // PlatformTasksFull means that too many results wait for acknowledgement.
)

// PlatformFailure is the body of every refusal.
type PlatformFailure struct {
	Code    PlatformCode `json:"code"`
	Message string       `json:"message"`
	Oldest  int64        `json:"oldest,omitempty"` // the oldest offset kept, with PlatformTrimmed
}

// PlatformRecord is one record of a stream; the log sets the offset and the time.
type PlatformRecord struct {
	ID         string `json:"id"`
	Offset     int64  `json:"offset,omitempty"`
	AppendedUs int64  `json:"appended_us,omitempty"`
	Body       []byte `json:"body"`
}

// PlatformAppend is the body of an append.
type PlatformAppend struct {
	Records []PlatformRecord `json:"records"`
}

// PlatformAppended answers an append.
type PlatformAppended struct {
	FirstOffset int64 `json:"first_offset"`
}

// PlatformBatch answers a read.
type PlatformBatch struct {
	Records []PlatformRecord `json:"records"`
	Next    int64            `json:"next"`
	End     int64            `json:"end"`
}

// PlatformEnd answers a question for the ends of a stream.
type PlatformEnd struct {
	Oldest int64 `json:"oldest"`
	End    int64 `json:"end"`
}

// PlatformAppendEntry is one append as the stand-in recorded it.
type PlatformAppendEntry struct {
	Index       int      `json:"index"`
	AtUs        int64    `json:"at_us"`
	Stream      string   `json:"stream"`
	FirstOffset int64    `json:"first_offset"`
	IDs         []string `json:"ids"`
	AnswerLost  bool     `json:"answer_lost"`
}

// PlatformAppends is a page of the recorded appends.
type PlatformAppends struct {
	Appends []PlatformAppendEntry `json:"appends"`
	Next    int                   `json:"next"`
	Total   int                   `json:"total"`
	Dropped int                   `json:"dropped"` // the appends that exceeded the bound of the list
}

// PlatformHost is a host of the live list, and the body of a registration or heartbeat.
type PlatformHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	Address    string `json:"address"`
	State      string `json:"state"`
	TTLMs      int64  `json:"ttl_ms,omitempty"` // the time until the host is gone without a heartbeat, 0 for never
}

// PlatformHosts answers a question for the live list.
type PlatformHosts struct {
	Version uint64         `json:"version"`
	Hosts   []PlatformHost `json:"hosts"`
}

// PlatformHostState sets the state of a host as an operation of the platform.
type PlatformHostState struct {
	State string `json:"state"` // live, leaving or gone
}

// PlatformSwitches are the faults of one service of the stand-in.
type PlatformSwitches struct {
	DelayMs     int64 `json:"delay_ms"`     // the delay of each answer
	Down        bool  `json:"down"`         // whether every operation is refused
	LoseAnswers int   `json:"lose_answers"` // the number of append answers to lose, negative for all
	HoldAnswers bool  `json:"hold_answers"` // whether answers wait until the switch is cleared
	LagMs       int64 `json:"lag_ms"`       // the lag of the live list
}

// PlatformRecordsOf returns the wire shape of records to append.
func PlatformRecordsOf(records []almondcross.Record) []PlatformRecord {
	shapes := make([]PlatformRecord, 0, len(records))
	for _, record := range records {
		shapes = append(shapes, PlatformRecord{ID: record.ID(), Body: record.Body()})
	}
	return shapes
}

// Batch returns the value of the wire shape.
func (platformbatch PlatformBatch) Batch() almondcross.Batch {
	records := make([]almondcross.Record, 0, len(platformbatch.Records))
	for _, record := range platformbatch.Records {
		records = append(records, almondcross.NewRecord(almondcross.RecordConfig{
			ID: record.ID, Offset: almondcross.Offset(record.Offset),
			Appended: time.UnixMicro(record.AppendedUs), Body: record.Body,
		}))
	}
	return almondcross.NewBatch(almondcross.BatchConfig{
		Records: records, Next: almondcross.Offset(platformbatch.Next), End: almondcross.Offset(platformbatch.End),
	})
}

// LiveHosts returns the value of the wire shape.
func (platformhosts PlatformHosts) LiveHosts() almondcross.LiveHosts {
	targets := make([]almondcross.Target, 0, len(platformhosts.Hosts))
	for _, host := range platformhosts.Hosts {
		targets = append(targets, almondcross.NewTarget(almondcross.TargetConfig{
			Name: host.Name, DataCentre: host.DataCentre, Rack: host.Rack,
			Address: host.Address, State: almondcross.HostState(host.State),
		}))
	}
	return almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Version: platformhosts.Version, Targets: targets})
}
