package node

import (
	"sync/atomic"
	"time"
)

// maxDuration is the longest of the durations that were observed since the last call of take. It is safe for concurrent
// use; the zero value has observed none.
type maxDuration struct{ nanoseconds atomic.Int64 }

// observe records a duration.
func (m *maxDuration) observe(d time.Duration) {
	for {
		longest := m.nanoseconds.Load()
		if int64(d) <= longest || m.nanoseconds.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// take returns the longest duration and forgets it.
func (m *maxDuration) take() time.Duration { return time.Duration(m.nanoseconds.Swap(0)) }

// requestDelays are the longest times for which requests waited for the node itself.
type requestDelays struct {
	read     maxDuration // time between the arrival of a request's last bytes and its parsing
	event    maxDuration // time between the submission of a request and its handling by the event loop
	response maxDuration // time between the decision on a final response and its receipt by the handler
}
