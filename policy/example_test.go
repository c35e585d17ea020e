package policy_test

import (
	"fmt"
	"time"

	"calicohinge/policy"
)

// printingHost is a Host that prints the actions of a Balancer and keeps the time of the timer set last.
type printingHost struct{ timerAt time.Duration }

func (p *printingHost) Send(id policy.RequestID, _ policy.ServerID, _ time.Duration) {
	fmt.Println("send request", id)
}
func (p *printingHost) Cancel(id policy.RequestID, attempt int) { fmt.Println("cancel", id, attempt) }
func (p *printingHost) Reject(id policy.RequestID, after time.Duration) {
	fmt.Println("reject request", id, "with Retry-After", after > 0)
}
func (p *printingHost) Fail(id policy.RequestID)            { fmt.Println("fail request", id) }
func (p *printingHost) SetTimer(at time.Duration, _ uint64) { p.timerAt = at }
func (p *printingHost) WatchEndpoints()                     { fmt.Println("watch the endpoints") }
func (p *printingHost) SetSyncState(state policy.SyncState) { fmt.Println("sync:", state) }

// The first request succeeds at once, the second succeeds with a retry, and the third is rejected because no server is
// left.
func Example() {
	settings := policy.Defaults()
	settings.Classes = []policy.Class{{
		Deadline: 2 * time.Second, Objective: 500 * time.Millisecond, PriorityWeight: 1, Idempotency: policy.Idempotent,
	}}
	settings.Limits.MaxAttempts = 3
	settings.Limits.MaxRetryAfter = time.Second
	host := &printingHost{}
	balancer, err := policy.New(settings, 1, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // on any monotonic clock
	balancer.UpdateEndpoints(now, policy.UpdateSnapshot, []policy.Endpoint{
		{Server: 1, State: policy.EndpointReady, Weight: 1},
		{Server: 2, State: policy.EndpointReady, Weight: 1},
	})

	balancer.Request(now, policy.Request{ID: 1, Timeout: 2 * time.Second})
	now += 20 * time.Millisecond
	balancer.Outcome(now, policy.Outcome{
		ID: 1, Status: policy.StatusOK, RequestCompleted: true, Latency: 20 * time.Millisecond,
	})

	balancer.Request(now, policy.Request{ID: 2, Timeout: 2 * time.Second})
	balancer.Outcome(now, policy.Outcome{ID: 2, Status: policy.StatusServerError, Latency: time.Millisecond})
	for range 10 { // the periodic check retries the request after its backoff
		now = max(now, host.timerAt)
		balancer.Timer(now, 0)
	}
	balancer.Outcome(now, policy.Outcome{
		ID: 2, Attempt: 1, Status: policy.StatusOK, RequestCompleted: true, Latency: 20 * time.Millisecond,
	})

	balancer.UpdateEndpoints(now, policy.UpdateSnapshot, nil) // no server is left
	balancer.Request(now, policy.Request{ID: 3, Timeout: 2 * time.Second})

	// Output:
	// send request 1
	// send request 2
	// send request 2
	// reject request 3 with Retry-After true
}
