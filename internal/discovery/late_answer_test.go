package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// heldCall is a call that waits for its answer.
type heldCall struct {
	request *http.Request
	body    chan string
}

// holdingTransport has the test answer each call, in any order.
type holdingTransport struct{ calls chan *heldCall }

func (h holdingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	call := &heldCall{request, make(chan string, 1)}
	trace := httptrace.ContextClientTrace(request.Context())
	trace.GotConn(httptrace.GotConnInfo{})
	trace.WroteRequest(httptrace.WroteRequestInfo{})
	h.calls <- call
	select {
	case body := <-call.body:
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Request: request}, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// requester requests a watch after each failed call, as package policy does.
type requester struct {
	*recorder
	client *Client
}

func (r requester) WatchFailed(time.Time) { r.client.RequestWatch() }

// heldCallsTest is a test of a client that knows generation 3 and whose calls it answers.
type heldCallsTest func(t *testing.T, client *Client, calls chan *heldCall, updates chan policy.UpdateKind)

// testHeldCalls runs a test in each way to follow the list.
func testHeldCalls(t *testing.T, test heldCallsTest) {
	t.Helper()
	for name, poll := range map[string]bool{"polled": true, "pushed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(t, poll) })
		})
	}
}

func (test heldCallsTest) run(t *testing.T, poll bool) {
	t.Helper()
	transport := holdingTransport{make(chan *heldCall, 10)}
	client := New(Config{
		Address: "former", Poll: poll,
		Cached: endpoint.List{Generation: 3, Endpoints: []endpoint.Endpoint{{ID: 1}}},
	})
	client.httpClient.Transport = transport
	handler := requester{newRecorder(), client}
	client.RequestWatch()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { defer close(stopped); client.Run(ctx, handler) }()
	if kind := testkit.Wait(t, handler.updates, "the cached list"); kind != policy.UpdateCached {
		t.Errorf("update %v, want the cached list", kind)
	}
	test(t, client, transport.calls, handler.updates)
	cancel()
	<-stopped
}

func waitCall(t *testing.T, calls <-chan *heldCall) *heldCall {
	t.Helper()
	return testkit.Wait(t, calls, "a call")
}

// expectWatch waits for the next call, which has to follow a generation.
func expectWatch(t *testing.T, calls <-chan *heldCall, after string) {
	t.Helper()
	if got := waitCall(t, calls).request.URL.Query().Get("after"); got != after {
		t.Errorf("the next call names generation %q, want %s", got, after)
	}
}

const oneServer = `"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"Terminating"}]}`

// expectNoUpdate fails the test if the handler has got a list.
func expectNoUpdate(t *testing.T, updates chan policy.UpdateKind) {
	t.Helper()
	synctest.Wait()
	if len(updates) > 0 {
		t.Errorf("update %v, want none", <-updates)
	}
}

// A watch is answered after the client has lost patience and called again, as a slow service or a node that
// was held up brings about: the node counts as notified of what the service has written, so that it is used.
func TestAnswerAfterTheNextCallIsUsed(t *testing.T) {
	testHeldCalls(t, func(t *testing.T, _ *Client, calls chan *heldCall, updates chan policy.UpdateKind) {
		late, next := waitCall(t, calls), waitCall(t, calls)
		late.body <- `{"generation":4,` + oneServer
		if kind := testkit.Wait(t, updates, "an update"); kind != policy.UpdateDelta {
			t.Errorf("update %v, want changes", kind)
		}
		expectWatch(t, calls, "4")
		if err := next.request.Context().Err(); err != nil {
			t.Errorf("the next call has ended: %v", err)
		}
		next.body <- `{"generation":5,` + oneServer
		testkit.Wait(t, updates, "an update")
		expectWatch(t, calls, "5")
	})
}

// The answers of two calls arrive in the wrong order: the older one is not used.
func TestOlderAnswerIsNotUsedAfterANewerOne(t *testing.T) {
	testHeldCalls(t, func(t *testing.T, _ *Client, calls chan *heldCall, updates chan policy.UpdateKind) {
		late, next := waitCall(t, calls), waitCall(t, calls)
		next.body <- `{"generation":5,` + oneServer
		testkit.Wait(t, updates, "an update")
		testkit.Wait(t, late.request.Context().Done(), "the end of a call")
		late.body <- `{"generation":4,` + oneServer
		expectNoUpdate(t, updates)
	})
}

// The address changes while a watch is answered: the node counts as notified of what the former address has
// written. The watch there ends once the new address has given its list.
func TestAnswerOfTheFormerAddressIsUsedUntilTheNewListArrives(t *testing.T) {
	testHeldCalls(t, checkFormerAddress)
}

func checkFormerAddress(t *testing.T, client *Client, calls chan *heldCall, updates chan policy.UpdateKind) {
	first := waitCall(t, calls)
	client.SetAddress("second")
	second := waitCall(t, calls)
	client.SetAddress("third")
	third := waitCall(t, calls)
	first.body <- `{"generation":4,` + oneServer
	if kind := testkit.Wait(t, updates, "an update"); kind != policy.UpdateDelta {
		t.Errorf("update %v, want changes", kind)
	}
	if url := third.request.URL; url.Host != "third" || url.RawQuery != "" {
		t.Errorf("the new address is asked %v, want the complete list", url)
	}
	third.body <- `{"generation":1,"reset":true,` + oneServer
	if kind := testkit.Wait(t, updates, "an update"); kind != policy.UpdateSnapshot {
		t.Errorf("update %v, want the complete list", kind)
	}
	testkit.Wait(t, second.request.Context().Done(), "the end of a call")
	second.body <- `{"generation":9,"reset":true,` + oneServer
	expectNoUpdate(t, updates)
	expectWatch(t, calls, "1")
}

// A service answers no call: how many stay open is bounded, and the last ones are kept.
func TestUnansweredCallsAreBounded(t *testing.T) {
	testHeldCalls(t, checkUnansweredCalls)
}

func checkUnansweredCalls(t *testing.T, _ *Client, calls chan *heldCall, _ chan policy.UpdateKind) {
	const made = 12
	var held []*heldCall
	for range made {
		held = append(held, waitCall(t, calls))
	}
	synctest.Wait()
	var open []int
	for i, call := range held {
		if call.request.Context().Err() == nil {
			open = append(open, i)
		}
	}
	if len(open) < 2 || len(open) > maxConnectionsPerHost || open[len(open)-1] != made-1 {
		t.Errorf("calls %v are open, want 2 to %d with the last one", open, maxConnectionsPerHost)
	}
}

// A service that has started anew answers with a lower generation than the one that it is asked for: its list
// is used.
func TestListOfARestartedServiceIsUsed(t *testing.T) {
	testHeldCalls(t, func(t *testing.T, _ *Client, calls chan *heldCall, updates chan policy.UpdateKind) {
		waitCall(t, calls).body <- `{"generation":1,"reset":true,` + oneServer
		if kind := testkit.Wait(t, updates, "an update"); kind != policy.UpdateSnapshot {
			t.Errorf("update %v, want the complete list", kind)
		}
	})
}

// The answer to the present call was written before that to an earlier one, and arrives after it.
func TestOvertakenAnswerIsNotUsed(t *testing.T) {
	testHeldCalls(t, func(t *testing.T, _ *Client, calls chan *heldCall, updates chan policy.UpdateKind) {
		late, next := waitCall(t, calls), waitCall(t, calls)
		late.body <- `{"generation":5,` + oneServer
		testkit.Wait(t, updates, "an update")
		next.body <- `{"generation":4,` + oneServer
		expectWatch(t, calls, "5")
		expectNoUpdate(t, updates)
	})
}
