// Package accountant counts who received what, by interval, entry and owner.
//
// The Machine adds account events to the open interval. At the end of an interval it makes a batch,
// numbered within the incarnation of the host, and asks for its append until the log has taken it;
// readers recognise a batch read twice by its number. Batches wait in bounded memory while the log is
// down. A batch that is dropped leaves a hole in the numbers, so the account shows a gap and never a
// wrong sum. An interval of which events were refused is marked as incomplete.
//
// Intervals are aligned to the clock, so that the batches of several hosts can be added up. A line
// with an empty entry holds the capacity of the targets that the host held; readers divide by it.
//
// The machine also keeps the last decisions about requests for LookupStory.
package accountant
