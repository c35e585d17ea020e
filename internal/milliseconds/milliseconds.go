// Package milliseconds converts between time.Duration and the floating-point milliseconds of the operators'
// interfaces. Packages config and simproto use it. It keeps no state.
package milliseconds

import (
	"math"
	"time"
)

// limit keeps sums of a few converted times inside the range of time.Duration.
const limit = float64(math.MaxInt64) / 4 / float64(time.Millisecond)

// ToDuration converts a time in milliseconds, rounded to the nanosecond. It returns false for a value that is
// not a number or out of range.
func ToDuration(ms float64) (time.Duration, bool) {
	inRange := ms > -limit && ms < limit // false for NaN
	if !inRange {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

// FromDuration converts a duration to milliseconds.
func FromDuration(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
