// Package milliseconds converts between time.Duration and the floating-point milliseconds of the configuration and
// of the simulator protocol. Packages config and simproto use it. It keeps no state.
package milliseconds

import (
	"math"
	"time"
)

// limit is a quarter of the range of time.Duration, so that sums of a few converted times do not overflow.
const limit = float64(math.MaxInt64) / 4 / float64(time.Millisecond)

// ToDuration converts milliseconds to a duration, rounding to the nanosecond. It returns false for NaN and for values
// out of range.
func ToDuration(ms float64) (time.Duration, bool) {
	inRange := ms > -limit && ms < limit // false for NaN
	if !inRange {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

// FromDuration converts a duration to milliseconds.
func FromDuration(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
