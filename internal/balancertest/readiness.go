package balancertest

import (
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// AwaitReady waits until the node at an address is ready, or fails the test.
func AwaitReady(tb testing.TB, addr string) {
	tb.Helper()
	if TimeToReady(addr, time.Now(), testkit.WaitTimeout) >= testkit.WaitTimeout {
		tb.Fatal("never ready")
	}
}

// TimeToReady waits until the node at an address is ready, and returns the time since began, at most limit.
func TimeToReady(addr string, start time.Time, limit time.Duration) time.Duration {
	const pollInterval = 20 * time.Millisecond
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; time.Since(start) < limit; time.Sleep(pollInterval) {
		response, err := client.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // the status is all that counts
		if response.StatusCode == http.StatusOK {
			return time.Since(start)
		}
	}
	return limit
}
