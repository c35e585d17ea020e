package check

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"calicohinge/internal/soak/history"
)

// checkSlowStart checks that no server that is warming up receives more requests, from all nodes together, than it
// tolerates.
func (c *checker) checkSlowStart() {
	for _, server := range c.History.Servers() {
		if !server.JoinedAt.IsZero() {
			c.checkWarmUp(server)
		}
	}
}

// checkWarmUp checks a server that joined during the run. It counts the requests in windows of the length
// OverloadWindow that begin every 100 ms until the server is warm or the run ends. It reports only the first overload.
func (c *checker) checkWarmUp(server *history.Server) {
	const step = 100 * time.Millisecond
	warmAt := server.JoinedAt.Add(c.Settings.SlowStart)
	for at := server.JoinedAt; at.Before(warmAt) && at.Before(c.EndedAt); at = at.Add(step) {
		end := at.Add(c.Settings.OverloadWindow)
		allowed := withRandomVariation(c.slowStartBudget(server, at, end))
		if got := server.CountArrivals(at, end); float64(got) > allowed {
			c.violations = append(c.violations, history.Violation{
				Rule: "slow start", At: at,
				Text: fmt.Sprintf("server %s received %d requests within %v, counted from %v after its start, want at most %.1f "+
					"(a warm server %.0f/s); arrivals in each tenth of that time: %s",
					server.ID, got, c.Settings.OverloadWindow, at.Sub(server.JoinedAt), allowed,
					c.warmServerRate(at, end), c.arrivalsByIncarnation(server, at, end)),
			})
			return
		}
	}
}

// slowStartBudget returns how many requests a server that is warming up tolerates in the OverloadWindow [from, to):
// OverloadMultiple times its capacity at the end of the window. The capacity grows linearly during SlowStart, from
// SlowStartShare of the capacity of a warm server to all of it. The capacity of a warm server is taken to be
// warmServerRate.
func (c *checker) slowStartBudget(server *history.Server, from, to time.Time) float64 {
	s := c.Settings
	age := min(1, to.Sub(server.JoinedAt).Seconds()/s.SlowStart.Seconds())
	share := s.SlowStartShare + (1-s.SlowStartShare)*age
	return s.OverloadMultiple * share * c.warmServerRate(from, to) * s.OverloadWindow.Seconds()
}

// withRandomVariation adds to a number of requests the excess that the operators' contract allows for random
// variation: three times the square root of the number plus 3 requests if the number is below 30, otherwise twice the
// square root plus 2 requests. The square root is the standard deviation of a Poisson-distributed number of requests.
func withRandomVariation(budget float64) float64 {
	const smallBudget = 30
	if budget < smallBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// warmServerRate returns the highest rate, in requests per second, at which a warm server received requests. A server
// counts as warm if it is listed from the start of the run; unresponsive servers are left out. Requests are counted in
// each second from lookback before the given interval until its end, because the nodes estimate the rate from their
// recent past.
func (c *checker) warmServerRate(from, to time.Time) float64 {
	const lookback = 3 * time.Second
	maxCount := 0
	for _, server := range c.History.Servers() {
		warm := server.JoinedAt.IsZero()
		if !warm || server.Unresponsive.Load() {
			continue
		}
		for at := from.Add(-lookback); at.Before(to); at = at.Add(time.Second) {
			maxCount = max(maxCount, server.CountArrivals(at, at.Add(time.Second)))
		}
	}
	return float64(maxCount)
}

// arrivalsByIncarnation describes the attempts that arrived at a server in the interval [from, to): for each incarnation of
// a node, their numbers in each tenth of the interval.
func (c *checker) arrivalsByIncarnation(server *history.Server, from, to time.Time) string {
	const parts = 10
	counts := map[string]*[parts]int{}
	for _, request := range c.History.Requests() {
		for _, attempt := range request.Attempts {
			if attempt.Server != server || attempt.At.Before(from) || !attempt.At.Before(to) || request.Incarnation == nil {
				continue
			}
			name := request.Incarnation.Name
			if counts[name] == nil {
				counts[name] = &[parts]int{}
			}
			counts[name][int(attempt.At.Sub(from)*parts/to.Sub(from))]++
		}
	}
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%s %v", name, *counts[name]))
	}
	return strings.Join(texts, ", ")
}
