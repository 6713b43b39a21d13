package assembler

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross/requester"
	"github.com/almondcross/almondcross/standin/emulator"
)

// defaultSlowTime is how long workers stay slow unless a flag says otherwise.
const defaultSlowTime = 30 * time.Second

// addUnevennessFlags adds the flags of the unevenness of workers, tasks and estimates, which are off by default.
func addUnevennessFlags(command *cobra.Command, flags *experimentFlags) {
	flagSet := command.Flags()
	flagSet.BoolVar(&flags.config.Saturated, "saturated", false, "submit the jobs of a cell with many wide gangs")
	flagSet.BoolVar(&flags.config.EvenWorkers, "even-workers", false, "make all workers equally fast")
	flagSet.BoolVar(&flags.config.DrawnSpeeds, "drawn-speeds", false, "draw the time that each worker takes, 0.8 to 1.3 of the usual one")
	flagSet.Float64Var(&flags.config.SlowShare, "slow-share", 0, "fraction of the workers that become five times slower for --slow-time, again and again")
	flagSet.DurationVar(&flags.config.SlowTime, "slow-time", defaultSlowTime, "how long these workers are slow")
	flagSet.Float64Var(&flags.config.TailShare, "tail-share", 0, "fraction of the tasks that take seven times as long")
	flagSet.Float64Var(&flags.config.EstimateError, "estimate-error", 0, "maximum error of the callers' estimates, as a fraction of the run time; 0 for fixed estimates")
	flagSet.BoolVar(&flags.config.Unlearned, "unlearned", false, "use the callers' estimates and treat workers as equally fast")
	flagSet.BoolVar(&flags.compare, "compare", false, "run each simulation without and with learned run times and speeds, without faults, and compare the completion times")
}

// checkUnevenness returns an error for a share that is not one.
func checkUnevenness(config emulator.Config) error {
	for name, value := range map[string]float64{"slow-share": config.SlowShare, "tail-share": config.TailShare, "estimate-error": config.EstimateError} {
		if value < 0 || value > 1 {
			return errors.Errorf("--%s: allowed: 0 to 1", name)
		}
	}
	if config.SlowTime < 0 {
		return errors.New("--slow-time: allowed: 0 or more")
	}
	return nil
}

// compareLearning prints the times of the jobs of each simulation without and with learned run times and speeds.
func compareLearning(command *cobra.Command, flags experimentFlags) error {
	output := command.OutOrStdout()
	_, _ = fmt.Fprintf(output, "%6s %-9s %6s %10s %9s %9s %9s %9s %9s  %s\n",
		"seed", "learned", "jobs", "unfinished", "p50", "p95", "gang_p95", "batch_p95", "gang_wait", "violations")
	var sums [2]time.Duration
	violated := false
	for seed := flags.seed; seed < flags.seed+uint64(flags.days); seed++ { //nolint:gosec // The number of simulations was checked.
		for index, unlearned := range []bool{true, false} {
			config := flags.config
			config.Seed, config.DrainTime, config.Unlearned = seed, time.Minute, unlearned
			simulation, err := emulator.New(config)
			if err != nil {
				return requester.Failed(err)
			}
			report := simulation.Run()
			sums[index] += report.All.FinishP95
			violated = violated || len(report.Violations) > 0
			learned := "yes"
			if unlearned {
				learned = "no"
			}
			_, _ = fmt.Fprintf(output, "%6d %-9s %6d %10d %9s %9s %9s %9s %9s  %d\n", seed, learned, report.All.Jobs, report.All.Unfinished,
				report.All.FinishP50.Round(time.Millisecond), report.All.FinishP95.Round(time.Millisecond), report.Gangs.FinishP95.Round(time.Millisecond),
				report.Batch.FinishP95.Round(time.Millisecond), report.Gangs.StartP95.Round(time.Millisecond), len(report.Violations))
		}
	}
	_, _ = fmt.Fprintf(output, "ratio of the mean p95 with learning to that without: %.2f\n", float64(sums[1])/float64(max(sums[0], 1)))
	if violated {
		return requester.Failed(errors.New("a guarantee was violated"))
	}
	return nil
}
