package upstream

import (
	"context"
	"slices"
	"time"
)

const (
	// checksPerMaxIdleTime is the number of checks that EnforceIdleTimeout makes within Pool.maxIdleTime.
	checksPerMaxIdleTime = 8
	// minIdleCheckInterval limits the cost of the checks if Pool.maxIdleTime is short.
	minIdleCheckInterval = 10 * time.Millisecond
)

// EnforceIdleTimeout closes connections whose idle time has reached its limit. It returns when ctx is done.
func (p *Pool) EnforceIdleTimeout(ctx context.Context) {
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

// closeExpired closes the connections that have been idle for longer than p.maxIdleTime.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		expired := 0
		for expired < len(s.idle) && time.Since(s.idle[expired].idleSince) > p.maxIdleTime {
			if !s.idle[expired].readyForRequest() && s.idle[expired].surplus {
				p.recordSurplusLocked(s)
			}
			p.closeLocked(s.idle[expired])
			expired++
		}
		s.idle = slices.Delete(s.idle, 0, expired)
	}
}
