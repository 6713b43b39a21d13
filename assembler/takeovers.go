package assembler

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross/requester"
	"github.com/almondcross/almondcross/standin/emulator"
)

// allScenarios is the name that stands for all scenarios of takeovers.
const allScenarios = "all"

func scenarioNames() string {
	var names []string
	for _, scenario := range emulator.TakeoverScenarios() {
		names = append(names, scenario.Name)
	}
	return strings.Join(names, ", ")
}

// scenarioRow collects what the simulations of a scenario measured.
type scenarioRow struct {
	takeovers                []emulator.Takeover
	slowestSeed              uint64
	pauses, restarts         []time.Duration
	lapsed, presumedLost     int
	notRestarted, violations int
}

// measureTakeovers runs the simulations of the scenarios and prints a row of times for each scenario.
func measureTakeovers(command *cobra.Command, flags experimentFlags) error {
	output, known := command.OutOrStdout(), emulator.TakeoverScenarios()
	for _, name := range flags.scenarios {
		if name != allScenarios && !slices.ContainsFunc(known, func(scenario emulator.TakeoverScenario) bool { return scenario.Name == name }) {
			return requester.BadInput(errors.Errorf("--takeover %s: allowed: all, %s", name, scenarioNames()))
		}
	}
	_, _ = fmt.Fprintf(output, "Milliseconds from the disturbance, median of each step; start: the first start of a run after the disturbance (p50, p99, most).\n"+
		"%-13s %-9s %6s %8s %8s %8s %8s %8s | %7s %7s %7s %6s | %7s %7s %6s %6s | %7s %7s %5s %6s\n",
		"scenario", "seeds", "count", "election", "elected", "contact", "advice", "placed", "p50", "p99", "most", "seed",
		"pause50", "pause", "lapsed", "lost", "again50", "again", "never", "broken")
	for _, scenario := range known {
		if !slices.Contains(flags.scenarios, allScenarios) && !slices.Contains(flags.scenarios, scenario.Name) {
			continue
		}
		row, err := measureScenario(command, flags, scenario)
		if err != nil {
			return err
		}
		row.print(output, scenario.Name, fmt.Sprintf("%d-%d", flags.seed, flags.seed+uint64(flags.days)-1)) //nolint:gosec // The number of simulations was checked.
	}
	return nil
}

func measureScenario(command *cobra.Command, flags experimentFlags, scenario emulator.TakeoverScenario) (scenarioRow, error) {
	var row scenarioRow
	longest := time.Duration(-1)
	for seed := flags.seed; seed < flags.seed+uint64(flags.days); seed++ { //nolint:gosec // The number of simulations was checked.
		config := flags.config
		config.Seed = seed
		if flags.trace != "" {
			config.Log = traceLog{command: command, substring: flags.trace}
		}
		simulation, err := emulator.New(scenario.Apply(config, flags.loseWorker))
		if err != nil {
			return row, requester.Failed(err)
		}
		report := simulation.Run()
		for _, takeover := range report.Takeovers.Takeovers {
			if takeover.Start > longest {
				longest, row.slowestSeed = takeover.Start, seed
			}
		}
		row.takeovers = append(row.takeovers, report.Takeovers.Takeovers...)
		row.pauses = append(row.pauses, report.Takeovers.LongestPause)
		row.restarts = append(row.restarts, report.Takeovers.Restarts...)
		row.lapsed += report.Takeovers.Lapsed
		row.presumedLost += report.Takeovers.PresumedLost
		row.notRestarted += report.Takeovers.NotRestarted
		row.violations += len(report.Violations)
		for _, violation := range report.Violations {
			_, _ = fmt.Fprintln(command.ErrOrStderr(), scenario.Name, seed, violation)
		}
	}
	return row, nil
}

func (scenariorow scenarioRow) print(output io.Writer, name, seeds string) {
	step := func(time func(emulator.Takeover) time.Duration) string {
		return percentile(scenariorow.times(time), 50)
	}
	starts := scenariorow.times(func(takeover emulator.Takeover) time.Duration { return takeover.Start })
	_, _ = fmt.Fprintf(output, "%-13s %-9s %6d %8s %8s %8s %8s %8s | %7s %7s %7s %6d | %7s %7s %6d %6d | %7s %7s %5d %6d\n",
		name, seeds, len(scenariorow.takeovers),
		step(func(takeover emulator.Takeover) time.Duration { return takeover.Election }),
		step(func(takeover emulator.Takeover) time.Duration { return takeover.Elected }),
		step(func(takeover emulator.Takeover) time.Duration { return takeover.Contact }),
		step(func(takeover emulator.Takeover) time.Duration { return takeover.Advice }),
		step(func(takeover emulator.Takeover) time.Duration { return takeover.Placement }),
		percentile(starts, 50), percentile(starts, 99), percentile(starts, 100), scenariorow.slowestSeed,
		percentile(scenariorow.pauses, 50), percentile(scenariorow.pauses, 100), scenariorow.lapsed, scenariorow.presumedLost,
		percentile(scenariorow.restarts, 50), percentile(scenariorow.restarts, 100), scenariorow.notRestarted, scenariorow.violations)
}

// times returns a time of each takeover, without those that did not happen.
func (scenariorow scenarioRow) times(field func(emulator.Takeover) time.Duration) []time.Duration {
	var times []time.Duration
	for _, takeover := range scenariorow.takeovers {
		if measured := field(takeover); measured > 0 {
			times = append(times, measured)
		}
	}
	return times
}

// percentile formats a percentile of some times in milliseconds, "-" if there are none.
func percentile(times []time.Duration, percent int) string {
	if len(times) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(times))
	return fmt.Sprint(sorted[min(len(sorted)*percent/100, len(sorted)-1)].Milliseconds())
}
