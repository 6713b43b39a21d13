package assembler

import "time"

// Clock gives the time of the machine.
type Clock struct{}

// Now returns the current time with its monotonic part.
func (Clock) Now() time.Time { return time.Now() }
