package usagereader

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Config holds what a reader needs.
type Config struct {
	Reader almondcross.StoreReader
	Codec  almondcross.JournalCodec
	Usage  almondcross.Partition // Usage is the keyed partition of the account.
}

// Account is the account of a time span.
type Account struct {
	Usages     []almondcross.QueueUsage // Usages holds the periods that begin in the span, by time and queue.
	Unreadable int                      // Unreadable counts the records that could not be read; their usage is missing.
}

// Read returns the account of the periods that begin in a span.
func Read(ctx context.Context, config Config, from, to time.Time) (Account, error) {
	records, _, err := config.Reader.Newest(ctx, config.Usage)
	if err != nil {
		return Account{}, errors.Annotate(err, "reading the account")
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
		if order := a.From().Compare(b.From()); order != 0 {
			return order
		}
		return strings.Compare(a.Queue(), b.Queue())
	})
	return account, nil
}
