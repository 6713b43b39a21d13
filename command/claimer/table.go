package claimer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// expiryMargin is added to the horizon before a key is removed from the table, so that every host, even
// one with a slower clock, refuses the key as expired before any host removes it.
const expiryMargin = 24 * time.Hour

// decision is the state of one key according to the log.
type decision struct {
	first         almondcross.ClaimRecord // the first claim or void
	hasFirst      bool
	settlement    almondcross.ClaimRecord // the record of the key's end; may be read before its claim
	hasSettlement bool
}

// decisive returns the record because of which a further claim is refused.
func (decision decision) decisive() almondcross.ClaimRecord {
	if decision.hasSettlement {
		return decision.settlement
	}
	return decision.first
}

// claimName identifies a claim by the caller and the name of its key. The origin is not part of it: a name that a
// caller sends to two data centres has two origins but must run only once.
type claimName struct{ caller, name string }

func nameOf(key almondcross.Key) claimName {
	return claimName{caller: key.Caller(), name: key.Name()}
}

func (claimname claimName) compare(other claimName) int {
	return cmp.Or(strings.Compare(claimname.caller, other.caller), strings.Compare(claimname.name, other.name))
}

// expiry is the time at which a claim is removed from the table.
type expiry struct {
	name claimName
	at   time.Time
}

// table holds the decisions of all claims.
type table struct {
	claims   map[claimName]decision
	expiries []expiry // in the order of reading; a key that expires late delays the removal of the keys after it, which only costs memory
}

// merge adds a record and reports whether the decision of its key changed. The resulting decision does not depend on
// the order in which records are merged.
func (table *table) merge(record almondcross.ClaimRecord, expires time.Time) bool {
	name := nameOf(record.Key())
	current, known := table.claims[name]
	switch record.Kind() {
	case almondcross.ClaimRequested, almondcross.ClaimVoid:
		if current.hasFirst && current.first.Offset() <= record.Offset() {
			return false
		}
		current.first, current.hasFirst = record, true
	case almondcross.ClaimSettled:
		if current.hasSettlement && !supersedes(record, current.settlement) {
			return false
		}
		current.settlement, current.hasSettlement = record, true
	default:
		return false
	}
	table.claims[name] = current
	if !known {
		table.expiries = append(table.expiries, expiry{name: name, at: expires})
	}
	return true
}

// supersedes reports whether a settlement replaces another one: a known status replaces an unknown one, otherwise the
// first one in the log is kept.
func supersedes(record, current almondcross.ClaimRecord) bool {
	unknown, currentUnknown := record.Status() == almondcross.StatusUnknown, current.Status() == almondcross.StatusUnknown
	if unknown != currentUnknown {
		return currentUnknown
	}
	return record.Offset() < current.Offset()
}

// lookup returns the decision of a key; it reports false if the table has none.
func (table *table) lookup(key almondcross.Key) (decision, bool) {
	current, known := table.claims[nameOf(key)]
	return current, known
}

// expire removes the claims that have expired.
func (table *table) expire(now time.Time) {
	expired := 0
	for _, entry := range table.expiries {
		if now.Before(entry.at) {
			break
		}
		delete(table.claims, entry.name)
		expired++
	}
	table.expiries = table.expiries[expired:]
}

// records returns the first claim or void and the settlement of each key, in order of name.
func (table *table) records() []almondcross.ClaimRecord {
	records := make([]almondcross.ClaimRecord, 0, 2*len(table.claims))
	for _, name := range slices.SortedFunc(maps.Keys(table.claims), claimName.compare) {
		current := table.claims[name]
		if current.hasFirst {
			records = append(records, current.first)
		}
		if current.hasSettlement {
			records = append(records, current.settlement)
		}
	}
	return records
}
