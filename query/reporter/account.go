package reporter

import (
	"sort"
	"time"

	"github.com/almondcross/almondcross"
)

// endedAfter is how far a member's last batch may lie behind the freshest one of its data centre
// before the member counts as ended. Batches of a running member follow each other by 10 s.
const endedAfter = time.Minute

// identity names a batch; the account counts it once.
type identity struct {
	member   almondcross.MemberID
	sequence uint64
}

// gap is a run of missing batches with the time that they cover.
type gap struct {
	report almondcross.AccountGap
	from   time.Time
	to     time.Time // zero when the gap has no known end
}

func (gap gap) overlaps(from, to time.Time) bool {
	return gap.from.Before(to) && (gap.to.IsZero() || from.Before(gap.to))
}

// account is the account of one data centre.
type account struct {
	dataCentre string
	freshAt    time.Time
	batches    []almondcross.UsageBatch // each batch once, by member and number
	gaps       []gap
	hours      map[time.Time]almondcross.UsageHour // the hours that are told from their roll-up, by start
}

func newAccount(dataCentre string, batches []almondcross.UsageBatch) account {
	account := account{dataCentre: dataCentre}
	seen := map[identity]bool{}
	members := map[almondcross.MemberID][]almondcross.UsageBatch{}
	start := time.Time{}
	for _, batch := range batches {
		id := identity{member: batch.Member(), sequence: batch.Sequence()}
		if seen[id] {
			continue
		}
		seen[id] = true
		account.batches = append(account.batches, batch)
		members[batch.Member()] = append(members[batch.Member()], batch)
		if batch.To().After(account.freshAt) {
			account.freshAt = batch.To()
		}
		if start.IsZero() || batch.From().Before(start) {
			start = batch.From()
		}
	}
	for _, list := range members {
		sort.Slice(list, func(i, j int) bool { return list[i].Sequence() < list[j].Sequence() })
		account.addGaps(list, start)
	}
	return account
}

// addGaps finds the missing numbers of one incarnation.
func (account *account) addGaps(list []almondcross.UsageBatch, start time.Time) {
	first, last := list[0], list[len(list)-1]
	interval := first.To().Sub(first.From())
	if interval > 0 && first.Sequence() > 1 {
		// The intervals between the start of reading and the first batch would have been read.
		if unread := uint64(max(first.From().Sub(start)/interval, 0)); unread > 0 {
			from := first.Sequence() - min(unread, first.Sequence()-1)
			account.addGap(first.Member(), from, first.Sequence()-1, first.From().Add(-time.Duration(first.Sequence()-from)*interval), first.From())
		}
	}
	for index := 1; index < len(list); index++ {
		before, after := list[index-1], list[index]
		if after.Sequence() > before.Sequence()+1 {
			account.addGap(before.Member(), before.Sequence()+1, after.Sequence()-1, before.To(), after.From())
		}
	}
	if !last.Final() && account.freshAt.Sub(last.To()) > endedAfter {
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

func (account *account) gapsOf(query almondcross.ShareQuery) []almondcross.AccountGap {
	var gaps []almondcross.AccountGap
	for _, gap := range account.gaps {
		if gap.overlaps(query.From(), query.To()) && !account.rolledUp(gap) {
			gaps = append(gaps, gap.report)
		}
	}
	for _, hour := range account.hours {
		if hour.From().Before(query.To()) && query.From().Before(hour.To()) {
			gaps = append(gaps, hour.Gaps()...)
		}
	}
	return distinct(gaps)
}

// period is one interval.
type period struct{ from, to time.Time }

// lineKey names a line within an interval.
type lineKey struct{ entry, owner string }

// interval is the sum of all members' batches of one interval.
type interval struct {
	lines      map[lineKey]almondcross.UsageLineConfig
	incomplete bool
}

// linesOf returns the lines of the intervals that overlap a period. The batches of several members
// add up; the received fraction is that of the capacity of all of them.
func (account *account) linesOf(query almondcross.ShareQuery) []almondcross.ShareLine {
	intervals := map[period]interval{}
	for _, batch := range account.batches {
		if _, rolledUp := account.hours[hourOf(batch)]; rolledUp ||
			!batch.From().Before(query.To()) || !query.From().Before(batch.To()) {
			continue
		}
		key := period{from: batch.From().UTC(), to: batch.To().UTC()}
		current, ok := intervals[key]
		if !ok {
			current = interval{lines: map[lineKey]almondcross.UsageLineConfig{}}
		}
		current.incomplete = current.incomplete || batch.Incomplete()
		for _, line := range batch.Lines() {
			name := lineKey{entry: line.Entry(), owner: line.Owner()}
			current.lines[name] = sum(current.lines[name], line.Config())
		}
		intervals[key] = current
	}
	for _, hour := range account.hours {
		if hour.From().Before(query.To()) && query.From().Before(hour.To()) {
			intervals[period{from: hour.From().UTC(), to: hour.To().UTC()}] = intervalOf(hour)
		}
	}
	var lines []almondcross.ShareLine
	for key, current := range intervals {
		for _, gap := range account.gaps {
			current.incomplete = current.incomplete || !account.rolledUp(gap) && gap.overlaps(key.from, key.to)
		}
		capacity := current.lines[lineKey{}]
		for name, line := range current.lines {
			if name == (lineKey{}) || !matches(query, name) {
				continue
			}
			line.Received = received(line, capacity)
			lines = append(lines, almondcross.NewShareLine(almondcross.ShareLineConfig{
				From: key.from, To: key.to, DataCentre: account.dataCentre,
				Usage: almondcross.NewUsageLine(line), Incomplete: current.incomplete,
			}))
		}
	}
	return lines
}

func matches(query almondcross.ShareQuery, name lineKey) bool {
	return (query.Entry() == "" || query.Entry() == name.entry) && (query.Owner() == "" || query.Owner() == name.owner)
}

// sum adds two lines of one entry; the promised fraction holds for the data centre and is not added.
func sum(first, second almondcross.UsageLineConfig) almondcross.UsageLineConfig {
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

func received(line, capacity almondcross.UsageLineConfig) float64 {
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

// sortReport orders the report, so that equal accounts give equal reports.
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
