package assembler

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/query/router"
	"github.com/almondcross/almondcross/ring"
)

// Guards against calls that wait with a version after a pause of the process and are answered by the version before, since the new one
// passes through another duty first.
func TestVersionFromTheStoreIsInForceBeforeItIsPassedOn(t *testing.T) {
	host := schedulerHost{Router: router.New(), Rings: schedulerRings{routes: ring.New[almondcross.RoutesMessage](ring.Config{Name: "routes"})}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	host.putRoutes(ctx, almondcross.NewRoutesRecord(almondcross.RoutesRecordConfig{
		Table: almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 7}),
	}))
	require.Equal(t, int64(7), host.Router.Version())
}
