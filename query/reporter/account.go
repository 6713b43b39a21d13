package reporter

import (
	"sort"
	"time"

	"github.com/almondcross/almondcross"
)

// maxBatchLag is how far a member's last batch may lie behind the latest one of its data centre before the
// batches after it are reported as missing. A running member appends a batch every 10 s.
const maxBatchLag = time.Minute

// batchID identifies a batch, so that the account counts it only once.
type batchID struct {
	member   almondcross.MemberID
	sequence uint64
}

// gap is a sequence of missing batches and the time range that they cover.
type gap struct {
	report almondcross.AccountGap
	from   time.Time
	to     time.Time // zero if the end is unknown
}

func (gap gap) overlaps(from, to time.Time) bool {
	return gap.from.Before(to) && (gap.to.IsZero() || from.Before(gap.to))
}

// account holds the usage of one data centre.
type account struct {
	dataCentre    string
	freshAt       time.Time
	batches       []almondcross.UsageBatch // without duplicates
	gaps          []gap
	rolledUpHours map[time.Time]almondcross.UsageHour // the hours that are reported from their roll-up, by start
}

func newAccount(dataCentre string, batches []almondcross.UsageBatch) account {
	account := account{dataCentre: dataCentre}
	seen := map[batchID]bool{}
	batchesByMember := map[almondcross.MemberID][]almondcross.UsageBatch{}
	earliest := time.Time{}
	for _, batch := range batches {
		id := batchID{member: batch.Member(), sequence: batch.Sequence()}
		if seen[id] {
			continue
		}
		seen[id] = true
		account.batches = append(account.batches, batch)
		batchesByMember[batch.Member()] = append(batchesByMember[batch.Member()], batch)
		if batch.To().After(account.freshAt) {
			account.freshAt = batch.To()
		}
		if earliest.IsZero() || batch.From().Before(earliest) {
			earliest = batch.From()
		}
	}
	for _, batches := range batchesByMember {
		sort.Slice(batches, func(i, j int) bool { return batches[i].Sequence() < batches[j].Sequence() })
		account.addGaps(batches, earliest)
	}
	return account
}

// addGaps adds the gaps in the sequence numbers of one incarnation of a member. The batches are sorted by
// sequence number; earliest is the start of the oldest batch of the data centre that was read.
func (account *account) addGaps(batches []almondcross.UsageBatch, earliest time.Time) {
	first, last := batches[0], batches[len(batches)-1]
	interval := first.To().Sub(first.From())
	if interval > 0 && first.Sequence() > 1 {
		// Batches between earliest and the member's first batch would have been read, so they are missing.
		if missing := uint64(max(first.From().Sub(earliest)/interval, 0)); missing > 0 {
			from := first.Sequence() - min(missing, first.Sequence()-1)
			account.addGap(first.Member(), from, first.Sequence()-1, first.From().Add(-time.Duration(first.Sequence()-from)*interval), first.From())
		}
	}
	for index := 1; index < len(batches); index++ {
		previous, next := batches[index-1], batches[index]
		if next.Sequence() > previous.Sequence()+1 {
			account.addGap(previous.Member(), previous.Sequence()+1, next.Sequence()-1, previous.To(), next.From())
		}
	}
	if !last.Final() && account.freshAt.Sub(last.To()) > maxBatchLag {
		account.addGap(last.Member(), last.Sequence()+1, 0, last.To(), last.To().Add(interval))
	}
}

func (account *account) addGap(member almondcross.MemberID, first, last uint64, from, to time.Time) {
	account.gaps = append(account.gaps, gap{from: from, to: to, report: almondcross.NewAccountGap(
		almondcross.AccountGapConfig{
			Member: member, DataCentre: account.dataCentre, FromSequence: first, ToSequence: last, After: from,
		},
	)})
}

func (account *account) gapsIn(query almondcross.ShareQuery) []almondcross.AccountGap {
	var gaps []almondcross.AccountGap
	for _, gap := range account.gaps {
		if gap.overlaps(query.From(), query.To()) && !account.isRolledUp(gap) {
			gaps = append(gaps, gap.report)
		}
	}
	for _, hour := range account.rolledUpHours {
		if hour.From().Before(query.To()) && query.From().Before(hour.To()) {
			gaps = append(gaps, hour.Gaps()...)
		}
	}
	return uniqueGaps(gaps)
}

// timeRange identifies an accounting interval by its start and end.
type timeRange struct{ from, to time.Time }

// lineID identifies a usage line within an interval; the zero value identifies the line that holds the capacity.
type lineID struct{ entry, owner string }

// intervalUsage is the sum of the batches of all members for one interval.
type intervalUsage struct {
	lines      map[lineID]almondcross.UsageLineConfig
	incomplete bool
}

