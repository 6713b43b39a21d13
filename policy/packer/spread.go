package packer

import "sort"

// rackCounts keeps the racks ordered by the number of tasks that one entry has on them.
type rackCounts struct {
	byCount  []int // rack indexes by ascending task count
	position []int // the position of each rack in byCount
	tasks    []int
}

// grow adds racks without tasks until there are the given number of racks. A new rack is appended with the highest
// count and decremented to zero, which moves it to its place in byCount.
func (rackcounts *rackCounts) grow(racks int) {
	for rack := len(rackcounts.tasks); rack < racks; rack++ {
		highest := 0
		if rack > 0 {
			highest = rackcounts.tasks[rackcounts.byCount[rack-1]]
		}
		rackcounts.byCount = append(rackcounts.byCount, rack)
		rackcounts.position = append(rackcounts.position, rack)
		rackcounts.tasks = append(rackcounts.tasks, highest)
		for rackcounts.tasks[rack] > 0 {
			rackcounts.decrement(rack)
		}
	}
}

// increment adds one task to a rack.
func (rackcounts *rackCounts) increment(rack int) {
	count := rackcounts.tasks[rack]
	end := sort.Search(len(rackcounts.byCount), func(index int) bool { return rackcounts.tasks[rackcounts.byCount[index]] > count })
	rackcounts.swap(rackcounts.position[rack], end-1)
	rackcounts.tasks[rack]++
}

// decrement removes one task from a rack, if it has any.
func (rackcounts *rackCounts) decrement(rack int) {
	count := rackcounts.tasks[rack]
	if count == 0 {
		return
	}
	begin := sort.Search(len(rackcounts.byCount), func(index int) bool { return rackcounts.tasks[rackcounts.byCount[index]] >= count })
	rackcounts.swap(rackcounts.position[rack], begin)
	rackcounts.tasks[rack]--
}

func (rackcounts *rackCounts) swap(first, second int) {
	byCount := rackcounts.byCount
	byCount[first], byCount[second] = byCount[second], byCount[first]
	rackcounts.position[byCount[first]], rackcounts.position[byCount[second]] = first, second
}
