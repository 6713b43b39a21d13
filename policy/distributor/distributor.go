package distributor

import (
	"cmp"
	"maps"
	"slices"

	"github.com/almondcross/almondcross"
)

const (
	// minStrengthFraction is the fraction (1/minStrengthFraction) of the strongest host's strength from which a host relays
	// views. A weak host's link would carry the views of its data centre only late.
	minStrengthFraction = 2
	// maxRelays is the number of relays of a data centre. With two, the viewers of one that is lost have another one at once that
	// has all views.
	maxRelays = 2
	// pairHosts is the number of hosts of a data centre from which it has a second relay.
	pairHosts = 8
)

// ByDataCentre implements almondcross.ViewRelayChooser. The relays of a data centre are its strongest hosts, one or two, and
// its other hosts are spread evenly over them. A data centre without a strong host has no relay; its hosts use those of other
// data centres.
type ByDataCentre struct{}

// Relays returns the relays, sorted by name. A host that relays now stays one while it is strong.
func (ByDataCentre) Relays(hosts []almondcross.RelayHost, current []string) []string {
	strongest, dataCentres := 0, map[string][]almondcross.RelayHost{}
	for _, host := range hosts {
		strongest = max(strongest, host.Strength())
		dataCentres[host.DataCentre()] = append(dataCentres[host.DataCentre()], host)
	}
	var relays []string
	for _, name := range slices.Sorted(maps.Keys(dataCentres)) {
		members := dataCentres[name]
		strong := slices.DeleteFunc(slices.Clone(members), func(host almondcross.RelayHost) bool {
			return host.Strength()*minStrengthFraction < strongest
		})
		slices.SortStableFunc(strong, func(a, b almondcross.RelayHost) int {
			return cmp.Or(cmp.Compare(rank(a, current), rank(b, current)), cmp.Compare(b.Strength(), a.Strength()), cmp.Compare(a.Name(), b.Name()))
		})
		count := 1
		if len(members) >= pairHosts {
			count = maxRelays
		}
		for _, host := range strong[:min(count, len(strong))] {
			relays = append(relays, host.Name())
		}
	}
	slices.Sort(relays)
	return relays
}

// rank returns 0 for a host that relays now, so that it comes first, and 1 for another one.
func rank(host almondcross.RelayHost, current []string) int {
	if slices.Contains(current, host.Name()) {
		return 0
	}
	return 1
}

// Assign returns the relay with the fewest viewers in the data centre of a host, of those with all views if there are any. If
// there is none in the data centre, it returns the one with the fewest viewers of all.
func (ByDataCentre) Assign(viewer almondcross.RelayHost, relays []almondcross.ViewRelay) (string, bool) {
	if len(relays) == 0 {
		return "", false
	}
	// distance orders the relays by their data centre first.
	distance := func(relay almondcross.ViewRelay) int {
		far, unready := 0, 0
		if relay.Host().DataCentre() != viewer.DataCentre() {
			far = 2
		}
		if !relay.Ready() {
			unready = 1
		}
		return far + unready
	}
	best := slices.MinFunc(relays, func(a, b almondcross.ViewRelay) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.Viewers(), b.Viewers()), cmp.Compare(a.Host().Name(), b.Host().Name()))
	})
	return best.Host().Name(), true
}
