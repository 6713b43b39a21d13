package assembler

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/client"
	"github.com/almondcross/almondcross/platform/querier"
	"github.com/almondcross/almondcross/query/explainer"
	"github.com/almondcross/almondcross/query/usagereader"
	"github.com/almondcross/almondcross/requester"
)

// accountTimeout bounds the time for reading the account.
const accountTimeout = 30 * time.Second

// accountCommand returns the command that prints the usage of each queue from the store.
func accountCommand() *cobra.Command {
	var store, queue string
	var fromAge, toAge time.Duration
	command := &cobra.Command{
		Use:   "account",
		Short: "Show the resources that each queue received, from the platform's store",
		Long: "Shows, for each period of ten minutes and each queue, the jobs and runs, the wait of jobs for their first run, the\n" +
			"processor time allocated to runs, its share of the pool, and the part that was lost to runs that failed, were\n" +
			"stopped or ended with their worker. The account is in the store and survives the loss of all hosts." + requester.ExitHelp,
		Example: "  almondcross account --store 10.200.1.7:8169 --from 24h",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			codec, err := encoder.NewCodec()
			if err != nil {
				return requester.Failed(err)
			}
			ctx, cancel := context.WithTimeout(command.Context(), accountTimeout)
			defer cancel()
			now := time.Now()
			account, err := usagereader.Read(ctx, usagereader.Config{
				Reader: querier.NewStore(querier.StoreConfig{Address: store, Client: client.New()}), Codec: codec, Usage: almondcross.Partition{Topic: usageTopic},
			}, now.Add(-fromAge), now.Add(-toAge))
			if err != nil {
				return requester.Failed(err)
			}
			if err := writeAccount(command.OutOrStdout(), account, queue); err != nil {
				return requester.Failed(err)
			}
			if account.Unreadable > 0 {
				return requester.Uncertain(errors.Errorf("%d records of the account cannot be decoded; their usage is missing", account.Unreadable))
			}
			return nil
		},
	}
	command.Flags().StringVar(&store, "store", "", "address of the platform's store")
	command.Flags().StringVar(&queue, "queue", "", "show only this queue")
	command.Flags().DurationVar(&fromAge, "from", time.Hour, "how long ago the first period begins")
	command.Flags().DurationVar(&toAge, "to", 0, "how long ago the last period begins")
	_ = command.MarkFlagRequired("store")
	return command
}

func writeAccount(output io.Writer, account usagereader.Account, queue string) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FROM\tQUEUE\tPRIORITY\tADMITTED\tCOMPLETED\tFAILED\tCANCELLED\tMEAN WAIT\tRUNS DONE\tFAILED\tWITHDRAWN\tCORE SECONDS\tOF POOL\tLOST")
	for _, usage := range account.Usages {
		if queue != "" && queue != usage.Queue() {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%.1f\t%s\t%.1f\n",
			usage.From().UTC().Format(time.RFC3339), usage.Queue(), usage.Priority(), usage.Admitted(), usage.Completed(), usage.Failed(),
			usage.Cancelled(), (usage.Waited() / time.Duration(max(usage.Admitted(), 1))).Round(time.Millisecond), usage.DoneRuns(),
			usage.FailedRuns(), usage.AbortedRuns(), coreSeconds(usage.Received()), poolShare(usage), coreSeconds(usage.Lost()))
	}
	return errors.Trace(table.Flush())
}

// coreSeconds returns core seconds for an amount in milli-CPU seconds.
func coreSeconds(amount almondcross.Resources) float64 { return float64(amount.MilliCPU()) / 1000 }

func poolShare(usage almondcross.QueueUsage) string {
	if usage.Capacity().MilliCPU() == 0 {
		return "unknown"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(usage.Received().MilliCPU())/float64(usage.Capacity().MilliCPU()))
}

// explainCommand returns the command that prints the log lines of all hosts that concern one job.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain JOB [FILE...]",
		Short:   "Show the log lines of all hosts that concern one job, ordered by time",
		Long:    "Reads the logs of scheduling hosts from files or standard input and prints the lines that concern a job." + requester.ExitHelp,
		Example: "  almondcross explain 5c0e7a21d94b36f8 front-a.log front-b.log",
		Args:    requester.Args(cobra.MinimumNArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			var lines []explainer.Line
			for _, path := range arguments[1:] {
				found, err := explainFile(path, arguments[0])
				if err != nil {
					return requester.BadInput(err)
				}
				lines = append(lines, found...)
			}
			if len(arguments) == 1 {
				found, err := explainer.Read(command.InOrStdin(), arguments[0])
				if err != nil {
					return requester.Failed(err)
				}
				lines = found
			}
			if len(lines) == 0 {
				return requester.Failed(errors.Errorf("no line concerns job %s", arguments[0]))
			}
			return explainer.Write(command.OutOrStdout(), lines)
		},
	}
}

func explainFile(path, job string) ([]explainer.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	return explainer.Read(file, job)
}
