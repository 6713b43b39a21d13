package assembler

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/requester"
	"github.com/almondcross/almondcross/standin/emulator"
)

// experimentFlags are the flags of the experiment command.
type experimentFlags struct {
	seed         uint64
	days, faults int
	faultKinds   []string
	trace        string
	scenarios    []string
	loseWorker   bool
	compare      bool
	config       emulator.Config
}

// experimentCommand returns the command that runs simulations of a cluster in virtual time.
func experimentCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Run simulations of a cluster in virtual time and check the guarantees",
		Long: "Runs the real scheduler against models of the platform, the workers and the callers, injects faults that are\n" +
			"drawn from the seed, and prints a row for each simulation. The exit code is 1 when a guarantee was violated." + requester.ExitHelp,
		Example: "  almondcross experiment --days 20\n  almondcross experiment --seed 7 --kind kill_scheduler --troubles 3\n" +
			"  almondcross experiment --days 50 --kind break_paths,kill_after\n" +
			"  almondcross experiment --seed 7 --trace 00000000000000ad\n" +
			"  almondcross experiment --days 30 --hosts 7 --workers 48 --takeover kill,stop\n" +
			"  almondcross experiment --days 4 --hosts 20 --workers 60 --jobs-per-second 5.3 --length 60s --advice 0.42 --saturated \\\n" +
			"    --drawn-speeds --slow-share 0.2 --estimate-error 0.9 --compare",
		Args: requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if flags.days < 1 || flags.config.Hosts < 1 || flags.config.Workers < 1 || flags.config.JobsPerSec <= 0 {
				return requester.BadInput(errors.New("--days, --hosts, --workers and --jobs-per-second: allowed: more than 0"))
			}
			flags.config.Retention, flags.config.LongShare = 15*time.Second, 0.4
			if err := checkUnevenness(flags.config); err != nil {
				return requester.BadInput(err)
			}
			if len(flags.scenarios) > 0 {
				return measureTakeovers(command, flags)
			}
			if flags.compare {
				return compareLearning(command, flags)
			}
			return runExperiment(command, flags)
		},
	}
	flagSet := command.Flags()
	flagSet.Uint64Var(&flags.seed, "seed", 1, "seed of the first simulation; the following simulations have the following seeds")
	flagSet.IntVar(&flags.days, "days", 10, "number of simulations")
	flagSet.IntVar(&flags.faults, "troubles", 5, "number of faults injected in a simulation")
	flagSet.StringSliceVar(&flags.faultKinds, "kind", nil, "inject only faults of these kinds, in turn: "+faultKindNames())
	flagSet.StringSliceVar(&flags.scenarios, "takeover", nil, "measure the takeovers of these scenarios instead: all, "+scenarioNames())
	flagSet.BoolVar(&flags.loseWorker, "lose-worker", false, "lose the busiest worker with the scheduler in these scenarios")
	flagSet.StringVar(&flags.trace, "trace", "", "print the log lines that contain this text, such as a job ID")
	flagSet.IntVar(&flags.config.Hosts, "hosts", 5, "number of scheduling hosts")
	flagSet.IntVar(&flags.config.LaterHosts, "later-hosts", 0, "number of these hosts that write a later format of the journal, which the others do not know")
	flagSet.IntVar(&flags.config.OtherHosts, "other-hosts", 0, "number of these hosts that judge failed runs by another rule where the journal has no verdict")
	flagSet.IntVar(&flags.config.Workspaces, "workspaces", 0, "number of workspaces, whose keys callers need; some are revoked in each simulation")
	flagSet.IntVar(&flags.config.Workers, "workers", 24, "number of workers")
	flagSet.Float64Var(&flags.config.JobsPerSec, "jobs-per-second", 16, "jobs submitted per second")
	flagSet.DurationVar(&flags.config.SubmitTime, "length", 20*time.Second, "period of each simulation in which jobs are submitted")
	flagSet.IntVar(&flags.config.ViewRelayThreshold, "view-relay-hosts", 0, "number of linked hosts above which relays pass views on, 0 for hosts that know no relays")
	flagSet.Int64Var(&flags.config.StateBytes, "state-bytes", 0, "memory in bytes that accepted jobs may take on each host, 0 for no limit")
	flagSet.IntVar(&flags.config.RelaylessHosts, "relayless-hosts", 0, "number of these hosts that know no relays of views")
	flagSet.BoolVar(&flags.config.MeasureLinks, "measure-links", false, "print what passes over the links of the scheduler's hosts; orders count as if other hosts carried them out")
	flagSet.Float64Var(&flags.config.AdviceShare, "advice", 0.5, "fraction of the workers that advice allows for a step, 0 for queues without advice")
	addUnevennessFlags(command, &flags)
	return command
}

