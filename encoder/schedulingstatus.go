package encoder

import "github.com/almondcross/almondcross"

// StatusPath is the path of the status of a host.
const StatusPath = "/v1/status"

// SchedulingStatusJSON is the JSON form of the status of a scheduling host.
type SchedulingStatusJSON struct {
	Host          string `json:"host"`
	Version       string `json:"version"`
	Revision      string `json:"revision"`
	GoVersion     string `json:"go_version"`
	Format        int    `json:"format"`         // Format is the highest number of a format of the journal that the host reads; it writes this one.
	JournalFormat int    `json:"journal_format"` // JournalFormat is the highest number that the host has met in the journal.
	Scheduler     string `json:"scheduler"`
	Epoch         int64  `json:"epoch"`
	Ready         bool   `json:"ready"`
}

// NewSchedulingStatusJSON returns the JSON form of a status.
func NewSchedulingStatusJSON(status almondcross.SchedulingStatus, ready bool) SchedulingStatusJSON {
	return SchedulingStatusJSON{
		Host: status.Host(), Version: status.Build().Version(), Revision: status.Build().Revision(), GoVersion: status.Build().GoVersion(),
		Format: status.Format(), JournalFormat: status.JournalFormat(), Scheduler: status.Scheduler(), Epoch: status.Epoch(), Ready: ready,
	}
}
