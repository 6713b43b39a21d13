package estimator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/estimator"
)

// TestEstimateFollowsObservedRunTimes guards against estimates from a declared run time that differs
// much from the observed ones, against a few stragglers that move an entry to a longer band, and against
// old run times that never lose weight.
func TestEstimateFollowsObservedRunTimes(t *testing.T) {
	estimator := estimator.New()
	declared := 10 * time.Minute
	require.NotEqual(t, almondcross.BandShort, estimator.Band("e", declared))
	for index := range 200 {
		if runTime := 100 * time.Millisecond; index%20 == 0 {
			estimator.Observe("e", 100*runTime)
		} else {
			estimator.Observe("e", runTime)
		}
	}
	require.Equal(t, almondcross.BandShort, estimator.Band("e", declared))
	require.InDelta(t, 100, estimator.Estimate("e", declared).Milliseconds(), 30)
	require.Equal(t, 500*time.Millisecond, estimator.StragglerThreshold("e", declared))
	for range 1000 {
		estimator.Observe("e", time.Minute)
	}
	require.Equal(t, almondcross.Band(2), estimator.Band("e", declared))
	require.Zero(t, estimator.StragglerThreshold("unknown", 0))
}