// linesIn returns the lines of the intervals that overlap the period of the query. Usage and capacity are
// summed over all members; the received fraction is the largest fraction of the capacity of any resource.
func (account *account) linesIn(query almondcross.ShareQuery) []almondcross.ShareLine {
	intervals := map[timeRange]intervalUsage{}
	for _, batch := range account.batches {
		if _, rolledUp := account.rolledUpHours[hourOf(batch)]; rolledUp ||
			!batch.From().Before(query.To()) || !query.From().Before(batch.To()) {
			continue
		}
		interval := timeRange{from: batch.From().UTC(), to: batch.To().UTC()}
		usage, ok := intervals[interval]
		if !ok {
			usage = intervalUsage{lines: map[lineID]almondcross.UsageLineConfig{}}
		}
		usage.incomplete = usage.incomplete || batch.Incomplete()
		for _, line := range batch.Lines() {
			id := lineID{entry: line.Entry(), owner: line.Owner()}
			usage.lines[id] = addLines(usage.lines[id], line.Config())
		}
		intervals[interval] = usage
	}
	for _, hour := range account.rolledUpHours {
		if hour.From().Before(query.To()) && query.From().Before(hour.To()) {
			intervals[timeRange{from: hour.From().UTC(), to: hour.To().UTC()}] = intervalUsageOf(hour)
		}
	}
	var lines []almondcross.ShareLine
	for interval, usage := range intervals {
		for _, gap := range account.gaps {
			usage.incomplete = usage.incomplete || !account.isRolledUp(gap) && gap.overlaps(interval.from, interval.to)
		}
		capacity := usage.lines[lineID{}]
		for id, line := range usage.lines {
			if id == (lineID{}) || !matches(query, id) {
				continue
			}
			line.Received = receivedFraction(line, capacity)
			lines = append(lines, almondcross.NewShareLine(almondcross.ShareLineConfig{
				From: interval.from, To: interval.to, DataCentre: account.dataCentre,
				Usage: almondcross.NewUsageLine(line), Incomplete: usage.incomplete,
			}))
		}
	}
	return lines
}

func matches(query almondcross.ShareQuery, id lineID) bool {
	return (query.Entry() == "" || query.Entry() == id.entry) && (query.Owner() == "" || query.Owner() == id.owner)
}

// addLines adds two lines of one entry. The promised fraction applies to the whole data centre, so it is not
// added.
func addLines(first, second almondcross.UsageLineConfig) almondcross.UsageLineConfig {
	second.MilliCPUSec += first.MilliCPUSec
	second.MemoryMBSec += first.MemoryMBSec
	second.AcceleratorSec += first.AcceleratorSec
	second.SlotSec += first.SlotSec
	second.Promised = max(first.Promised, second.Promised)
	second.Started += first.Started
	second.Finished += first.Finished
	second.WaitedSec += first.WaitedSec
	reasons := make(map[almondcross.Code]int64, len(first.Reasons)+len(second.Reasons))
	for code, count := range first.Reasons {
		reasons[code] += count
	}
	for code, count := range second.Reasons {
		reasons[code] += count
	}
	second.Reasons = reasons
	return second
}

func receivedFraction(line, capacity almondcross.UsageLineConfig) float64 {
	return max(
		fraction(line.MilliCPUSec, capacity.MilliCPUSec), fraction(line.MemoryMBSec, capacity.MemoryMBSec),
		fraction(line.AcceleratorSec, capacity.AcceleratorSec), fraction(line.SlotSec, capacity.SlotSec),
	)
}

func fraction(part, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return part / total
}

// sortReport sorts the report, so that equal accounts result in equal reports.
func sortReport(report *almondcross.ShareReportConfig) {
	sort.Strings(report.Missing)
	sort.Slice(report.Lines, func(i, j int) bool {
		first, second := report.Lines[i], report.Lines[j]
		switch {
		case !first.From().Equal(second.From()):
			return first.From().Before(second.From())
		case first.DataCentre() != second.DataCentre():
			return first.DataCentre() < second.DataCentre()
		case first.Usage().Entry() != second.Usage().Entry():
			return first.Usage().Entry() < second.Usage().Entry()
		default:
			return first.Usage().Owner() < second.Usage().Owner()
		}
	})
	sort.Slice(report.Gaps, func(i, j int) bool {
		first, second := report.Gaps[i], report.Gaps[j]
		switch {
		case first.DataCentre() != second.DataCentre():
			return first.DataCentre() < second.DataCentre()
		case first.Member().Name() != second.Member().Name():
			return first.Member().Name() < second.Member().Name()
		case first.Member().Incarnation() != second.Member().Incarnation():
			return first.Member().Incarnation() < second.Member().Incarnation()
		default:
			return first.FromSequence() < second.FromSequence()
		}
	})
}
