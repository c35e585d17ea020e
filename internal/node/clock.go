package node

import "time"

// clockOffset is what a node's clock shows at its creation. It keeps the start of a server that is
// older than this node positive: the balancer takes 0 and less for "long ago".
const clockOffset = time.Hour

// clock is a node's monotonic clock, which package policy's times are on.
type clock struct {
	origin time.Time // when the clock would have shown 0
}

func newClock() *clock { return &clock{origin: time.Now().Add(-clockOffset)} }

// now returns the time on the clock.
func (c *clock) now() time.Duration { return time.Since(c.origin) }

// toTime converts a time on the clock.
func (c *clock) toTime(at time.Duration) time.Time { return c.origin.Add(at) }

// fromTime returns the time on the clock of a time.
func (c *clock) fromTime(at time.Time) time.Duration { return at.Sub(c.origin) }
