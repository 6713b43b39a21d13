package emulator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/standin/emulator"
)

// Guards against learned run times and speeds that do not help where a fifth of the workers become five times slower and
// estimates are off by up to 90%, and against ones that do harm where all workers are equally fast. The bounds are the goals of
// docs/work-plan.md for the p95 of job completion times, over the same seeds.
func TestLearningShortensTheCompletionOfJobs(t *testing.T) {
	// The p95 of 2 x 300 jobs differs by some percent for reasons that are as likely to help as to harm.
	const workers, seeds, resolution = 60, 2, 0.03
	base := emulator.Config{
		Hosts: 20, Workers: workers, SubmitTime: time.Minute, DrainTime: time.Minute, AdviceShare: 0.42, Saturated: true,
		Retention: 15 * time.Second, EstimateError: 0.9,
	}
	uneven, even := base, base
	uneven.DrawnSpeeds, uneven.SlowShare, uneven.SlowTime, uneven.TailShare = true, 0.2, 30*time.Second, 0.003
	uneven.JobsPerSec = 0.6 * workers * 16 / emulator.SaturatedJobCPU
	even.EvenWorkers, even.JobsPerSec = true, 0.85*workers*16/emulator.SaturatedJobCPU
	for name, test := range map[string]struct {
		config   emulator.Config
		maxRatio float64
	}{"uneven workers": {config: uneven, maxRatio: 0.8}, "even workers": {config: even, maxRatio: 1 + resolution}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sums [2]time.Duration
			for seed := uint64(1); seed <= seeds; seed++ {
				for index, unlearned := range []bool{true, false} {
					config := test.config
					config.Seed, config.Unlearned = seed, unlearned
					report := runSimulation(t, config)
					require.Empty(t, report.Violations)
					sums[index] += report.All.FinishP95
				}
			}
			t.Logf("sum of the p95: %s without learning, %s with", sums[0], sums[1])
			require.LessOrEqual(t, float64(sums[1]), test.maxRatio*float64(sums[0]))
		})
	}
}
