package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// settingsJSON is the "settings" object of the configuration file in most tests. It contains an unknown setting, Novel,
// which the node must ignore.
const settingsJSON = `{
	"Accounts": [{"Name": "acme", "QuotaPerS": 1000}],
	"Classes": [
		{"Name": "read", "Effect": "pure", "DeadlineMs": 8000, "PromiseMs": 6000, "Importance": 1},
		{"Name": "push", "Effect": "token", "DedupScope": "all", "KeyTtlMs": 20000, "DeadlineMs": 8000, "PromiseMs": 6000},
		{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 8000, "PromiseMs": 6000}],
	"Limits": {"Cancel": true, "ConnIdleMs": 15000, "ConnectTimeoutMs": 2000, "MaxAttempts": 3,
		"MaxRetryAfterMs": 600, "RetryAfter": true, "SecondCopies": true},
	"RegistryMode": "pushed", "TickMs": 5, "Zones": ["a"], "Novel": {"x": 1}}`

// Indexes of the classes in settingsJSON.
const (
	classRead = iota // requests are idempotent
	classPush        // requests are idempotent with a key
	classPay         // requests are not idempotent
)

// classNames returns the names of the classes in the order of their indexes.
func classNames() []string { return []string{classRead: "read", classPush: "push", classPay: "pay"} }

// testConfig writes a configuration file for a node that uses the given discovery service, and loads it. The function
// change, unless it is nil, alters the content of the file first.
func testConfig(t *testing.T, discovery *testkit.FakeDiscovery, change func(file map[string]any)) *config.Config {
	t.Helper()
	file := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.Listener.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"settings": json.RawMessage(settingsJSON), "novel": true,
	}
	if change != nil {
		change(file)
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatalf("json.Marshal(%v): %v", file, err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": path}[name]
	})
	if err != nil {
		t.Fatalf("config.Load of %s: %v", text, err)
	}
	return cfg
}

// withDeadlines returns a change to the configuration that sets the deadline of all classes, and their latency
// objective to three quarters of the deadline.
func withDeadlines(ms int) func(file map[string]any) { return withDeadlinesAndObjectives(ms, ms*3/4) }

// withDeadlinesAndObjectives returns a change to the configuration that sets the deadline and the latency objective of
// all classes.
func withDeadlinesAndObjectives(deadlineMs, objectiveMs int) func(file map[string]any) {
	return func(file map[string]any) {
		text := strings.ReplaceAll(settingsJSON, `"DeadlineMs": 8000, "PromiseMs": 6000`,
			fmt.Sprintf(`"DeadlineMs": %d, "PromiseMs": %d`, deadlineMs, objectiveMs))
		file["settings"] = json.RawMessage(text)
	}
}

// testNode is a node that serves clients at addr. In a testHandler, the fields node, stop and runResult are not set.
type testNode struct {
	t         *testing.T
	node      *Node
	addr      string
	stop      context.CancelFunc
	runResult chan error // receives the result of Run

	lastID atomic.Int64 // ID of the latest request that newRequest has made
}

// startNode starts a node and stops it at the end of the test.
func startNode(t *testing.T, cfg *config.Config) *testNode {
	t.Helper()
	n, err := Listen(cfg)
	if err != nil {
		t.Fatalf("Listen with address %q: %v", cfg.Listen, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &testNode{t: t, node: n, addr: n.Addr().String(), stop: cancel, runResult: make(chan error, 1)}
	ended := make(chan struct{})
	go func() { running.runResult <- n.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(testkit.WaitTimeout):
			t.Errorf("Run has not returned %v after its context was cancelled", testkit.WaitTimeout)
		}
	})
	return running
}

