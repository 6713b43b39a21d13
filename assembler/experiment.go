package assembler

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/requester"
	"github.com/almondcross/almondcross/standin/emulator"
)

// experimentFlags are the flags of the experiment verb.
type experimentFlags struct {
	seed           uint64
	days, troubles int
	kind, trace    string
	config         emulator.Config
}

// experimentCommand returns the verb that plays days of a cluster in virtual time.
func experimentCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Play days of a cluster in virtual time and check the promises",
		Long: "Plays days with the real scheduler against models of the platform, of workers and of callers, with troubles\n" +
			"drawn from the seed, and prints a row for each day. The exit code is that of a failure when a promise was broken." + requester.ExitHelp,
		Example: "  almondcross experiment --days 20\n  almondcross experiment --seed 7 --kind kill_scheduler --troubles 3\n" +
			"  almondcross experiment --seed 7 --trace 00000000000000ad",
		Args: requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.days < 1 || flags.config.Hosts < 1 || flags.config.Workers < 1 || flags.config.JobsPerSec <= 0 {
				return requester.BadInput(errors.New("--days, --hosts, --workers and --jobs-per-second: allowed: more than 0"))
			}
			return runExperiment(command, flags)
		},
	}
	set := command.Flags()
	set.Uint64Var(&flags.seed, "seed", 1, "seed of the first day; the following days have the following seeds")
	set.IntVar(&flags.days, "days", 10, "number of days")
	set.IntVar(&flags.troubles, "troubles", 5, "number of troubles of a day")
	set.StringVar(&flags.kind, "kind", "", "kind of all troubles instead of a draw: "+kindNames())
	set.StringVar(&flags.trace, "trace", "", "print the log lines that contain this text, such as the identity of a job")
	set.IntVar(&flags.config.Hosts, "hosts", 5, "number of entry hosts")
	set.IntVar(&flags.config.Workers, "workers", 24, "number of workers")
	set.Float64Var(&flags.config.JobsPerSec, "jobs-per-second", 16, "rate of submissions")
	set.DurationVar(&flags.config.Length, "length", 20*time.Second, "time in which jobs are submitted")
	set.Float64Var(&flags.config.AdviceShare, "advice", 0.5, "part of the workers that advice allows for a step, 0 for queues without advice")
	return command
}

func kindNames() string {
	var names []string
	for _, kind := range emulator.Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

func runExperiment(command *cobra.Command, flags experimentFlags) error {
	output, broken := command.OutOrStdout(), 0
	_, _ = fmt.Fprintf(output, "%6s %6s %9s %10s %7s %10s %6s %9s %9s  %s\n",
		"seed", "jobs", "accepted", "completed", "failed", "cancelled", "runs", "p50", "p99", "violations")
	for seed := flags.seed; seed < flags.seed+uint64(flags.days); seed++ { //nolint:gosec // The number of days was checked.
		config := flags.config
		config.Seed, config.Settle, config.Retention = seed, 40*time.Second, 15*time.Second
		config.FailShare, config.PoisonShare, config.CancelShare = 0.02, 0.02, 0.04
		config.Troubles = emulator.Draw(seed, flags.troubles, config.Length)
		for index := range config.Troubles {
			if flags.kind != "" {
				config.Troubles[index].Kind = emulator.TroubleKind(flags.kind)
			}
		}
		if flags.trace != "" {
			config.Log = traceLog{command: command, text: flags.trace}
		}
		day, err := emulator.New(config)
		if err != nil {
			return requester.Failed(err)
		}
		report := day.Play()
		_, _ = fmt.Fprintf(output, "%6d %6d %9d %10d %7d %10d %6d %9s %9s  %d\n", seed, report.Jobs, report.Accepted, report.Completed,
			report.Failed, report.Cancelled, report.Runs, report.Median.Round(time.Millisecond), report.Late.Round(time.Millisecond), len(report.Violations))
		for _, violation := range report.Violations {
			_, _ = fmt.Fprintln(output, "       ", violation)
		}
		if len(report.Violations) > 0 {
			broken++
			_, _ = fmt.Fprintln(output, "        troubles:", config.Troubles)
		}
	}
	if broken > 0 {
		return requester.Failed(errors.Errorf("%d of %d days broke a promise", broken, flags.days))
	}
	return nil
}

// traceLog prints the lines that contain a text.
type traceLog struct {
	command *cobra.Command
	text    string
}

// Record prints a line.
func (tracelog traceLog) Record(event string, fields ...almondcross.LogField) {
	var line strings.Builder
	line.WriteString(event)
	for _, field := range fields {
		if field.Numeric {
			fmt.Fprintf(&line, " %s=%g", field.Name, field.Number)
		} else {
			fmt.Fprintf(&line, " %s=%s", field.Name, field.Text)
		}
	}
	if strings.Contains(line.String(), tracelog.text) {
		_, _ = fmt.Fprintln(tracelog.command.OutOrStdout(), line.String())
	}
}
