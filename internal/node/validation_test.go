package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// A request that violates the rules for its class or header fields is rejected with a short reason in the body, and is
// not forwarded.
func TestInvalidRequestsAreRejected(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	n, _ := startReadyNode(t, server)
	for name, c := range map[string]struct {
		class  string
		change func(r *http.Request)
		status int
	}{
		"no request ID":        {"read", func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"two request IDs":      {"read", func(r *http.Request) { r.Header.Add("X-Request-ID", "b") }, 400},
		"space in request ID":  {"read", func(r *http.Request) { r.Header.Set("X-Request-ID", "a b") }, 400},
		"unknown class":        {"read", func(r *http.Request) { r.URL.Path = "/nosuch" }, 404},
		"no tenant":            {"read", func(r *http.Request) { r.Header.Del("X-Tenant-Id") }, 400},
		"unknown tenant":       {"read", func(r *http.Request) { r.Header.Set("X-Tenant-Id", "nobody") }, 400},
		"no timeout":           {"read", func(r *http.Request) { r.Header.Del("X-Timeout-Ms") }, 400},
		"timeout not a number": {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "soon") }, 400},
		"negative timeout":     {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "-5") }, 400},
		"timeout out of range": {"read", func(r *http.Request) {
			r.Header.Set("X-Timeout-Ms", strings.Repeat("9", 30))
		}, 400},
		"POST for an idempotent class":          {"read", func(r *http.Request) { r.Method = http.MethodPost }, 405},
		"GET for a class with idempotency keys": {"push", func(r *http.Request) { r.Method = http.MethodGet }, 405},
		"no idempotency key":                    {"push", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"key for a non-idempotent class":        {"pay", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") }, 400},
		"body too large": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), maxBodyBytes+1
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			r := n.newRequest(c.class)
			c.change(r)
			resp := n.do(r)
			if resp.status != c.status || resp.body == "" || len(resp.body) > 100 {
				t.Errorf("request of class %s: status %d, want %d; body %q, want 1 to 100 bytes",
					c.class, resp.status, c.status, resp.body)
			}
		})
	}
	n.wantNoneForwarded(server)
}

// wantNoneForwarded fails the test if the server has received a request, or if the node does not serve a valid request.
func (n *testNode) wantNoneForwarded(server *testkit.RecordingServer) {
	n.t.Helper()
	if len(server.Requests) != 0 {
		n.t.Errorf("requests that the server received: got %d, want 0", len(server.Requests))
	}
	n.wantStatus("read", http.StatusOK)
}

// A request with the X-Request-ID of an active request is rejected, and the active request is not affected. The ID may
// be used again once the active request has completed.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	server := newBlockedServer(t)
	n, _ := startReadyNode(t, server.RecordingServer)
	first := n.newRequest("push")
	done := make(chan clientResponse, 1)
	go func() { done <- n.do(first) }()
	testkit.Receive(t, server.Requests, "the server to receive the first request")
	second := n.newRequest("read")
	second.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))

	if resp := n.do(second); resp.status != http.StatusConflict {
		t.Errorf("request with the ID of an active request: status %d, want 409", resp.status)
	}
	server.unblock()
	if resp := testkit.Receive(t, done, "the response to the first request"); resp.status != http.StatusOK {
		t.Errorf("first request: status %d, want 200", resp.status)
	}
	if len(server.Requests) != 0 {
		t.Errorf("further requests that the server received: got %d, want 0", len(server.Requests))
	}
	if resp := n.do(second); resp.status != http.StatusOK {
		t.Errorf("request with the ID of a completed request: status %d, want 200", resp.status)
	}
}

