package delegator

import (
	"hash/fnv"

	"github.com/almondcross/almondcross"
)

// minStrengthFraction is the fraction (1/minStrengthFraction) of the strongest host's strength from which a host of the
// same data centre relays orders. Weak hosts would delay the orders by their own processing time.
const minStrengthFraction = 2

// ByDataCentre implements almondcross.RelayChooser. It chooses among the strongest hosts in the data centre of a
// worker, so that only the link to the host crosses data centres, and spreads the workers evenly over them. While no
// host of that data centre is linked, it chooses among the strongest of all. When a host comes or goes, only the workers
// that it gains or loses change their host.
type ByDataCentre struct{}

// Choose returns the host for a worker by rendezvous hashing, and false if there is none.
func (ByDataCentre) Choose(worker almondcross.Worker, hosts []almondcross.RelayHost) (string, bool) {
	isNear := func(host almondcross.RelayHost) bool { return host.DataCentre() == worker.Zone() }
	if chosen, found := chooseStrongest(worker, hosts, isNear); found {
		return chosen, true
	}
	return chooseStrongest(worker, hosts, func(almondcross.RelayHost) bool { return true })
}

// chooseStrongest chooses among the strongest of the hosts that are eligible.
func chooseStrongest(worker almondcross.Worker, hosts []almondcross.RelayHost, eligible func(host almondcross.RelayHost) bool) (string, bool) {
	strongest := 0
	for _, host := range hosts {
		if eligible(host) {
			strongest = max(strongest, host.Strength())
		}
	}
	chosen, highest := "", uint64(0)
	for _, host := range hosts {
		if !eligible(host) || host.Strength()*minStrengthFraction < strongest {
			continue
		}
		if weight := weightOf(worker.ID(), host.Name()); chosen == "" || weight > highest {
			chosen, highest = host.Name(), weight
		}
	}
	return chosen, chosen != ""
}

// weightOf returns a pseudo-random weight of a pair of a worker and a host.
func weightOf(worker, host string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(worker))
	return mix(hash.Sum64())
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3), since FNV-1a hashes of similar names differ little in
// their high bits.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
