package router_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/query/router"
)

// Guards against matching a queue with a shorter prefix, and against replacing the route table by an older version.
func TestMatchUsesLongestPrefixOfNewestVersion(t *testing.T) {
	router := router.New()
	_, _, found := router.Match("h", "/a/x")
	require.False(t, found)
	queues := []almondcross.Queue{
		almondcross.NewQueue(almondcross.QueueConfig{Name: "short", Host: "H", Prefix: "/a/"}),
		almondcross.NewQueue(almondcross.QueueConfig{Name: "long", Host: "h", Prefix: "/a/b/"}),
	}
	router.Set(almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 5, Queues: queues}))
	router.Set(almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 4}))
	settings, rest, found := router.Match("h:80", "/a/b/c")
	require.True(t, found)
	require.Equal(t, "long", settings.Queue().Name())
	require.Equal(t, int64(5), settings.Version())
	require.Equal(t, "c", rest)
	settings, _, _ = router.Match("h", "/a/c")
	require.Equal(t, "short", settings.Queue().Name())
	_, _, found = router.Match("other", "/a/c")
	require.False(t, found)
	require.Equal(t, int64(5), router.Version())
}

// Guards against an older version that replaces a newer one because the reader of the store and the replicator set both at once.
func TestNewestOfConcurrentVersionsStays(t *testing.T) {
	router := router.New()
	var setters sync.WaitGroup
	for setter := range int64(4) {
		setters.Go(func() {
			for version := setter; version < 2000; version += 4 {
				router.Set(almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: version + 1}))
			}
		})
	}
	setters.Wait()
	require.Equal(t, int64(2000), router.Version())
}
