package check

import (
	"fmt"
	"math"
	"time"

	"calicohinge/internal/soak/history"
)

// checkSlowStart checks that no server receives more requests, from all nodes together, than it tolerates while it
// is warming up.
func (c *checker) checkSlowStart() {
	for _, server := range c.History.Servers() {
		if !server.JoinedAt.IsZero() {
			c.checkWarmUp(server)
		}
	}
}

// checkWarmUp checks a server that joined during the run. It reports only the first overload.
func (c *checker) checkWarmUp(server *history.Server) {
	const step = 100 * time.Millisecond
	warmAt := server.JoinedAt.Add(c.Settings.SlowStart)
	for at := server.JoinedAt; at.Before(warmAt) && at.Before(c.EndedAt); at = at.Add(step) {
		end := at.Add(c.Settings.OverloadWindow)
		allowed := withRandomVariation(c.slowStartBudget(server, at, end))
		if got := server.CountArrivals(at, end); float64(got) > allowed {
			c.violations = append(c.violations, history.Violation{
				Rule: "slow start", At: at,
				Text: fmt.Sprintf("server %s received %d requests within %v, starting %v after its start, want at most %.1f",
					server.ID, got, c.Settings.OverloadWindow, at.Sub(server.JoinedAt), allowed),
			})
			return
		}
	}
}

// slowStartBudget returns how many requests a server that is warming up tolerates in the OverloadWindow [from, to).
func (c *checker) slowStartBudget(server *history.Server, from, to time.Time) float64 {
	s := c.Settings
	age := min(1, to.Sub(server.JoinedAt).Seconds()/s.SlowStart.Seconds())
	share := s.SlowStartShare + (1-s.SlowStartShare)*age
	return s.OverloadMultiple * share * c.warmServerRate(from, to) * s.OverloadWindow.Seconds()
}

// withRandomVariation adds to a number of requests the excess that the operators' contract allows for random
// variation.
func withRandomVariation(budget float64) float64 {
	const smallBudget = 30
	if budget < smallBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// warmServerRate returns the highest rate of a warm server in requests per second, of all servers that are listed
// from the start and do not hang. It includes the time before the given interval, because the nodes estimate the
// rate from their recent past.
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