// A message with ambiguous framing could smuggle a request past another proxy on the request path. A malformed message
// must not keep its connection open. The node forwards neither kind, closes the connection and still serves other
// clients.
func TestAmbiguousAndMalformedMessagesAreRejected(t *testing.T) {
	t.Parallel()
	server := testkit.NewRecordingServer(t, testkit.OK)
	n, _ := startReadyNode(t, server)
	postHeader := func(class, fields string) string {
		return "POST /" + class + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Tenant-Id: acme\r\n" +
			"X-Timeout-Ms: 5000\r\n" + fields + "\r\n"
	}
	smuggled := "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: smuggled\r\nX-Tenant-Id: acme\r\n" +
		"X-Timeout-Ms: 5000\r\n\r\n"
	chunkedBody := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
	for name, c := range map[string]struct {
		text string
		want []int // statuses of all responses before the node closes the connection
	}{
		"length and coding": {
			postHeader("pay", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunkedBody + smuggled,
			[]int{411},
		},
		"coding and length 0": {
			postHeader("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + chunkedBody + smuggled,
			[]int{411},
		},
		"length and coding, empty chunked body": {
			postHeader("pay", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + smuggled,
			[]int{411},
		},
		"chunked": {postHeader("pay", "Transfer-Encoding: chunked\r\n") + chunkedBody, []int{411}},
		"coding and length in HTTP/1.0": {
			strings.Replace(postHeader("pay",
				"Transfer-Encoding: chunked\r\nContent-Length: 0\r\nConnection: keep-alive\r\n"),
				"1.1", "1.0", 1) + smuggled,
			[]int{505},
		},
		"unsupported coding": {postHeader("pay", "Transfer-Encoding: gzip, chunked\r\n") + chunkedBody, []int{501}},
		"two codings": {
			postHeader("pay", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + smuggled,
			[]int{501},
		},
		"health check with length and coding": {
			"GET /health/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" + chunkedBody,
			[]int{411},
		},
		"two different lengths":        {postHeader("pay", "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab", []int{400}},
		"length not a number":          {postHeader("pay", "Content-Length: two\r\n") + "ab", []int{400}},
		"negative length":              {postHeader("pay", "Content-Length: -2\r\n") + "ab", []int{400}},
		"length out of range":          {postHeader("pay", "Content-Length: 99999999999999999999\r\n") + "ab", []int{400}},
		"length over the limit":        {postHeader("pay", "Content-Length: 3000000000\r\n") + "ab", []int{413}},
		"body shorter than its length": {postHeader("pay", "Content-Length: 20\r\n") + "ab", []int{400}},
		"body for a class that takes none": {
			strings.Replace(postHeader("read", "Content-Length: 20\r\n"), "POST", "GET", 1) + "ab",
			[]int{400},
		},
		"binary data":           {"\x00\x01\x02\xff\r\n\r\n", []int{400}},
		"incomplete header":     {"GET /read HTTP/1.1\r\nHost: x\r\nX-Filler: 1\r\n", nil},
		"header over the limit": {"GET /read HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), []int{431}},
		"body over the limit": {
			postHeader("pay", "Content-Length: 8000000\r\n") + strings.Repeat("x", 8000000),
			[]int{413},
		},
		"no bytes": {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := &testNode{t: t, addr: n.addr}
			startTime := time.Now()
			got := n.sendRaw(c.text)
			if !slices.Equal(got, c.want) {
				t.Errorf("statuses of the responses: got %v, want %v", got, c.want)
			}
			t.Logf("the node closed the connection after %v", time.Since(startTime))
		})
	}
	t.Cleanup(func() { n.wantNoneForwarded(server) })
}

// The response read timeout must not exceed half of the latency objective. With a short objective, a response that
// never ends would otherwise leave no time for a retry.
func TestResponseReadTimeoutLeavesTimeForARetry(t *testing.T) {
	for objective, want := range map[int]time.Duration{60: 30 * time.Millisecond, 2000: maxResponseReadTimeout} {
		cfg := testConfig(t, testkit.NewFakeDiscovery(t), withDeadlines(objective*4/3))
		parser := requestParser{cfg: cfg, clock: newClock()}
		n := &testNode{t: t, addr: "x"}
		parsed, err := parser.parse(n.newRequest("read"))
		if err != nil {
			t.Fatalf("latency objective %d ms: parse returned error %v", objective, err)
		}
		if parsed.ResponseReadTimeout != want {
			t.Errorf("latency objective %d ms: ResponseReadTimeout %v, want %v",
				objective, parsed.ResponseReadTimeout, want)
		}
	}
}
