package encoder

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Limits of the numbers in records and link messages. No host writes numbers beyond them; a damaged record or message may
// have any, and what is computed from them has to stay in the range of its type.
const (
	// maxCount is the maximum of an offset, a sequence number or a run number: floating point has all whole numbers up to it.
	maxCount = 1 << 53
	// longestDuration is the maximum of a duration, about a hundred years. Sums of two are within the range of time.Duration.
	longestDuration = 100 * 365 * 24 * time.Hour
)

// validCount reports whether a number is an offset, a sequence number, a run number or a count that a host can have written.
func validCount(count int64) bool { return count >= 0 && count <= maxCount }

// validCounts reports whether all numbers are valid counts.
func validCounts[N ~int | ~int64](counts ...N) bool {
	for _, count := range counts {
		if !validCount(int64(count)) {
			return false
		}
	}
	return true
}

// validEvidence reports whether a number is the evidence of crashes that a host can have written: a sum of logarithms, which may
// be negative.
func validEvidence(evidence int) bool { return evidence >= -maxCount && evidence <= maxCount }

// validEpoch reports whether an epoch is in the range that schedulers use. A record with a higher one would leave no terms
// for the next elections.
func validEpoch(epoch int64) bool { return epoch >= 0 && epoch <= almondcross.MaxEpoch }

// checkOffsets returns ErrMalformed unless all partitions and offsets are valid counts.
func checkOffsets(offsets map[int]int64) error {
	for partition, offset := range offsets {
		if !validCounts(int64(partition), offset) {
			return errors.Annotatef(ErrMalformed, "offset %d of partition %d", offset, partition)
		}
	}
	return nil
}

// milliseconds returns the duration of a number of milliseconds, at most longestDuration in either direction.
func milliseconds(count int64) time.Duration { return limitedDuration(count, time.Millisecond) }

// microseconds returns the duration of a number of microseconds, at most longestDuration in either direction.
func microseconds(count int64) time.Duration { return limitedDuration(count, time.Microsecond) }

func limitedDuration(count int64, unit time.Duration) time.Duration {
	limit := int64(longestDuration / unit)
	return time.Duration(min(max(count, -limit), limit)) * unit
}
