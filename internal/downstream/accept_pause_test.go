package downstream

import (
	"testing"
	"time"
)

// A connection that is accepted during a pause, or within acceptQueueClearTime after its end, may have
// waited since the pause began. Another pause that begins within that time extends the first pause.
func TestAcceptPauseDelaysConnections(t *testing.T) {
	const ms = time.Millisecond
	at := func(after time.Duration) time.Time { return time.Unix(1000, 0).Add(after) }
	var pause acceptPause
	expect := func(after, want time.Duration) {
		t.Helper()
		if got := pause.maxDelay(at(after)); got != want {
			t.Errorf("maxDelay() at %v = %v, want %v", after, got, want)
		}
	}
	expect(0, 0)
	pause.begin(at(0))
	pause.begin(at(20 * ms)) // a further failed accept in the same pause
	expect(40*ms, 40*ms)
	pause.end(at(50 * ms))
	pause.end(at(60 * ms)) // a further successful accept
	expect(50*ms, 50*ms)
	expect(50*ms+acceptQueueClearTime-ms, 50*ms+acceptQueueClearTime-ms)
	expect(50*ms+acceptQueueClearTime, 0)
	pause.begin(at(time.Second))
	pause.end(at(time.Second + 10*ms))
	pause.begin(at(time.Second + 20*ms)) // within acceptQueueClearTime, so it extends the previous pause
	expect(time.Second+30*ms, 30*ms)
	pause.reset()
	expect(time.Second+30*ms, 0)
}
