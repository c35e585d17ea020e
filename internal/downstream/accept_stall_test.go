package downstream

import (
	"testing"
	"time"
)

func TestStallHoldsUpConnectionsForItsTimeAndAftermath(t *testing.T) {
	const ms = time.Millisecond
	at := func(after time.Duration) time.Time { return time.Unix(1000, 0).Add(after) }
	var stall acceptStall
	expect := func(after, want time.Duration) {
		t.Helper()
		if got := stall.heldUpFor(at(after)); got != want {
			t.Errorf("after %v: held up for %v, want %v", after, got, want)
		}
	}
	expect(0, 0)
	stall.begin(at(0))
	stall.begin(at(20 * ms)) // another failure
	expect(40*ms, 40*ms)
	stall.end(at(50 * ms))
	stall.end(at(60 * ms)) // another success
	expect(50*ms, 50*ms)
	expect(50*ms+stallAftermath-ms, 50*ms+stallAftermath-ms)
	expect(50*ms+stallAftermath, 0)
	stall.begin(at(time.Second))
	stall.end(at(time.Second + 10*ms))
	stall.begin(at(time.Second + 20*ms)) // in the aftermath
	expect(time.Second+30*ms, 30*ms)
	stall.clear()
	expect(time.Second+30*ms, 0)
}
