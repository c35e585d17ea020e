package balancertest

import (
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// AwaitReady waits until the node at an address is ready, and fails the test after testkit.WaitTimeout.
func AwaitReady(tb testing.TB, addr string) {
	tb.Helper()
	if TimeToReady(addr, time.Now(), testkit.WaitTimeout) >= testkit.WaitTimeout {
		tb.Fatalf("the node at %s was not ready within %v", addr, testkit.WaitTimeout)
	}
}

// TimeToReady polls the node at an address until the node is ready, and returns the time from start until then. If the
// node is not ready within limit, TimeToReady returns limit.
func TimeToReady(addr string, start time.Time, limit time.Duration) time.Duration {
	const pollInterval = 20 * time.Millisecond
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; time.Since(start) < limit; time.Sleep(pollInterval) {
		response, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // only the status is needed
		if response.StatusCode == http.StatusOK {
			return time.Since(start)
		}
	}
	return limit
}
