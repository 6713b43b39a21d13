package router

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/almondcross/almondcross"
)

// index holds the queues of one route table by host in lower case, sorted by descending length of the prefix.
type index struct {
	table  almondcross.RouteTable
	byHost map[string][]almondcross.Queue
	byKey  map[string]string // byKey holds the names of the workspaces by key.
}

// Router finds the queues of requests. It is safe for concurrent use.
type Router struct{ current atomic.Pointer[index] }

// New returns a router without a route table.
func New() *Router { return &Router{} }

// Set replaces the route table. It ignores a table whose version is not newer than the current one.
func (router *Router) Set(table almondcross.RouteTable) {
	next := newIndex(table)
	for {
		current := router.current.Load()
		if current != nil && current.table.Version() >= table.Version() || router.current.CompareAndSwap(current, next) {
			return
		}
	}
}

// newIndex returns the index of a route table.
func newIndex(table almondcross.RouteTable) *index {
	index := &index{table: table, byHost: map[string][]almondcross.Queue{}, byKey: map[string]string{}}
	for _, workspace := range table.Workspaces() {
		for _, key := range workspace.Keys() {
			index.byKey[key] = workspace.Name()
		}
	}
	for _, queue := range table.Queues() {
		host := strings.ToLower(queue.Host())
		index.byHost[host] = append(index.byHost[host], queue)
	}
	for _, queues := range index.byHost {
		slices.SortStableFunc(queues, func(a, b almondcross.Queue) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	return index
}

// Identify returns the workspace whose key a caller presents on a queue, and whether the call is allowed.
func (router *Router) Identify(queue almondcross.Queue, key string) (workspace string, allowed bool) {
	index := router.current.Load()
	if index == nil {
		return "", false
	}
	if queue.Open() || !index.table.KeysRequired() {
		return "", true
	}
	workspace, allowed = index.byKey[key]
	return workspace, allowed
}

// FitsQuota returns ErrExceedsQuota if a job can never run within the current quota of its workspace.
func (router *Router) FitsQuota(job almondcross.Job) error {
	if index := router.current.Load(); index != nil {
		return index.table.FitsQuota(job)
	}
	return nil
}

// Version returns the version of the current route table, 0 if there is none.
func (router *Router) Version() int64 {
	if index := router.current.Load(); index != nil {
		return index.table.Version()
	}
	return 0
}

// BodyLimit returns the maximum size of a request body in bytes, 0 if there is no route table.
func (router *Router) BodyLimit() int64 {
	if index := router.current.Load(); index != nil {
		return index.table.BodyLimit()
	}
	return 0
}

// Match returns the settings of the queue with the longest matching prefix for a request, and the rest of the path after the
// prefix. The host may have a port, which is ignored.
func (router *Router) Match(host, path string) (settings almondcross.QueueSettings, rest string, found bool) {
	index := router.current.Load()
	if index == nil {
		return almondcross.QueueSettings{}, "", false
	}
	if hostname, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = hostname
	}
	for _, queue := range index.byHost[strings.ToLower(host)] {
		if rest, found := strings.CutPrefix(path, queue.Prefix()); found {
			settings := almondcross.QueueSettingsConfig{Queue: queue, Version: index.table.Version()}
			return almondcross.NewQueueSettings(settings), rest, true
		}
	}
	return almondcross.QueueSettings{}, "", false
}
