// Package roller aggregates the usage account into hourly roll-ups and keeps them in the log.
//
// The Roller is a duty. Its host handles each data centre for which it comes first in the rendezvous order of
// the stream of hours. There the duty aggregates every hour that can get no more batches and appends the roll-up
// to the stream. It appends a roll-up again before the log trims it, until the retention period of the account
// ends. No other duty waits for the roller, so it calls the log itself and blocks until the log answers.
//
// Roll-ups of the same hour by two hosts are harmless: readers use only one roll-up of an hour, the one that
// aggregates the most batches. An append whose response was lost is retried when the hour is not found in the
// stream. The state is an index with one entry for each hour; the roll-ups themselves stay in the log.
package roller
