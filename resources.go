package almondcross

// Resources is an amount of each resource that a target has or a task needs.
//
//value:generate
type Resources struct {
	milliCPU     int64 // the processor time in thousandths of a core
	memoryMB     int64 // the memory in megabytes
	accelerators int64 // the number of accelerators
	slots        int64 // the number of runner slots
}

// Add returns the sum of two amounts.
func (resources Resources) Add(other Resources) Resources {
	resources.milliCPU += other.milliCPU
	resources.memoryMB += other.memoryMB
	resources.accelerators += other.accelerators
	resources.slots += other.slots
	return resources
}

// Sub returns the difference of two amounts.
func (resources Resources) Sub(other Resources) Resources {
	resources.milliCPU -= other.milliCPU
	resources.memoryMB -= other.memoryMB
	resources.accelerators -= other.accelerators
	resources.slots -= other.slots
	return resources
}

// Max returns the larger amount of each resource.
func (resources Resources) Max(other Resources) Resources {
	resources.milliCPU = max(resources.milliCPU, other.milliCPU)
	resources.memoryMB = max(resources.memoryMB, other.memoryMB)
	resources.accelerators = max(resources.accelerators, other.accelerators)
	resources.slots = max(resources.slots, other.slots)
	return resources
}

// Scale returns the amount multiplied by a count.
func (resources Resources) Scale(count int64) Resources {
	resources.milliCPU *= count
	resources.memoryMB *= count
	resources.accelerators *= count
	resources.slots *= count
	return resources
}

// Fits reports whether no resource of the amount exceeds the available amount.
func (resources Resources) Fits(available Resources) bool {
	return resources.milliCPU <= available.milliCPU && resources.memoryMB <= available.memoryMB &&
		resources.accelerators <= available.accelerators && resources.slots <= available.slots
}

// Negative reports whether an amount is negative.
func (resources Resources) Negative() bool {
	return resources.milliCPU < 0 || resources.memoryMB < 0 || resources.accelerators < 0 || resources.slots < 0
}

// IsZero reports whether the amount of every resource is zero.
func (resources Resources) IsZero() bool { return resources == Resources{} }

// Dominant returns the dominant share of the amount: the largest of its resources' fractions of a total.
func (resources Resources) Dominant(total Resources) float64 {
	return max(
		fraction(resources.milliCPU, total.milliCPU),
		fraction(resources.memoryMB, total.memoryMB),
		fraction(resources.accelerators, total.accelerators),
		fraction(resources.slots, total.slots),
	)
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
