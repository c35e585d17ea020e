package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// The wait of an unresponsive watch, the margin for a late response and the interval over which the next calls are
// spread must leave an eighth of the notification deadline for the response to the next call.
func TestUnresponsiveWatchLeavesTimeForAnotherCall(t *testing.T) {
	const spread = 750 * time.Millisecond // interval over which the next calls are spread
	remaining := policy.NotificationDeadline - watchWait - watchResponseMargin - spread
	if remaining < policy.NotificationDeadline/8 {
		t.Errorf("time left for the next call: got %v, want at least %v", remaining, policy.NotificationDeadline/8)
	}
	if responseTimeout > watchWait+watchResponseMargin {
		t.Errorf("responseTimeout = %v, want at most %v", responseTimeout, watchWait+watchResponseMargin)
	}
	// The notification deadline of a call with a long wait is later than usual: 2 s after the end of the wait.
	if watchWait+2*time.Second > policy.NotificationDeadline {
		t.Errorf("watchWait = %v, want at most %v, so that the notification deadline is as usual",
			watchWait, policy.NotificationDeadline-2*time.Second)
	}
}

// newTestFollower returns a follower of the list at an address, in push mode.
func newTestFollower(t *testing.T, address string, haveList bool) *follower {
	t.Helper()
	client := New(Config{Address: address})
	calls := newInFlightCalls(client.send)
	t.Cleanup(calls.close)
	f := newFollower(client, newRecorder(), calls, address)
	f.haveList = haveList
	return f
}

func TestErrorKindOfFailedCall(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		response string // empty: no server listens at the address
		kind     ErrorKind
		status   int
	}{
		"refused":               {"", Refused, 0},
		"closed after a header": {ok + "Content-Length: 20\r\n", Reset, 0},
		"closed in a header":    {ok + "Content-Le", Malformed, 0}, // net/http reports this as a malformed header
		"closed in the body":    {ok + "Content-Length: 20\r\n\r\n{", Reset, 0},
		"unavailable": {
			"HTTP/1.1 503 Down\r\nContent-Length: 4\r\n\r\ndown", BadStatus, http.StatusServiceUnavailable,
		},
		"list with a bad status": {"HTTP/1.1 404 Where\r\nContent-Length: 2\r\n\r\n{}", BadStatus, http.StatusNotFound},
		"not HTTP":               {"\x00\x01\x02 what\r\n\r\n", Malformed, 0},
		"HTML":                   {ok + "Content-Length: 6\r\n\r\n<html>", Malformed, 0},
		"wrong type":             {ok + "Content-Length: 18\r\n\r\n{\"generation\":\"x\"}", Malformed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			address := testkit.FreeAddr(t)
			if c.response != "" {
				address = testkit.NewScriptedServer(t, c.response, testkit.CloseAfterResponse).Address
			}
			for _, haveList := range []bool{false, true} {
				_, err := newTestFollower(t, address, haveList).fetch(t.Context())
				checkFailure(t, err, c.kind, c.status)
			}
		})
	}
}

func checkFailure(t *testing.T, err error, kind ErrorKind, status int) {
	t.Helper()
	failure, ok := errors.AsType[*Error](err)
	if !ok {
		t.Fatalf("got error %v, want an *Error", err)
	}
	if failure.Kind != kind || failure.Status != status {
		t.Errorf("error %v: got kind %v and status %d, want %v and %d", err, failure.Kind, failure.Status, kind, status)
	}
}

func TestConnectionClosedWithoutResponseIsReset(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.CloseWithoutResponse)
	if _, err := newTestFollower(t, server.Address(), true).fetch(t.Context()); kindOf(err) != Reset {
		t.Errorf("fetch(): got error %v of kind %v, want kind %v", err, kindOf(err), Reset)
	}
}

// unresponsiveTransport returns no response. Its round trips end when the context of the request is done.
type unresponsiveTransport struct{}

func (unresponsiveTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

func TestCallWithoutResponseTimesOut(t *testing.T) {
	for name, c := range map[string]timeoutTest{
		"watch":                       {true, false, Unresponsive, 4500 * time.Millisecond},
		"snapshot":                    {false, false, Timeout, 4500 * time.Millisecond},
		"snapshot from a new address": {false, true, Timeout, 2 * time.Second},
		"watch at a new address":      {true, true, Unresponsive, 4500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.check) })
	}
}

// timeoutTest describes a call that gets no response, and its expected end.
type timeoutTest struct {
	haveList       bool
	addressChanged bool
	kind           ErrorKind
	took           time.Duration
}

func (c timeoutTest) check(t *testing.T) {
	f := newTestFollower(t, "discovery", c.haveList)
	f.client.httpClient.Transport = unresponsiveTransport{}
	if c.addressChanged {
		f.deadlines.initialList = time.Now().Add(addressChangeDeadline)
	}
	if c.haveList {
		f.deadlines.listApplied()
	}
	startedAt := time.Now()
	_, err := f.fetch(t.Context())
	if kindOf(err) != c.kind || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("fetch(): got error %v of kind %v, want an exceeded deadline of kind %v",
			err, kindOf(err), c.kind)
	}
	if took := time.Since(startedAt); took != c.took {
		t.Errorf("duration of the call: got %v, want %v", took, c.took)
	}
}

// The deadline of the caller must not be mistaken for the response timeout of the watch.
func TestCancelledWatchIsNotUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower(t, "discovery", true)
		f.client.httpClient.Transport = unresponsiveTransport{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.fetch(ctx); err == nil || kindOf(err) == Unresponsive {
			t.Errorf("fetch(): got error %v of kind %v, want any kind but %v", err, kindOf(err), Unresponsive)
		}
	})
}

// A follower without a list requests a snapshot. The response counts as a snapshot even if its field "reset" is not
// set.
func TestFirstResponseIsSnapshot(t *testing.T) {
	for _, haveList := range []bool{false, true} {
		next := newTestFollower(t, "discovery", haveList).nextQuery()
		list, err := next.decode([]byte(`{"generation":3,"instances":[]}`))
		if err != nil {
			t.Fatal(err)
		}
		if list.Snapshot == haveList {
			t.Errorf("response to a follower with haveList = %v: got Snapshot = %v, want %v",
				haveList, list.Snapshot, !haveList)
		}
	}
}

// unresponsiveHost neither accepts nor refuses connections. It counts the attempts to open a connection.
type unresponsiveHost struct{ started, inProgress atomic.Int32 }

func (h *unresponsiveHost) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	h.started.Add(1)
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	<-ctx.Done()
	return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
}

// A call may be cancelled while its connection is being opened. A connection attempt that outlasted its call would
// count against maxConnectionsPerHost and delay later calls. Each attempt must therefore end with its call, and each
// call must start its own attempt immediately.
func TestConnectionAttemptsEndWithTheirCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := &unresponsiveHost{}
		f := newTestFollower(t, "discovery:1", true)
		f.client.httpClient.Transport = newTransport(host.dial)
		for calls := range int32(2 * maxConnectionsPerHost) {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			failed, err := f.fetch(ctx)
			cancel()
			synctest.Wait()
			if phase := failed.progress.current(); err == nil || phase > phaseConnecting {
				t.Fatalf("fetch(): got error %v in phase %v, want an error before a connection is open", err, phase)
			}
			started, inProgress := host.started.Load(), host.inProgress.Load()
			if started != calls+1 || inProgress != 0 {
				t.Fatalf("connection attempts after call %d: got %d started and %d in progress, want %d and 0",
					calls+1, started, inProgress, calls+1)
			}
		}
	})
}