func faultKindNames() string {
	var names []string
	for _, kind := range emulator.FaultKinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

func runExperiment(command *cobra.Command, flags experimentFlags) error {
	output, failedSimulations := command.OutOrStdout(), 0
	_, _ = fmt.Fprintf(output, "%6s %6s %9s %10s %7s %10s %6s %9s %9s %9s %6s  %s\n",
		"seed", "jobs", "accepted", "completed", "failed", "cancelled", "runs", "p50", "p99", "questions", "503", "violations")
	for seed := flags.seed; seed < flags.seed+uint64(flags.days); seed++ { //nolint:gosec // The number of simulations was checked.
		config := flags.config
		config.Seed, config.DrainTime = seed, 40*time.Second
		config.FailShare, config.PoisonShare, config.CancelShare = 0.02, 0.02, 0.04
		config.Faults = emulator.RandomFaults(seed, flags.faults, config.SubmitTime)
		for index := range config.Faults {
			if len(flags.faultKinds) > 0 {
				config.Faults[index].Kind = emulator.FaultKind(flags.faultKinds[index%len(flags.faultKinds)])
			}
		}
		if config.Workspaces > 0 {
			config.Faults = append(config.Faults, emulator.Fault{Kind: emulator.RevokeKeys, StartsAt: config.SubmitTime / 4, Duration: config.SubmitTime / 3})
		}
		if flags.trace != "" {
			config.Log = traceLog{command: command, substring: flags.trace}
		}
		simulation, err := emulator.New(config)
		if err != nil {
			return requester.Failed(err)
		}
		report := simulation.Run()
		_, _ = fmt.Fprintf(output, "%6d %6d %9d %10d %7d %10d %6d %9s %9s %9d %6d  %d\n", seed, report.Jobs, report.Accepted, report.Completed,
			report.Failed, report.Cancelled, report.Runs, report.Median.Round(time.Millisecond), report.P99.Round(time.Millisecond),
			report.Questions, report.Unavailable, len(report.Violations))
		for _, violation := range report.Violations {
			_, _ = fmt.Fprintln(output, "       ", violation)
		}
		if config.ViewRelayThreshold > 0 {
			_, _ = fmt.Fprintf(output, "        oldest views %s, %d checks of hosts with a relay\n", report.OldestViews, report.RelayedChecks)
		}
		printTraffic(output, report.Traffic)
		if len(report.Violations) > 0 {
			failedSimulations++
			_, _ = fmt.Fprintln(output, "        troubles:", config.Faults)
		}
	}
	if failedSimulations > 0 {
		return requester.Failed(errors.Errorf("a guarantee was violated in %d of %d simulations", failedSimulations, flags.days))
	}
	return nil
}

// printTraffic prints what has passed over the links of the scheduler's hosts.
func printTraffic(output io.Writer, traffic emulator.TrafficReport) {
	for _, kind := range traffic.Kinds {
		seconds := traffic.Period.Seconds()
		_, _ = fmt.Fprintf(output, "        %-14s sent %10.1f kB %8d messages %8.2f kB/s   received %10.1f kB %8d messages\n", kind.Kind(),
			float64(kind.SentBytes())/bytesPerKB, kind.SentMessages(), float64(kind.SentBytes())/bytesPerKB/seconds,
			float64(kind.ReceivedBytes())/bytesPerKB, kind.ReceivedMessages())
	}
}

// bytesPerKB is the number of bytes in a kB of the reports.
const bytesPerKB = 1000

// traceLog is an event log that prints only the lines that contain a substring.
type traceLog struct {
	command   *cobra.Command
	substring string
}

// Record prints the event and its fields if the line contains the substring.
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
	if strings.Contains(line.String(), tracelog.substring) {
		_, _ = fmt.Fprintln(tracelog.command.OutOrStdout(), line.String())
	}
}
