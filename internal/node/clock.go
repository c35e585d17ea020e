package node

import "time"

// clockOffset is the reading of a node's clock at its creation. A server process that started less than clockOffset
// before the node therefore has a positive start time. The balancer treats a start time of 0 or less as "long ago".
const clockOffset = time.Hour

// clock is a node's monotonic clock. All times that are passed to and from package policy are readings of it.
type clock struct {
	origin time.Time // the time that corresponds to reading 0
}

func newClock() *clock { return &clock{origin: time.Now().Add(-clockOffset)} }

// now returns the current reading of the clock.
func (c *clock) now() time.Duration { return time.Since(c.origin) }

// toTime converts a reading of the clock to a time.Time.
func (c *clock) toTime(at time.Duration) time.Time { return c.origin.Add(at) }

// fromTime converts a time.Time to a reading of the clock.
func (c *clock) fromTime(at time.Time) time.Duration { return at.Sub(c.origin) }
