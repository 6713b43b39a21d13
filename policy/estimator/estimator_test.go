package estimator_test

import (
	"fmt"
	"math/rand/v2"
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
			estimator.Observe("e", declared, 100*runTime)
		} else {
			estimator.Observe("e", declared, runTime)
		}
	}
	require.Equal(t, almondcross.BandShort, estimator.Band("e", declared))
	require.InDelta(t, 100, estimator.Estimate("e", declared).Milliseconds(), 30)
	require.Equal(t, 500*time.Millisecond, estimator.StragglerThreshold("e", declared))
	for range 1000 {
		estimator.Observe("e", declared, time.Minute)
	}
	require.Equal(t, almondcross.Band(2), estimator.Band("e", declared))
	require.Zero(t, estimator.StragglerThreshold("unknown", 0))
}

// Guards against estimates that follow wrong declarations where tasks are alike, and that ignore the declarations where these
// tell tasks of different lengths apart.
func TestEstimateUsesWhatPredictsBetter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	alike, different := estimator.New(), estimator.New()
	for range 200 {
		alike.Observe("q", time.Duration((0.1+1.8*random.Float64())*float64(3*time.Second)), 3*time.Second)
		declared := time.Duration((1 + 60*random.Float64()) * float64(time.Second))
		different.Observe("q", declared, time.Duration((1.8+0.4*random.Float64())*float64(declared)))
	}
	require.InEpsilon(t, 3*time.Second, alike.Quantile("q", time.Second, 0.5), 0.2)
	require.InEpsilon(t, 20*time.Second, different.Quantile("q", 10*time.Second, 0.5), 0.2)
	require.InEpsilon(t, 80*time.Second, different.Quantile("q", 40*time.Second, 0.5), 0.2)
}

// Guards against memory that grows with the number of keys, which callers choose, and against the loss of a key in use.
func TestNumberOfKeysIsBounded(t *testing.T) {
	estimator := estimator.New()
	for index := range 5000 {
		for range 8 {
			estimator.Observe(fmt.Sprint("key", index), time.Hour, time.Second)
			estimator.Observe("in use", time.Hour, time.Second)
		}
	}
	require.Equal(t, time.Hour, estimator.Estimate("key0", time.Hour), "the first key was dropped")
	require.Less(t, estimator.Estimate("in use", time.Hour), time.Minute)
	require.Less(t, estimator.Estimate("key4999", time.Hour), time.Minute)
}
