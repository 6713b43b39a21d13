// Package retrier paces the retries of a failing operation: each pause is about twice as long as the one before, up to a limit.
package retrier
