package claimer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// expiryMargin is added to the horizon before a key leaves the table, so that no host has dropped a
// key that another host, with a slower clock, does not refuse as expired yet.
const expiryMargin = 24 * time.Hour

// decision is what the log says of one key.
type decision struct {
	standing almondcross.ClaimRecord // the first claim or void
	stands   bool
	settled  almondcross.ClaimRecord // the settlement
	ended    bool
}

// decisive returns the record that refuses a further claim.
func (decision decision) decisive() almondcross.ClaimRecord {
	if decision.ended {
		return decision.settled
	}
	return decision.standing
}

// claimName identifies a claim: the caller and the name of its key. The origin is no part of it, since
// a caller that sends one name to two data centres gets two origins and must still cause one run.
type claimName struct{ caller, name string }

func nameOf(key almondcross.Key) claimName {
	return claimName{caller: key.Caller(), name: key.Name()}
}

func (claimname claimName) compare(other claimName) int {
	return cmp.Or(strings.Compare(claimname.caller, other.caller), strings.Compare(claimname.name, other.name))
}

// expiry is a claim with the time at which it leaves the table.
type expiry struct {
	name claimName
	at   time.Time
}

// table holds the decisions of all claims.
type table struct {
	claims   map[claimName]decision
	expiries []expiry // in the order of reading; one key that expires late delays the others, which only costs memory
}

// merge adds a record and reports whether the decision of its key changed. The result does not
// depend on the order in which records are merged.
func (table *table) merge(record almondcross.ClaimRecord, expires time.Time) bool {
	name := nameOf(record.Key())
	current, known := table.claims[name]
	switch record.Kind() {
	case almondcross.ClaimTaken, almondcross.ClaimVoid:
		if current.stands && current.standing.Offset() <= record.Offset() {
			return false
		}
		current.standing, current.stands = record, true
	case almondcross.ClaimSettled:
		if current.ended && !supersedes(record, current.settled) {
			return false
		}
		current.settled, current.ended = record, true
	default:
		return false
	}
	table.claims[name] = current
	if !known {
		table.expiries = append(table.expiries, expiry{name: name, at: expires})
	}
	return true
}

// supersedes reports whether a settlement replaces another one: a known end replaces an unknown one,
// otherwise the first in the log stays.
func supersedes(record, current almondcross.ClaimRecord) bool {
	unknown, currentUnknown := record.Status() == almondcross.StatusUnknown, current.Status() == almondcross.StatusUnknown
	if unknown != currentUnknown {
		return currentUnknown
	}
	return record.Offset() < current.Offset()
}

// of returns what the log says of a key.
func (table *table) of(key almondcross.Key) (decision, bool) {
	current, known := table.claims[nameOf(key)]
	return current, known
}

// expire drops the claims whose time has come.
func (table *table) expire(now time.Time) {
	count := 0
	for _, entry := range table.expiries {
		if now.Before(entry.at) {
			break
		}
		delete(table.claims, entry.name)
		count++
	}
	table.expiries = table.expiries[count:]
}

// records returns every record that decides a claim, in order of name.
func (table *table) records() []almondcross.ClaimRecord {
	records := make([]almondcross.ClaimRecord, 0, 2*len(table.claims))
	for _, name := range slices.SortedFunc(maps.Keys(table.claims), claimName.compare) {
		current := table.claims[name]
		if current.stands {
			records = append(records, current.standing)
		}
		if current.ended {
			records = append(records, current.settled)
		}
	}
	return records
}
