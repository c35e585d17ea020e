package upstream

import (
	"context"
	"slices"
	"time"
)

const (
	// checksPerMaxIdleTime is how often RetireIdle checks within the longest idle time.
	checksPerMaxIdleTime = 8
	// minIdleCheckInterval bounds the checks' cost when that time is short.
	minIdleCheckInterval = 10 * time.Millisecond
)

// RetireIdle closes connections that have been idle for too long, until ctx ends.
func (p *Pool) RetireIdle(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdleTime/checksPerMaxIdleTime, minIdleCheckInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.closeExpired()
		}
	}
}

// closeExpired closes the connections whose idle time has expired now.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		expired := 0
		for expired < len(s.idle) && time.Since(s.idle[expired].idleSince) > p.maxIdleTime {
			p.closeLocked(s.idle[expired])
			expired++
		}
		s.idle = slices.Delete(s.idle, 0, expired)
	}
}
