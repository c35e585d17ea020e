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

func TestMalformedRequestsAreRejected(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	n, _ := startReadyNode(t, b)
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
			r := n.newRequest(c.class)
			c.change(r)
			a := n.do(r)
			if a.status != c.status || a.body == "" || len(a.body) > 100 {
				t.Errorf("status %d, want %d; text %q", a.status, c.status, a.body)
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
	server := newBlockedBackend(t)
	n, _ := startReadyNode(t, server.Backend)
	first := n.newRequest("push")
	done := make(chan clientResponse, 1)
	go func() { done <- n.do(first) }()
	testkit.Wait(t, server.Requests, "the first one")
	second := n.newRequest("read")
	second.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))

	if a := n.do(second); a.status != http.StatusConflict {
		t.Errorf("status %d", a.status)
	}
	server.unblock()
	if a := testkit.Wait(t, done, "the first response"); a.status != http.StatusOK {
		t.Errorf("the first one got status %d", a.status)
	}
	if len(server.Requests) != 0 {
		t.Error("the second one reached a server")
	}
	if a := n.do(second); a.status != http.StatusOK {
		t.Errorf("status %d once the ID is free", a.status)
	}
}

// A message that can be read in two ways may hide a request from another proxy on the request path. A message that
// can't be read must not keep its connection open. Neither reaches a server, and the node still serves others.
func TestMalformedMessagesAreRejected(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.OK)
	n, _ := startReadyNode(t, b)
	head := func(class, more string) string {
		return "POST /" + class + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Tenant-Id: acme\r\n" +
			"X-Timeout-Ms: 5000\r\n" + more + "\r\n"
	}
	hidden := "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: hidden\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 5000\r\n\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for name, c := range map[string]struct {
		text string
		want []int // the statuses; the connection is closed then
	}{
		"both framing headers": {head("pay", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunks + hidden, []int{411}},
		"hidden by length 0":   {head("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + chunks + hidden, []int{411}},
		"both, before others":  {head("pay", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, []int{411}},
		"chunked":              {head("pay", "Transfer-Encoding: chunked\r\n") + chunks, []int{411}},
		"coding in HTTP/1.0":   {strings.Replace(head("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\nConnection: keep-alive\r\n"), "1.1", "1.0", 1) + hidden, []int{505}},
		"unknown coding":       {head("pay", "Transfer-Encoding: gzip, chunked\r\n") + chunks, []int{501}},
		"two codings":          {head("pay", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + hidden, []int{501}},
		"health, both":         {"GET /health/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" + chunks, []int{411}},
		"two lengths":          {head("pay", "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab", []int{400}},
		"length no number":     {head("pay", "Content-Length: two\r\n") + "ab", []int{400}},
		"negative length":      {head("pay", "Content-Length: -2\r\n") + "ab", []int{400}},
		"endless length":       {head("pay", "Content-Length: 99999999999999999999\r\n") + "ab", []int{400}},
		"huge length":          {head("pay", "Content-Length: 3000000000\r\n") + "ab", []int{413}},
		"length over the body": {head("pay", "Content-Length: 20\r\n") + "ab", []int{400}},
		"body not wanted":      {strings.Replace(head("read", "Content-Length: 20\r\n"), "POST", "GET", 1) + "ab", []int{400}},
		"noise":                {"\x00\x01\x02\xff\r\n\r\n", []int{400}},
		"head without end":     {"GET /read HTTP/1.1\r\nHost: x\r\nX-Filler: 1\r\n", nil},
		"endless line":         {"GET /read HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), []int{431}},
		"large body":           {head("pay", "Content-Length: 8000000\r\n") + strings.Repeat("x", 8000000), []int{413}},
		"nothing":              {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := &testNode{t: t, addr: n.addr}
			began := time.Now()
			got := n.sendRaw(c.text)
			if !slices.Equal(got, c.want) {
				t.Errorf("statuses %v, want %v", got, c.want)
			}
			t.Logf("took %v", time.Since(began))
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
		parsed, err := parser.parse(n.newRequest("read"))
		if err != nil {
			t.Fatal(err)
		}
		if parsed.ResponseReadTimeout != want {
			t.Errorf("objective %d ms: %v, want %v", objective, parsed.ResponseReadTimeout, want)
		}
	}
}
