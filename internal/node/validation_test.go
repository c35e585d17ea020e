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

func TestInvalidRequestsAreRejected(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	n, _ := startReady(t, b)
	for name, c := range map[string]struct {
		class  string
		change func(r *http.Request)
		status int
	}{
		"no id":          {"read", func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"two ids":        {"read", func(r *http.Request) { r.Header.Add("X-Request-ID", "b") }, 400},
		"bad id":         {"read", func(r *http.Request) { r.Header.Set("X-Request-ID", "a b") }, 400},
		"unknown class":  {"read", func(r *http.Request) { r.URL.Path = "/nosuch" }, 404},
		"no tenant":      {"read", func(r *http.Request) { r.Header.Del("X-Tenant-Id") }, 400},
		"unknown tenant": {"read", func(r *http.Request) { r.Header.Set("X-Tenant-Id", "nobody") }, 400},
		"no timeout":     {"read", func(r *http.Request) { r.Header.Del("X-Timeout-Ms") }, 400},
		"bad timeout":    {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "soon") }, 400},
		"negative time":  {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "-5") }, 400},
		"endless time":   {"read", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", strings.Repeat("9", 30)) }, 400},
		"wrong method":   {"read", func(r *http.Request) { r.Method = http.MethodPost }, 405},
		"keyed by GET":   {"push", func(r *http.Request) { r.Method = http.MethodGet }, 405},
		"no key":         {"push", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"unsafe, keyed":  {"pay", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") }, 400},
		"large body": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), maxBodyBytes+1
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			r := n.request(c.class)
			c.change(r)
			resp := n.do(r)
			if resp.status != c.status || resp.body == "" || len(resp.body) > 100 {
				t.Errorf("status %d, want %d; text %q", resp.status, c.status, resp.body)
			}
		})
	}
	n.wantNoneForwarded(b)
}

// wantNoneForwarded fails the test if a request has reached the server, or if a valid one is not served.
func (n *testNode) wantNoneForwarded(server *testkit.Backend) {
	n.t.Helper()
	if len(server.Requests) != 0 {
		n.t.Errorf("%d of the requests reached a server", len(server.Requests))
	}
	n.wantStatus("read", http.StatusOK)
}

// The ID of an active request names that one alone: a second request with it is rejected and
// the first goes on.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	server := newGatedBackend(t)
	n, _ := startReady(t, server.Backend)
	first := n.request("push")
	done := make(chan clientResponse, 1)
	go func() { done <- n.do(first) }()
	testkit.Wait(t, server.Requests, "the first one")
	second := n.request("read")
	second.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))

	if resp := n.do(second); resp.status != http.StatusConflict {
		t.Errorf("status %d", resp.status)
	}
	server.open()
	if resp := testkit.Wait(t, done, "the first response"); resp.status != http.StatusOK {
		t.Errorf("the first one got status %d", resp.status)
	}
	if len(server.Requests) != 0 {
		t.Error("the second one reached a server")
	}
	if resp := n.do(second); resp.status != http.StatusOK {
		t.Errorf("status %d once the ID is free", resp.status)
	}
}

// A message that can be read in two ways may hide a request from another proxy on the request path. A message that
// can't be read must not keep its connection open. Neither reaches a server, and the node still serves others.
func TestAmbiguousAndMalformedMessagesAreRejected(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.OK)
	n, _ := startReady(t, b)
	postHeader := func(class, fields string) string {
		return "POST /" + class + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Tenant-Id: acme\r\n" +
			"X-Timeout-Ms: 5000\r\n" + fields + "\r\n"
	}
	smuggled := "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: hidden\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 5000\r\n\r\n"
	chunkedBody := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
	for name, c := range map[string]struct {
		text string
		want []int // the statuses; the connection is closed then
	}{
		"both framing headers": {
			postHeader("pay", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunkedBody + smuggled,
			[]int{411},
		},
		"hidden by length 0": {
			postHeader("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + chunkedBody + smuggled,
			[]int{411},
		},
		"both, before others": {
			postHeader("pay", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + smuggled,
			[]int{411},
		},
		"chunked": {postHeader("pay", "Transfer-Encoding: chunked\r\n") + chunkedBody, []int{411}},
		"coding in HTTP/1.0": {
			strings.Replace(postHeader("pay",
				"Transfer-Encoding: chunked\r\nContent-Length: 0\r\nConnection: keep-alive\r\n"),
				"1.1", "1.0", 1) + smuggled,
			[]int{505},
		},
		"unknown coding": {postHeader("pay", "Transfer-Encoding: gzip, chunked\r\n") + chunkedBody, []int{501}},
		"two codings": {
			postHeader("pay", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + smuggled,
			[]int{501},
		},
		"health, both": {
			"GET /health/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" + chunkedBody,
			[]int{411},
		},
		"two lengths":          {postHeader("pay", "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab", []int{400}},
		"length no number":     {postHeader("pay", "Content-Length: two\r\n") + "ab", []int{400}},
		"negative length":      {postHeader("pay", "Content-Length: -2\r\n") + "ab", []int{400}},
		"endless length":       {postHeader("pay", "Content-Length: 99999999999999999999\r\n") + "ab", []int{400}},
		"huge length":          {postHeader("pay", "Content-Length: 3000000000\r\n") + "ab", []int{413}},
		"length over the body": {postHeader("pay", "Content-Length: 20\r\n") + "ab", []int{400}},
		"body not wanted": {
			strings.Replace(postHeader("read", "Content-Length: 20\r\n"), "POST", "GET", 1) + "ab",
			[]int{400},
		},
		"noise":            {"\x00\x01\x02\xff\r\n\r\n", []int{400}},
		"head without end": {"GET /read HTTP/1.1\r\nHost: x\r\nX-Filler: 1\r\n", nil},
		"endless line":     {"GET /read HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), []int{431}},
		"large body": {
			postHeader("pay", "Content-Length: 8000000\r\n") + strings.Repeat("x", 8000000),
			[]int{413},
		},
		"nothing": {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := &testNode{t: t, addr: n.addr}
			startTime := time.Now()
			got := n.rawStatuses(c.text)
			if !slices.Equal(got, c.want) {
				t.Errorf("statuses %v, want %v", got, c.want)
			}
			t.Logf("took %v", time.Since(startTime))
		})
	}
	t.Cleanup(func() { n.wantNoneForwarded(b) })
}

// The read of a response takes half of its class's latency objective at most. If the objective is short, an
// incomplete response would otherwise leave no time for the next attempt.
func TestResponseReadTimeoutLeavesTimeForARetry(t *testing.T) {
	for objective, want := range map[int]time.Duration{60: 30 * time.Millisecond, 2000: maxResponseReadTimeout} {
		cfg := testConfig(t, testkit.NewRegistry(t), withDeadlines(objective*4/3))
		parser := requestParser{cfg, newClock()}
		n := &testNode{t: t, addr: "x"}
		parsed, err := parser.parse(n.request("read"))
		if err != nil {
			t.Fatal(err)
		}
		if parsed.ResponseReadTimeout != want {
			t.Errorf("objective %d ms: %v, want %v", objective, parsed.ResponseReadTimeout, want)
		}
	}
}
