package packer

import "sort"

// spread keeps the racks of one entry in the order of its tasks on them.
type spread struct {
	order    []int // racks by rising count
	position []int // the index of each rack in order
	count    []int
}

// grow adds racks up to a number, without tasks.
func (spread *spread) grow(racks int) {
	for rack := len(spread.count); rack < racks; rack++ {
		top := 0
		if rack > 0 {
			top = spread.count[spread.order[rack-1]]
		}
		spread.order = append(spread.order, rack)
		spread.position = append(spread.position, rack)
		spread.count = append(spread.count, top)
		for spread.count[rack] > 0 {
			spread.lower(rack)
		}
	}
}

// raise counts one more task on a rack.
func (spread *spread) raise(rack int) {
	count := spread.count[rack]
	end := sort.Search(len(spread.order), func(index int) bool { return spread.count[spread.order[index]] > count })
	spread.swap(spread.position[rack], end-1)
	spread.count[rack]++
}

// lower counts one task less on a rack.
func (spread *spread) lower(rack int) {
	count := spread.count[rack]
	if count == 0 {
		return
	}
	begin := sort.Search(len(spread.order), func(index int) bool { return spread.count[spread.order[index]] >= count })
	spread.swap(spread.position[rack], begin)
	spread.count[rack]--
}

func (spread *spread) swap(first, second int) {
	order := spread.order
	order[first], order[second] = order[second], order[first]
	spread.position[order[first]], spread.position[order[second]] = first, second
}
