// Package usagereader reads the resource usage of queues from the store.
package usagereader
