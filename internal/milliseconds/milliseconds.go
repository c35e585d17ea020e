// Package milliseconds converts between time.Duration and the floating-point milliseconds of the configuration and
// of the simulator protocol. Packages config and simproto use it. It keeps no state.
package milliseconds

import (
	"math"
	"time"
)

// limit is a quarter of the longest time.Duration, in milliseconds. ToDuration converts only shorter times, so that
// sums of a few of them do not overflow.
const limit = float64(math.MaxInt64) / 4 / float64(time.Millisecond)

// ToDuration converts milliseconds to a duration, rounded to the nanosecond. It returns false for NaN and for times
// of about 73 years or more, positive or negative.
func ToDuration(ms float64) (time.Duration, bool) {
	inRange := ms > -limit && ms < limit // false for NaN, because all comparisons with NaN are false
	if !inRange {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

// FromDuration converts a duration to milliseconds.
func FromDuration(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
