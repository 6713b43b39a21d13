// Package roller rolls the account up into hours and keeps them in the log.
//
// The Roller is a duty. For each data centre for which its host comes first in the rendezvous order of
// the stream, it adds up every hour that can get no more batches and appends the sum to the stream of
// hours. It appends an hour again before the log drops it, for as long as the account is kept. It
// appends for itself and waits for the log, since nothing waits for it.
//
// Two hosts that roll up the same hour do no harm: readers count one roll-up of an hour, the one that
// adds up most batches. An append without an answer is repeated when the hour is not found in the
// stream. The state is an index with one line for each hour; the sums stay in the log.
package roller
