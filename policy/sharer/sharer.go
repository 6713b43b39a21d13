package sharer

import "github.com/almondcross/almondcross"

// defaultShare is the weight of an entry that is not in the catalogue or has no share.
const defaultShare = 1

// Sharer is a SharePolicy with weighted dominant shares. One goroutine uses it.
type Sharer struct {
	total    almondcross.Resources
	owners   map[string]*owner
	weights  map[string]int64 // the weight of each entry of the catalogue
	promised int64            // the weight of all owners of the catalogue
	active   int64            // the weight of the owners with waiting or running work
}

type owner struct {
	weight  int64
	used    almondcross.Resources
	tasks   int
	waiting int
	entries map[string]*entry
}

type entry struct {
	weight  int64
	used    almondcross.Resources
	tasks   int
	waiting int
}

func (owner *owner) active() bool { return owner.tasks > 0 || owner.waiting > 0 }

// New returns a sharer that knows no capacity and no entries.
func New() *Sharer {
	return &Sharer{owners: map[string]*owner{}, weights: map[string]int64{}}
}

// SetTotal sets the capacity that is shared.
func (sharer *Sharer) SetTotal(total almondcross.Resources) { sharer.total = total }

// SetCatalogue sets the weights of the entries.
func (sharer *Sharer) SetCatalogue(catalogue almondcross.Catalogue) {
	clear(sharer.weights)
	owned := map[string]int64{}
	sharer.promised = 0
	for listed := range catalogue.Entries {
		weight := max(listed.Share(), defaultShare)
		sharer.weights[listed.Name()] = weight
		owned[listed.Owner()] += weight
		sharer.promised += weight
	}
	sharer.active = 0
	for name := range owned {
		sharer.owner(name)
	}
	for name, known := range sharer.owners {
		known.weight = max(owned[name], defaultShare)
		if known.active() {
			sharer.active += known.weight
		}
		for entryName, item := range known.entries {
			item.weight = max(sharer.weights[entryName], defaultShare)
		}
	}
}

func (sharer *Sharer) owner(name string) *owner {
	known, ok := sharer.owners[name]
	if !ok {
		known = &owner{weight: defaultShare, entries: map[string]*entry{}}
		sharer.owners[name] = known
	}
	return known
}

func (sharer *Sharer) entry(known *owner, name string) *entry {
	item, ok := known.entries[name]
	if !ok {
		item = &entry{weight: max(sharer.weights[name], defaultShare)}
		known.entries[name] = item
	}
	return item
}

// change applies a change of an owner's work and keeps the weight of the active owners.
func (sharer *Sharer) change(ownerName, entryName string, apply func(*owner, *entry)) {
	known := sharer.owner(ownerName)
	before := known.active()
	apply(known, sharer.entry(known, entryName))
	switch after := known.active(); {
	case after && !before:
		sharer.active += known.weight
	case before && !after:
		sharer.active -= known.weight
	}
}

// Take adds to the use of an entry.
func (sharer *Sharer) Take(ownerName, entryName string, resources almondcross.Resources) {
	sharer.change(ownerName, entryName, func(known *owner, item *entry) {
		known.used, item.used = known.used.Add(resources), item.used.Add(resources)
		known.tasks++
		item.tasks++
	})
}

// Return takes back a Take.
func (sharer *Sharer) Return(ownerName, entryName string, resources almondcross.Resources) {
	sharer.change(ownerName, entryName, func(known *owner, item *entry) {
		known.used, item.used = known.used.Sub(resources), item.used.Sub(resources)
		known.tasks--
		item.tasks--
	})
}

// SetWaiting adds to the number of lines of an entry with waiting tasks.
func (sharer *Sharer) SetWaiting(ownerName, entryName string, lines int) {
	sharer.change(ownerName, entryName, func(known *owner, item *entry) {
		known.waiting += lines
		item.waiting += lines
	})
}

// account is the ShareAccount of an entry.
type account struct {
	sharer *Sharer
	owner  *owner
	entry  *entry
}

// Account returns the account of an entry of an owner.
func (sharer *Sharer) Account(ownerName, entryName string) almondcross.ShareAccount {
	known := sharer.owner(ownerName)
	return &account{sharer: sharer, owner: known, entry: sharer.entry(known, entryName)}
}

// OwnerRatio returns the received share by weight of the owner.
func (account *account) OwnerRatio(next almondcross.Resources) float64 {
	return account.sharer.middle(account.owner.used, next) / float64(account.owner.weight)
}

// middle returns the dominant share halfway between before and after the next task.
func (sharer *Sharer) middle(used, next almondcross.Resources) float64 {
	return (used.Dominant(sharer.total) + used.Add(next).Dominant(sharer.total)) / 2
}

// EntryRatio returns the received share by weight of the entry.
func (account *account) EntryRatio(next almondcross.Resources) float64 {
	return account.sharer.middle(account.entry.used, next) / float64(account.entry.weight)
}

// Exceeds reports whether the owner would hold more than it is due now with more resources.
func (account *account) Exceeds(more almondcross.Resources) bool {
	weight := account.owner.weight
	due := float64(weight) / float64(max(account.sharer.active, weight))
	return account.owner.used.Add(more).Dominant(account.sharer.total) > due
}

// Lent returns the part of the dominant share that an owner holds beyond its own promise.
func (sharer *Sharer) Lent(ownerName string) float64 {
	known, ok := sharer.owners[ownerName]
	if !ok {
		return 0
	}
	return max(0, known.used.Dominant(sharer.total)-sharer.Promised(ownerName))
}

// Promised returns the fraction of the capacity that an owner is promised.
func (sharer *Sharer) Promised(ownerName string) float64 {
	known, ok := sharer.owners[ownerName]
	if !ok {
		return 0
	}
	return float64(known.weight) / float64(max(sharer.promised, known.weight))
}

// Fair returns the fraction that an owner is due now, its part of lent promises included.
func (sharer *Sharer) Fair(ownerName string) float64 {
	known, ok := sharer.owners[ownerName]
	if !ok {
		return 0
	}
	return float64(known.weight) / float64(max(sharer.active, known.weight))
}
