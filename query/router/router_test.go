package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/query/router"
)

// Guards against a request that reaches a queue with a shorter prefix, and against a version that goes back.
func TestLongestPrefixOfTheNewestVersion(t *testing.T) {
	routes := router.New()
	_, _, found := routes.Match("h", "/a/x")
	require.False(t, found)
	queues := []almondcross.Queue{
		almondcross.NewQueue(almondcross.QueueConfig{Name: "short", Host: "H", Prefix: "/a/"}),
		almondcross.NewQueue(almondcross.QueueConfig{Name: "long", Host: "h", Prefix: "/a/b/"}),
	}
	routes.Set(almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 5, Queues: queues}))
	routes.Set(almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 4}))
	queue, rest, found := routes.Match("h:80", "/a/b/c")
	require.True(t, found)
	require.Equal(t, "long", queue.Name())
	require.Equal(t, "c", rest)
	queue, _, _ = routes.Match("h", "/a/c")
	require.Equal(t, "short", queue.Name())
	_, _, found = routes.Match("other", "/a/c")
	require.False(t, found)
	require.Equal(t, int64(5), routes.Version())
}
