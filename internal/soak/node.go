package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/soak/history"
	"calicohinge/internal/testkit"
)

// node is one node of a run. Its incarnations are processes that run one after another at the same address. They are
// started, signaled and shut down by one goroutine at a time.
type node struct {
	t         *testing.T
	name      string
	addr      string
	program   string
	settings  json.RawMessage
	discovery *discovery
	history   *history.History
	killDelay time.Duration // time from SIGTERM until shutDown kills the process

	process balancertest.Process
	clock   balancertest.WallClock
	known   endpointjson.List // the list in the configuration: the last one that the previous incarnation received

	mu                 sync.Mutex
	currentIncarnation *history.Incarnation
}

// config returns the configuration of the node. The parameter discovery is the address of the discovery service.
func (n *node) config(discovery string) map[string]any {
	config := map[string]any{
		"name": n.name, "listen": n.addr, "discovery": discovery, "settings": n.settings,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
	}
	if n.known.Generation > 0 {
		config["known"] = n.known
	}
	return config
}

// start starts an incarnation of the node: number 0 at the start of the run, number 1 after a restart of the node. The
// wall clock of the incarnation is ahead of the machine's by the given offset.
func (n *node) start(number int, ahead time.Duration) {
	n.t.Helper()
	n.clock = balancertest.NewWallClock(n.t, ahead)
	if previous := n.incarnation(); previous != nil {
		n.known = n.discovery.listOf(previous.LastDelivery())
	}
	next := &history.Incarnation{Name: fmt.Sprintf("%s.%d", n.name, number), StartedAt: time.Now()}
	// A client that connects to the process records this incarnation, so it is set before the process starts.
	n.mu.Lock()
	n.currentIncarnation = next
	n.mu.Unlock()
	options := balancertest.Options{Env: []string{n.clock.Env()}, OnLogLine: next.RecordLogLine}
	n.process = balancertest.StartWithOptions(n.t, options, n.config(n.discovery.newAddress(next)), n.program)
	testkit.Receive(n.t, n.process.Addr, "the log line with the address at which "+next.Name+" serves")
}

// incarnation returns the latest incarnation of the node.
func (n *node) incarnation() *history.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentIncarnation
}

// stepClock steps the wall clock of the node's process, so that it is ahead of the machine's by the given offset.
func (n *node) stepClock(ahead time.Duration) { n.clock.SetOffset(n.t, n.process.PID, ahead) }

// reload writes a new address of the discovery service to the node's configuration file and sends SIGHUP.
func (n *node) reload() {
	current := n.incarnation()
	text, err := json.Marshal(n.config(n.discovery.newAddress(current)))
	if err != nil {
		n.t.Errorf("marshal the configuration of %s: %v", current.Name, err)
		return
	}
	n.process.ConfigFile.Replace(n.t, text)
	current.RecordReload()
	balancertest.Signal(n.t, n.process.PID, syscall.SIGHUP)
}

// pause stops the node's process for the longest pause that the operators' contract allows.
func (n *node) pause() {
	const longest = 120 * time.Millisecond
	balancertest.Signal(n.t, n.process.PID, syscall.SIGSTOP)
	time.Sleep(longest)
	balancertest.Signal(n.t, n.process.PID, syscall.SIGCONT)
}

// shutDown shuts the node down by SIGTERM, followed by further signals. If the process is still running after
// killDelay, the shortest delay that the operators' contract allows, shutDown kills it and records a violation.
func (n *node) shutDown(signals []syscall.Signal) {
	const signalInterval = 40 * time.Millisecond
	current := n.incarnation()
	current.RecordSIGTERM()
	kill := time.After(n.killDelay)
	for _, signal := range append([]syscall.Signal{syscall.SIGTERM}, signals...) {
		balancertest.Signal(n.t, n.process.PID, signal)
		time.Sleep(signalInterval)
	}
	select {
	case err := <-n.process.Exited:
		if err != nil {
			n.history.RecordViolationf("crash", current, "process exited after SIGTERM with %q, want exit code 0", err)
		}
	case <-kill:
		balancertest.Signal(n.t, n.process.PID, syscall.SIGKILL)
		n.history.RecordViolationf("shutdown", current, "process was still running %v after SIGTERM, want its exit by then",
			n.killDelay)
	}
}
