package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/soak/history"
	"calicohinge/internal/testkit"
)

// node is one node of a run. Its processes run one after the other at the same address. At any time only one
// goroutine starts, signals and ends them.
type node struct {
	t         *testing.T
	name      string
	addr      string
	program   string
	settings  json.RawMessage
	discovery *discovery
	history   *history.History
	killDelay time.Duration // from SIGTERM to SIGKILL

	process balancertest.Process
	clock   balancertest.WallClock

	mu                 sync.Mutex
	currentIncarnation *history.Incarnation
}

// config returns the configuration of the node with an address of the discovery service.
func (n *node) config(discovery string) map[string]any {
	return map[string]any{
		"name": n.name, "listen": n.addr, "discovery": discovery, "settings": n.settings,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
	}
}

// start starts a process of the node, the first or, after a restart, the second, on a machine whose wall
// clock is ahead.
func (n *node) start(number int, ahead time.Duration) {
	n.t.Helper()
	n.clock = balancertest.NewWallClock(n.t, ahead)
	next := &history.Incarnation{Name: fmt.Sprintf("%s.%d", n.name, number), StartedAt: time.Now()}
	n.mu.Lock()
	n.currentIncarnation = next // before a client can connect to it
	n.mu.Unlock()
	options := balancertest.Options{Environment: []string{n.clock.Environment()}, Logged: next.RecordLogLine}
	n.process = balancertest.StartWith(n.t, options, n.config(n.discovery.newAddress(next)), n.program)
	testkit.Wait(n.t, n.process.Addr, "the process of "+next.Name)
}

// incarnation returns the process that serves at the node's address.
func (n *node) incarnation() *history.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentIncarnation
}

// stepClock steps the wall clock of the node's machine.
func (n *node) stepClock(ahead time.Duration) { n.clock.Step(n.t, n.process.PID, ahead) }

// reload gives the node a new address of the discovery service.
func (n *node) reload() {
	current := n.incarnation()
	text, err := json.Marshal(n.config(n.discovery.newAddress(current)))
	if err != nil {
		n.t.Error(err)
		return
	}
	n.process.ConfigFile.Replace(n.t, text)
	current.RecordReload()
	balancertest.Signal(n.t, n.process.PID, syscall.SIGHUP)
}

// pause stops the node for as long as the operators' terms allow.
func (n *node) pause() {
	const longest = 120 * time.Millisecond
	balancertest.Signal(n.t, n.process.PID, syscall.SIGSTOP)
	time.Sleep(longest)
	balancertest.Signal(n.t, n.process.PID, syscall.SIGCONT)
}

// terminate shuts the node down by SIGTERM, followed by further signals. It kills the process as early as the
// operators' terms allow; a process that has not exited by then breaks a rule.
func (n *node) terminate(signals []syscall.Signal) {
	const signalInterval = 40 * time.Millisecond
	current := n.incarnation()
	current.RecordTermination()
	kill := time.After(n.killDelay)
	for _, signal := range append([]syscall.Signal{syscall.SIGTERM}, signals...) {
		balancertest.Signal(n.t, n.process.PID, signal)
		time.Sleep(signalInterval)
	}
	select {
	case err := <-n.process.Exited:
		if err != nil {
			n.history.RecordViolationf("crash", current, "exited with %v", err)
		}
	case <-kill:
		balancertest.Signal(n.t, n.process.PID, syscall.SIGKILL)
		n.history.RecordViolationf("shutdown", current, "had to be killed %v after SIGTERM", n.killDelay)
	}
}
