// Package usagereader reads the account of the queues from the store.
package usagereader
