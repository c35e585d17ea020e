package policy

// Server selection by score: the power of two random choices (Mitzenmacher 2001).

import "math/rand/v2"

// candidates are the servers that may get the next attempt of a request.
type candidates struct {
	closed []*server // servers with a closed breaker and capacity
	trial  *server   // server whose half-open breaker permits the attempt as its trial; nil if there is none
}

// reset removes all candidates.
func (c *candidates) reset() { c.closed, c.trial = c.closed[:0], nil }

// best returns the best server with a closed breaker. There must be at least one such server.
func (c *candidates) best() *server {
	best := c.closed[0]
	for _, s := range c.closed[1:] {
		best = betterServer(best, s)
	}
	return best
}

// betterOfTwoRandom returns the better of two random servers with closed breakers. There must be at least one
// such server.
func (c *candidates) betterOfTwoRandom(random *rand.Rand) *server {
	n := len(c.closed)
	if n <= 2 {
		return c.best()
	}
	i := random.IntN(n)
	j := (i + 1 + random.IntN(n-1)) % n
	return betterServer(c.closed[i], c.closed[j])
}

// betterServer returns the server with the higher score. If the scores differ by at most scoreTieMargin, it
// returns the server with fewer attempts in flight. If these are equal too, it returns the server in this
// node's zone, or x if both or neither of the servers are in that zone.
func betterServer(x, y *server) *server {
	switch {
	case x.score.value > y.score.value+scoreTieMargin:
		return x
	case y.score.value > x.score.value+scoreTieMargin || len(y.inFlight) < len(x.inFlight):
		return y
	case len(y.inFlight) == len(x.inFlight) && y.sameZone && !x.sameZone:
		return y
	}
	return x
}
