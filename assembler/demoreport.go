package assembler

import (
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// demoEntryTotals sums the results of the requests for one entry.
type demoEntryTotals struct {
	sent         int
	countByState map[string]int
	slowest      time.Duration
}

// report prints the outcomes, the account of shares and the audit trail.
func (demo *demo) report(ctx context.Context, results []demoResult) error {
	demo.printOutcomes(results)
	reader, err := demo.reader(0)
	if err != nil {
		return err
	}
	// The account of an interval is available only after the interval has ended.
	var shares encoder.ShareReportJSON
	wantFinished := int64(countDone(results))
	err = pollUntil(ctx, func() bool {
		var err error
		shares, err = reader.Shares(ctx, url.Values{})
		return err == nil && countFinished(shares) >= wantFinished
	})
	if err != nil {
		return errors.Annotate(err, "waiting for the account")
	}
	demo.printShares(shares)
	audit, err := reader.Audit(ctx, url.Values{})
	if err != nil {
		return errors.Trace(err)
	}
	demo.printf("\naudit trail\n")
	table := tabwriter.NewWriter(demo.out, 0, 0, 2, ' ', 0)
	for _, line := range audit.Lines {
		_, _ = fmt.Fprintf(table, "  %s\t%s\tversion %d to %d\taccepted %v\n", line.Operator, line.Entry, line.FromVersion, line.ToVersion, line.Accepted)
	}
	return errors.Trace(table.Flush())
}

func countDone(results []demoResult) int {
	count := 0
	for _, result := range results {
		if result.outcome.Status == almondcross.StatusDone {
			count++
		}
	}
	return count
}

func countFinished(shares encoder.ShareReportJSON) int64 {
	var count int64
	for _, line := range shares.Lines {
		count += line.Finished
	}
	return count
}

func (demo *demo) printOutcomes(results []demoResult) {
	totals := map[string]*demoEntryTotals{}
	for _, result := range results {
		total, ok := totals[result.entry]
		if !ok {
			total = &demoEntryTotals{countByState: map[string]int{}}
			totals[result.entry] = total
		}
		total.sent++
		total.slowest = max(total.slowest, result.latency)
		total.countByState[resultState(result)]++
	}
	demo.printf("\noutcomes of %d requests\n", len(results))
	table := tabwriter.NewWriter(demo.out, 0, 0, 2, ' ', 0)
	for _, entry := range slices.Sorted(maps.Keys(totals)) {
		total := totals[entry]
		_, _ = fmt.Fprintf(table, "  %s\t%d sent\t%s\tslowest %s\n", entry, total.sent, joinCounts(total.countByState), total.slowest.Round(time.Millisecond))
	}
	_ = table.Flush()
}

func resultState(result demoResult) string {
	if result.err != nil {
		return "error"
	}
	text := string(result.outcome.Status)
	if result.outcome.Code != "" {
		text += "(" + string(result.outcome.Code) + ")"
	}
	return text
}

func joinCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}

// printShares prints the totals of each entry over all intervals. Shares are averaged, weighted by the length of the interval.
func (demo *demo) printShares(shares encoder.ShareReportJSON) {
	type shareSum struct {
		owner                       string
		seconds, promised, received float64
		started, finished           int64
		waited                      float64
		reasons                     map[string]int
	}
	sums := map[string]*shareSum{}
	for _, line := range shares.Lines {
		entry, ok := sums[line.Entry]
		if !ok {
			entry = &shareSum{owner: line.Owner, reasons: map[string]int{}}
			sums[line.Entry] = entry
		}
		seconds := line.To.Sub(line.From).Seconds()
		entry.seconds += seconds
		entry.promised += line.Promised * seconds
		entry.received += line.Received * seconds
		entry.started += line.Started
		entry.finished += line.Finished
		entry.waited += line.WaitedSec
		for code, count := range line.Reasons {
			entry.reasons[string(code)] += int(count)
		}
	}
	demo.printf("\nwho got what share and why\n")
	table := tabwriter.NewWriter(demo.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "  owner\tentry\tpromised\treceived\tstarted\tfinished\twaited\treasons\n")
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		entry := sums[name]
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%.1f%%\t%.1f%%\t%d\t%d\t%.1fs\t%s\n", entry.owner, name,
			100*entry.promised/entry.seconds, 100*entry.received/entry.seconds, entry.started, entry.finished,
			entry.waited, joinCounts(entry.reasons))
	}
	_ = table.Flush()
	for _, gap := range shares.Gaps {
		demo.printf("  gap: %s from batch %d\n", gap.Host, gap.FromSequence)
	}
}
