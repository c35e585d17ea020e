package upstream

import (
	"context"
	"log/slog"
	"slices"
	"time"
)

// DefaultReuseDelay is the minimum time between a response and the next request on the same connection. A server may
// close the connection after a response, or send a second copy of it some milliseconds late. Nothing in a response names
// its request: a copy that arrives after the next request was written is taken for the response to that request. Bytes
// that arrive within the delay are detected before.
const DefaultReuseDelay = 10 * time.Millisecond

const (
	// maxReuseWait limits how long an attempt waits for the end of a reuse delay. If the rest is longer, a new
	// connection is opened instead.
	maxReuseWait = DefaultReuseDelay
	// surplusDelayFactor multiplies the reuse delay for a server that has sent surplus bytes within surplusPeriod: the
	// next ones may come later than those that were detected.
	surplusDelayFactor = 5
	// surplusPeriod is the time for which the longer delay applies.
	surplusPeriod = 30 * time.Second
)

// reuseDelayLocked returns the reuse delay that applies to the connections of a server now.
func (p *Pool) reuseDelayLocked(target *server) time.Duration {
	if target.sentSurplusLately() {
		return surplusDelayFactor * p.config.ReuseDelay
	}
	return p.config.ReuseDelay
}

// sentSurplusLately reports whether surplus bytes of the server were detected within surplusPeriod.
func (s *server) sentSurplusLately() bool {
	return !s.surplusAt.IsZero() && time.Since(s.surplusAt) < surplusPeriod
}

// recordSurplusLocked records that a server has sent surplus bytes. It logs the first ones of a period.
func (p *Pool) recordSurplusLocked(target *server) {
	if !target.sentSurplusLately() {
		slog.Warn("server sent more than its response", "addr", target.address)
	}
	target.surplusAt = time.Now()
}

// takeSettlingLocked removes the idle connection from the pool whose reuse delay ends first, and returns it with the rest
// of the delay. It returns nil if the rest is longer than maxReuseWait or if no connection is idle. The caller has found
// that no connection of the server has passed its delay.
func (p *Pool) takeSettlingLocked(target *server) (*connection, time.Duration) {
	if len(target.idle) == 0 {
		return nil, 0
	}
	conn := target.idle[0]
	wait := p.reuseDelayLocked(target) - time.Since(conn.idleSince)
	if wait > maxReuseWait {
		return nil, 0
	}
	target.idle = slices.Delete(target.idle, 0, 1)
	return conn, wait
}

// settle waits until the reuse delay of a reserved connection has ended. If ctx is done first, it returns the connection
// to the pool and returns the error of ctx.
func (p *Pool) settle(ctx context.Context, reserved reservation) error {
	if reserved.wait <= 0 {
		return nil
	}
	timer := time.NewTimer(reserved.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		p.release(reserved.idle)
		return ctx.Err()
	}
}
