package router

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/almondcross/almondcross"
)

// index holds the queues of a version by host, the longest prefix first.
type index struct {
	table  almondcross.RouteTable
	byHost map[string][]almondcross.Queue
}

// Router finds queues.
type Router struct{ current atomic.Pointer[index] }

// New returns a router without a configuration.
func New() *Router { return &Router{} }

// Set puts a version in force. Older versions than the one in force are ignored.
func (router *Router) Set(table almondcross.RouteTable) {
	if known := router.current.Load(); known != nil && known.table.Version() >= table.Version() {
		return
	}
	built := &index{table: table, byHost: map[string][]almondcross.Queue{}}
	for _, queue := range table.Queues() {
		host := strings.ToLower(queue.Host())
		built.byHost[host] = append(built.byHost[host], queue)
	}
	for _, queues := range built.byHost {
		slices.SortStableFunc(queues, func(a, b almondcross.Queue) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	router.current.Store(built)
}

// Version returns the version in force, 0 before the first one.
func (router *Router) Version() int64 {
	if known := router.current.Load(); known != nil {
		return known.table.Version()
	}
	return 0
}

// BodyLimit returns the largest body of a request in bytes, 0 when there is none.
func (router *Router) BodyLimit() int64 {
	if known := router.current.Load(); known != nil {
		return known.table.BodyLimit()
	}
	return 0
}

// Match returns the queue of a request and the path behind its prefix.
func (router *Router) Match(host, path string) (queue almondcross.Queue, rest string, found bool) {
	known := router.current.Load()
	if known == nil {
		return almondcross.Queue{}, "", false
	}
	if name, _, ported := strings.Cut(host, ":"); ported {
		host = name
	}
	for _, queue := range known.byHost[strings.ToLower(host)] {
		if rest, found := strings.CutPrefix(path, queue.Prefix()); found {
			return queue, rest, true
		}
	}
	return almondcross.Queue{}, "", false
}
