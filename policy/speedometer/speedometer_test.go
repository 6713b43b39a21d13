package speedometer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/speedometer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// progress is the sample of a run at a speed.
func progress(worker string, speed float64, taken time.Duration) almondcross.SpeedSample {
	return almondcross.NewSpeedSample(almondcross.SpeedSampleConfig{
		Worker: worker, Incarnation: 1, Taken: taken, Expected: time.Duration(speed * float64(taken)),
	})
}

// Guards against a worker that gets work for many seconds although the progress of a single run shows it to be slow, against one
// that is trusted again without a measurement, and against one that stays slow after it has recovered.
func TestProgressShowsASlowWorkerWithinSeconds(t *testing.T) {
	speeds := speedometer.New()
	observe := func(at time.Duration, speed float64) almondcross.SpeedChange {
		return speeds.Observe(progress("w", speed, 600*time.Millisecond), start.Add(at))
	}
	for at := time.Duration(0); at < 20*time.Second; at += 600 * time.Millisecond {
		require.Equal(t, almondcross.SpeedUnchanged, observe(at, 1/1.3))
	}
	require.False(t, speeds.Slow("w"))
	changedAt := time.Duration(0)
	for at := 20 * time.Second; at < 30*time.Second && changedAt == 0; at += 600 * time.Millisecond {
		if observe(at, 0.2) == almondcross.SpeedSlow {
			changedAt = at
		}
	}
	require.True(t, speeds.Slow("w"))
	require.LessOrEqual(t, changedAt, 22*time.Second)
	require.False(t, speeds.TrialDue("w", start.Add(changedAt+time.Second)))
	require.True(t, speeds.TrialDue("w", start.Add(changedAt+20*time.Second)))
	require.True(t, speeds.Slow("w"), "time alone shows nothing")
	speeds.TrialPlaced("w", start.Add(changedAt+20*time.Second))
	require.False(t, speeds.TrialDue("w", start.Add(changedAt+20*time.Second)))
	require.Equal(t, almondcross.SpeedTrusted, observe(changedAt+21*time.Second, 1/1.3))
	require.Equal(t, almondcross.SpeedUnchanged, speeds.Observe(progress("w", 0.2, 10*time.Millisecond).WithIncarnation(2), start))
	require.False(t, speeds.Slow("w"), "a new incarnation starts with the prior")
}

// Guards against sound workers that count as slow for their tasks: 3% run seven times as long, others vary by half.
func TestUnevenTasksMakeNoWorkerSlow(t *testing.T) {
	speeds, random := speedometer.New(), rand.New(rand.NewPCG(1, 1))
	for index := range 20_000 {
		factor := 0.6 + 0.8*random.Float64()
		if random.Float64() < 0.03 {
			factor *= 7
		}
		sample := almondcross.NewSpeedSample(almondcross.SpeedSampleConfig{
			Worker: fmt.Sprint("w", index%50), Incarnation: 1, Expected: time.Second, Taken: time.Duration(factor * float64(time.Second)), Finished: true,
		})
		require.NotEqual(t, almondcross.SpeedSlow, speeds.Observe(sample, start.Add(time.Duration(index)*2*time.Millisecond)))
	}
}

// Guards against a cell all of whose workers count as slow, because the estimates of the callers are too short.
func TestSpeedIsRelativeToTheUsualWorker(t *testing.T) {
	speeds := speedometer.New()
	for round := range 10 {
		for index := range 30 {
			speed := 0.3
			if index < 5 {
				speed = 0.06
			}
			speeds.Observe(progress(fmt.Sprint("w", index), speed, 600*time.Millisecond), start.Add(time.Duration(round)*600*time.Millisecond))
		}
		speeds.Balance()
	}
	for round := range 3 {
		for index := range 30 {
			if index >= 5 {
				speeds.Observe(progress(fmt.Sprint("w", index), 0.3, 600*time.Millisecond), start.Add(time.Duration(10+round)*600*time.Millisecond))
			}
		}
	}
	for index := range 30 {
		require.Equal(t, index < 5, speeds.Slow(fmt.Sprint("w", index)), index)
	}
	require.InDelta(t, 1, speeds.Speed("w20"), 0.1)
	speeds.Forget("w1")
	require.False(t, speeds.Slow("w1"))
}
