package policy

import (
	"testing"
	"time"
)

// discardingHost is a Host that keeps the sends until they are taken.
type discardingHost struct{ sends []RequestID }

func (h *discardingHost) Send(id RequestID, _ ServerID, _ time.Duration) {
	h.sends = append(h.sends, id)
}
func (h *discardingHost) Cancel(RequestID, int)           {}
func (h *discardingHost) Reject(RequestID, time.Duration) {}
func (h *discardingHost) Fail(RequestID)                  {}
func (h *discardingHost) SetTimer(time.Duration, uint64)  {}
func (h *discardingHost) WatchEndpoints()                 {}

// BenchmarkRequest measures a request that succeeds at once, with the periodic check now and then.
func BenchmarkRequest(b *testing.B) {
	host := &discardingHost{}
	balancer, err := New(testSettings(), 1, host)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	balancer.UpdateEndpoints(now, UpdateCached, readyEndpoints(1, 60))
	var id RequestID
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 200 * time.Microsecond
		balancer.Request(now, Request{ID: id, Timeout: 2 * time.Second})
		for _, sent := range host.sends {
			balancer.Outcome(now, Outcome{ID: sent, Status: OK, Latency: 10 * ms, RequestCompleted: true})
		}
		host.sends = host.sends[:0]
		if id%50 == 0 {
			balancer.Timer(now, timerCheck)
		}
	}
}