// startReadyNode starts a node whose endpoint list contains the given servers, and waits until the node is ready.
func startReadyNode(t *testing.T, servers ...*testkit.RecordingServer) (*testNode, *testkit.FakeDiscovery) {
	t.Helper()
	var list []endpointjson.Endpoint
	for i, server := range servers {
		list = append(list, server.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	discovery := testkit.NewFakeDiscovery(t, list...)
	n := startNode(t, testConfig(t, discovery, nil))
	n.awaitReadiness(http.StatusOK)
	return n, discovery
}

// startReadyNodeWithConfig is startReadyNode with one server and a change to the configuration, which may be nil.
func startReadyNodeWithConfig(t *testing.T, server endpointjson.Endpoint, change func(file map[string]any)) *testNode {
	t.Helper()
	n := startNode(t, testConfig(t, testkit.NewFakeDiscovery(t, server), change))
	n.awaitReadiness(http.StatusOK)
	return n
}

// fewSockets is the smallest number of sockets that a configuration may have. It permits 20 client connections and
// a reserve of 2 more, whose requests are rejected.
const fewSockets = 64

// startNodeWithFewSockets starts a node with few sockets. It closes the connections that the readiness check has left
// idle, so that the test can use all client connections.
func startNodeWithFewSockets(t *testing.T, server endpointjson.Endpoint) *testNode {
	t.Helper()
	n := startReadyNodeWithConfig(t, server, func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": fewSockets}
	})
	http.DefaultClient.CloseIdleConnections()
	return n
}

// awaitReadiness waits until the readiness check returns the given status.
func (n *testNode) awaitReadiness(status int) {
	n.t.Helper()
	var last string
	for end := time.Now().Add(testkit.WaitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		resp, err := http.Get("http://" + n.addr + "/health/ready")
		if err != nil {
			last = err.Error()
			continue
		}
		closeQuietly(resp.Body)
		if resp.StatusCode == status {
			return
		}
		last = resp.Status
	}
	n.t.Fatalf("GET /health/ready: last result %q, want status %d within %v", last, status, testkit.WaitTimeout)
}

// awaitExit waits until Run returns, and fails the test if it returns an error.
func (n *testNode) awaitExit() {
	n.t.Helper()
	if err := testkit.Receive(n.t, n.runResult, "Run to return"); err != nil {
		n.t.Errorf("Run() = %v, want nil", err)
	}
}

// newRequest returns a new valid request of a class.
func (n *testNode) newRequest(class string) *http.Request {
	id := fmt.Sprintf("%016x", n.lastID.Add(1))
	method, body := http.MethodPost, []byte(`{"x":1}`)
	if class == "read" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequest(method, "http://"+n.addr+"/"+class+"?obj=7f3a%2F9c&z", bytes.NewReader(body))
	if err != nil {
		n.t.Fatalf("http.NewRequest for class %s: %v", class, err)
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Tenant-Id", "acme")
	r.Header.Set("X-Timeout-Ms", "8000")
	if class == "push" {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

// clientResponse is a response that has been read completely.
type clientResponse struct {
	status  int
	header  http.Header
	body    string
	elapsed time.Duration // from the start of the request to the end of the response
}

// do sends a request with the default HTTP client and reads the complete response.
func (n *testNode) do(r *http.Request) clientResponse {
	n.t.Helper()
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		n.t.Fatalf("sending a request and reading the response header: %v", err)
	}
	defer closeQuietly(resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatalf("reading the response body of %s %s: error %v after %d bytes", r.Method, r.URL, err, len(body))
	}
	return clientResponse{resp.StatusCode, resp.Header, string(body), time.Since(began)}
}

// wantStatus sends a request of a class and fails the test unless the response has the wanted status.
func (n *testNode) wantStatus(class string, want int) {
	n.t.Helper()
	if got := n.do(n.newRequest(class)).status; got != want {
		n.t.Errorf("request of class %s: status %d, want %d", class, got, want)
	}
}

// blockedServer is a server that does not respond until unblock is called.
type blockedServer struct {
	*testkit.RecordingServer
	unblock func()
}

// newBlockedServer starts a blockedServer, which is unblocked at the end of the test at the latest.
func newBlockedServer(t *testing.T) *blockedServer {
	t.Helper()
	gate := make(chan struct{})
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-gate
		testkit.OK(w, r)
	})
	open := sync.OnceFunc(func() { close(gate) })
	t.Cleanup(open)
	return &blockedServer{server, open}
}

// newServersFailingFirst starts two servers. The first request that reaches either server is handled by fail. All
// other requests get status 200.
func newServersFailingFirst(t *testing.T, fail http.HandlerFunc) []*testkit.RecordingServer {
	t.Helper()
	var failed atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if failed.CompareAndSwap(false, true) {
			fail(w, r)
			return
		}
		testkit.OK(w, r)
	}
	return []*testkit.RecordingServer{testkit.NewRecordingServer(t, handle), testkit.NewRecordingServer(t, handle)}
}

// takeRequests removes and returns the requests that the servers have recorded.
func takeRequests(servers ...*testkit.RecordingServer) []*http.Request {
	var requests []*http.Request
	for _, server := range servers {
		for len(server.Requests) > 0 {
			requests = append(requests, <-server.Requests)
		}
	}
	return requests
}

// wantSameHeaders fails the test if one of the named header fields differs between the request that the client sent and
// the request that the server received.
func wantSameHeaders(t *testing.T, sent, got *http.Request, names ...string) {
	t.Helper()
	for _, name := range names {
		if got.Header.Get(name) != sent.Header.Get(name) {
			t.Errorf("header %s: the server received %q, want %q as sent", name, got.Header.Get(name), sent.Header.Get(name))
		}
	}
}
