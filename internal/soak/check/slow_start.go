package check

import (
	"fmt"
	"math"
	"time"

	"calicohinge/internal/soak/history"
)

// checkSlowStart checks that no server got more requests from all nodes together than it bears while it warms
// up.
func (c *checker) checkSlowStart() {
	for _, server := range c.History.Servers() {
		if !server.JoinedAt.IsZero() {
			c.checkWarmUp(server)
		}
	}
}

// checkWarmUp checks a server that joined during the run. It reports the first overload only.
func (c *checker) checkWarmUp(server *history.Server) {
	const step = 100 * time.Millisecond
	warmAt := server.JoinedAt.Add(c.Settings.SlowStart)
	for at := server.JoinedAt; at.Before(warmAt) && at.Before(c.EndedAt); at = at.Add(step) {
		end := at.Add(c.Settings.OverloadWindow)
		allowed := withRandomVariation(c.slowStartBudget(server, at, end))
		if got := server.CountArrivals(at, end); float64(got) > allowed {
			c.violations = append(c.violations, history.Violation{
				Rule: "slow start", At: at, Text: fmt.Sprintf("%s got %d requests %v after its start, %.1f are allowed",
					server.ID, got, at.Sub(server.JoinedAt), allowed),
			})
			return
		}
	}
}

// slowStartBudget returns how many requests a server that is warming up bears in a time.
func (c *checker) slowStartBudget(server *history.Server, from, to time.Time) float64 {
	s := c.Settings
	age := min(1, to.Sub(server.JoinedAt).Seconds()/s.SlowStart.Seconds())
	share := s.SlowStartShare + (1-s.SlowStartShare)*age
	return s.OverloadMultiple * share * c.warmServerRate(from, to) * s.OverloadWindow.Seconds()
}

// withRandomVariation returns a budget of requests with the excess that the operators' terms allow for chance.
func withRandomVariation(budget float64) float64 {
	const smallBudget = 30
	if budget < smallBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// warmServerRate returns the highest rate of a warm server, in requests a second. The nodes estimate this rate
// from their recent past, so that the time before the given one counts too.
func (c *checker) warmServerRate(from, to time.Time) float64 {
	const lookback = 3 * time.Second
	maxCount := 0
	for _, server := range c.History.Servers() {
		warm := server.JoinedAt.IsZero()
		if !warm || server.Hanging.Load() {
			continue
		}
		for at := from.Add(-lookback); at.Before(to); at = at.Add(time.Second) {
			maxCount = max(maxCount, server.CountArrivals(at, at.Add(time.Second)))
		}
	}
	return float64(maxCount)
}
