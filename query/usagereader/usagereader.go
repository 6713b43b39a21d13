package usagereader

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Config holds the dependencies of Read.
type Config struct {
	Reader almondcross.StoreReader
	Codec  almondcross.JournalCodec
	Usage  almondcross.Partition // Usage is the keyed partition that holds the usage records.
}

// Account holds the usage of queues in a time range.
type Account struct {
	Usages     []almondcross.QueueUsage // Usages holds the usage of each period that begins in the time range, sorted by start and queue.
	Unreadable int                      // Unreadable is the number of records that could not be decoded; their usage is missing.
}

// Read returns the usage of the periods that begin in the time range [from, to). It returns an error if the store
// cannot be read.
func Read(ctx context.Context, config Config, from, to time.Time) (Account, error) {
	records, _, err := config.Reader.Newest(ctx, config.Usage)
	if err != nil {
		return Account{}, errors.Annotate(err, "reading the usage of queues")
	}
	var account Account
	for _, record := range records {
		usage, err := config.Codec.DecodeQueueUsage(record.Value())
		if err != nil {
			account.Unreadable++
			continue
		}
		if !usage.From().Before(from) && usage.From().Before(to) {
			account.Usages = append(account.Usages, usage)
		}
	}
	slices.SortFunc(account.Usages, func(a, b almondcross.QueueUsage) int {
		if byStart := a.From().Compare(b.From()); byStart != 0 {
			return byStart
		}
		return strings.Compare(a.Queue(), b.Queue())
	})
	return account, nil
}
