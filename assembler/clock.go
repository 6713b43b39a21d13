package assembler

import "time"

// Clock reads the system clock.
type Clock struct{}

// Now returns the current time with its monotonic reading.
func (Clock) Now() time.Time { return time.Now() }
