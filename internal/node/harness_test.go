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
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

const settingsText = `{
	"Accounts": [{"Name": "acme", "QuotaPerS": 1000}],
	"Classes": [
		{"Name": "read", "Effect": "pure", "DeadlineMs": 8000, "PromiseMs": 6000, "Importance": 1},
		{"Name": "push", "Effect": "token", "DedupScope": "all", "KeyTtlMs": 20000, "DeadlineMs": 8000, "PromiseMs": 6000},
		{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 8000, "PromiseMs": 6000}],
	"Limits": {"Cancel": true, "ConnIdleMs": 15000, "ConnectTimeoutMs": 2000, "MaxAttempts": 3,
		"MaxRetryAfterMs": 600, "RetryAfter": true, "SecondCopies": true},
	"RegistryMode": "pushed", "TickMs": 5, "Zones": ["a"], "Novel": {"x": 1}}`

// testConfig returns a configuration as read from a file, which change may alter.
func testConfig(t *testing.T, d *testkit.Registry, change func(file map[string]any)) *config.Config {
	t.Helper()
	file := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": d.Listener.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"settings": json.RawMessage(settingsText), "novel": true,
	}
	if change != nil {
		change(file)
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": path}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// withDeadlines replaces the deadlines of all classes.
func withDeadlines(ms int) func(file map[string]any) {
	return func(file map[string]any) {
		text := strings.ReplaceAll(settingsText, `"DeadlineMs": 8000, "PromiseMs": 6000`,
			fmt.Sprintf(`"DeadlineMs": %d, "PromiseMs": %d`, ms, ms*3/4))
		file["settings"] = json.RawMessage(text)
	}
}

// largeFleetConfig is the configuration of a node among many with a discovery that is polled seldom.
func largeFleetConfig(discovery string) func(file map[string]any) {
	return func(file map[string]any) {
		file["discovery"] = discovery
		text := strings.Replace(settingsText, "pushed", "on_request", 1)
		file["settings"] = testkit.JSON(strings.Replace(text, `"Limits"`,
			`"Balancers": 650, "Me": 649, "Contract": {"MustAskInMs": 30000}, "Limits"`, 1))
	}
}

// testNode is a node that serves.
type testNode struct {
	t    *testing.T
	node *Node
	addr string
	stop context.CancelFunc
	done chan error // gets what Run returned

	lastID atomic.Int64 // of the requests made
}

func start(t *testing.T, cfg *config.Config) *testNode {
	t.Helper()
	n, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testNode{t: t, node: n, addr: n.Addr().String(), stop: cancel, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() { r.done <- n.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(testkit.WaitTimeout):
			t.Error("the node does not stop")
		}
	})
	return r
}

// startReady starts a node before the given servers and waits until it is ready.
func startReady(t *testing.T, backends ...*testkit.Backend) (*testNode, *testkit.Registry) {
	t.Helper()
	var list []endpointjson.Endpoint
	for i, b := range backends {
		list = append(list, b.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	d := testkit.NewRegistry(t, list...)
	n := start(t, testConfig(t, d, nil))
	n.waitReady(http.StatusOK)
	return n, d
}

// startWithFewSockets starts a node with 20 client connections and a reserve of 2.
func startWithFewSockets(t *testing.T, b *testkit.Backend) *testNode {
	d := testkit.NewRegistry(t, b.Endpoint("s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 64}
	}))
	n.waitReady(http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
	return n
}

func (n *testNode) waitReady(status int) {
	n.t.Helper()
	for end := time.Now().Add(testkit.WaitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		resp, err := http.Get("http://" + n.addr + "/health/ready")
		if err != nil {
			continue
		}
		closeConn(resp.Body)
		if resp.StatusCode == status {
			return
		}
	}
	n.t.Fatalf("readiness never became %d", status)
}

// request makes a valid request of a class.
func (n *testNode) request(class string) *http.Request {
	id := fmt.Sprintf("%016x", n.lastID.Add(1))
	method, body := http.MethodPost, []byte(`{"x":1}`)
	if class == "read" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequest(method, "http://"+n.addr+"/"+class+"?obj=7f3a%2F9c&z", bytes.NewReader(body))
	if err != nil {
		n.t.Fatal(err)
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Tenant-Id", "acme")
	r.Header.Set("X-Timeout-Ms", "8000")
	if class == "push" {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

// clientResponse is a response that was read to its end.
type clientResponse struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

func (n *testNode) do(r *http.Request) clientResponse {
	n.t.Helper()
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		n.t.Fatalf("no response: %v", err)
	}
	defer closeConn(resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatalf("response cut off: %v", err)
	}
	return clientResponse{resp.StatusCode, resp.Header, string(body), time.Since(began)}
}

// discoveryModes are the ways to follow the endpoint list, as the settings name them.
func discoveryModes() []string { return []string{"pushed", "on_request"} }

// settingsWith returns the settings with a discovery mode.
func settingsWith(mode string) testkit.JSON {
	return testkit.JSON(strings.Replace(settingsText, "pushed", mode, 1))
}

// startScripted starts a node before a discovery service whose calls the test answers. change
// may alter its configuration.
func startScripted(t *testing.T, mode string, change func(file map[string]any)) (*testNode, *testkit.ScriptedDiscovery) {
	t.Helper()
	scripted := testkit.NewScriptedDiscovery(t)
	n := start(t, testConfig(t, testkit.NewRegistry(t), func(file map[string]any) {
		file["discovery"] = scripted.Address
		file["settings"] = settingsWith(mode)
		if change != nil {
			change(file)
		}
	}))
	return n, scripted
}

// listText returns an endpoint list as discovery sends it.
func listText(t *testing.T, list endpointjson.List) string {
	t.Helper()
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// draining returns an endpoint as one that drains.
func draining(e endpointjson.Endpoint) endpointjson.Endpoint {
	e.Lifecycle = "Terminating"
	return e
}

// queryStarts fails the test if a call's query does not start as wanted; "" wants an empty one.
func queryStarts(t *testing.T, call *http.Request, want string) {
	t.Helper()
	query := call.URL.RawQuery
	if !strings.HasPrefix(query, want) || want == "" && query != "" {
		t.Errorf("query %q, want one that starts with %q", query, want)
	}
}

// firstRequestFails returns two servers of which the first to get a request runs fail.
func firstRequestFails(t *testing.T, fail http.HandlerFunc) []*testkit.Backend {
	var met atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if met.CompareAndSwap(false, true) {
			fail(w, r)
			return
		}
		testkit.OK(w, r)
	}
	return []*testkit.Backend{testkit.NewBackend(t, handle), testkit.NewBackend(t, handle)}
}
