package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

// soakNode is a node with all processes that it has in a run, one after the other at the same address. One
// goroutine starts, signals and ends them.
type soakNode struct {
	t         *testing.T
	name      string
	addr      string
	program   string
	settings  testkit.JSON
	discovery *soakDiscovery
	records   *soakRecords
	killAfter time.Duration // after SIGTERM

	mu      sync.Mutex
	current *soakIncarnation
}

// soakIncarnation is one process of a node.
type soakIncarnation struct {
	name      string
	startedAt time.Time
	process   balancertest.Process
	clock     balancertest.WallClock

	mu           sync.Mutex
	deliveries   []soakDelivery // lists that discovery has answered with
	hangups      []time.Time    // SIGHUPs
	terminatedAt time.Time      // SIGTERM; zero: not yet
	log          []string
}

// soakDelivery is a list that discovery wrote to a node.
type soakDelivery struct {
	generation uint64
	at         time.Time
}

// delivered records that a list is being written to the node.
func (i *soakIncarnation) delivered(generation uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.deliveries = append(i.deliveries, soakDelivery{generation, time.Now()})
}

func (i *soakIncarnation) logged(line string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.log = append(i.log, line)
}

// wasTerminated reports whether the process was told to end.
func (i *soakIncarnation) wasTerminated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.terminatedAt.IsZero()
}

// config returns the configuration of the node with an address of discovery.
func (n *soakNode) config(discovery string) map[string]any {
	return map[string]any{
		"name": n.name, "listen": n.addr, "discovery": discovery, "settings": n.settings,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
	}
}

// start starts a process of the node on a machine whose wall clock is ahead.
func (n *soakNode) start(number int, ahead time.Duration) {
	n.t.Helper()
	next := &soakIncarnation{name: fmt.Sprintf("%s.%d", n.name, number), clock: balancertest.NewWallClock(n.t, ahead), startedAt: time.Now()}
	n.mu.Lock()
	n.current = next // before a client can connect to it
	n.mu.Unlock()
	options := balancertest.Options{Environment: []string{next.clock.Environment()}, Logged: next.logged}
	next.process = balancertest.StartWith(n.t, options, n.config(n.discovery.address(next)), n.program)
	testkit.Wait(n.t, next.process.Addr, "the process of "+next.name)
}

// incarnation returns the process that the node's address leads to.
func (n *soakNode) incarnation() *soakIncarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// stepClock steps the wall clock of the node's machine.
func (n *soakNode) stepClock(ahead time.Duration) {
	current := n.incarnation()
	current.clock.Step(n.t, current.process.PID, ahead)
}

// hangUp gives the node a new address of discovery.
func (n *soakNode) hangUp() {
	current := n.incarnation()
	text, err := json.Marshal(n.config(n.discovery.address(current)))
	if err != nil {
		n.t.Error(err)
		return
	}
	current.process.ConfigFile.Replace(n.t, text)
	current.mu.Lock()
	current.hangups = append(current.hangups, time.Now())
	current.mu.Unlock()
	balancertest.Signal(n.t, current.process.PID, syscall.SIGHUP)
}

// holdUp stops the node for as long as the operators' terms allow.
func (n *soakNode) holdUp() {
	const longest = 120 * time.Millisecond
	pid := n.incarnation().process.PID
	balancertest.Signal(n.t, pid, syscall.SIGSTOP)
	time.Sleep(longest)
	balancertest.Signal(n.t, pid, syscall.SIGCONT)
}

// terminate tells the node to end, by a series of signals, and kills it as early as the operators' terms
// allow. The process has to have ended by then.
func (n *soakNode) terminate(signals []syscall.Signal) {
	const signalInterval = 40 * time.Millisecond
	current := n.incarnation()
	current.mu.Lock()
	current.terminatedAt = time.Now()
	current.mu.Unlock()
	kill := time.After(n.killAfter)
	for _, signal := range append([]syscall.Signal{syscall.SIGTERM}, signals...) {
		balancertest.Signal(n.t, current.process.PID, signal)
		time.Sleep(signalInterval)
	}
	select {
	case err := <-current.process.Exited:
		if err != nil {
			n.records.violate("crash", current, "ended with %v", err)
		}
	case <-kill:
		balancertest.Signal(n.t, current.process.PID, syscall.SIGKILL)
		n.records.violate("shutdown", current, "had to be killed %v after SIGTERM", n.killAfter)
	}
}

// soakSettings are the settings of a run that its checks need.
type soakSettings struct {
	mode             string // of discovery
	classes          []soakClass
	drainGrace       time.Duration
	slowStartShare   float64
	slowStart        time.Duration
	overloadMultiple float64
	overloadWindow   time.Duration
	hedging          bool
}

// json returns the settings of one of the nodes as the operators write them.
func (s *soakSettings) json(t *testing.T, node, nodes int) testkit.JSON {
	t.Helper()
	var classes []map[string]any
	for _, c := range s.classes {
		class := map[string]any{
			"Name": c.name, "Effect": c.effect, "DeadlineMs": c.deadline.Milliseconds(),
			"PromiseMs": c.deadline.Milliseconds() / 2, "Importance": 1, "DedupScope": "all",
		}
		if c.keyRetention > 0 {
			class["KeyTtlMs"] = c.keyRetention.Milliseconds()
		}
		classes = append(classes, class)
	}
	settings := map[string]any{
		"Classes": classes, "Zones": []string{"a"}, "RegistryMode": s.mode, "Balancers": nodes, "Me": node,
		"Contract": map[string]any{
			"DrainGraceMs": s.drainGrace.Milliseconds(), "ColdFrom": s.slowStartShare, "ColdMs": s.slowStart.Milliseconds(),
			"FallMultiple": s.overloadMultiple, "FallMs": s.overloadWindow.Milliseconds(),
		},
		"Limits": map[string]any{
			"Cancel": true, "ConnIdleMs": 4000, "ConnectTimeoutMs": 150, "MaxAttempts": 4,
			"MaxRetryAfterMs": 500, "RetryAfter": true, "SecondCopies": s.hedging,
		},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return testkit.JSON(text)
}

// longestDeadline returns that of the classes, of which 3 s count at most.
func (s *soakSettings) longestDeadline() (longest time.Duration) {
	const most = 3 * time.Second
	for _, c := range s.classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, most)
}

// lastLines returns the end of a process's log.
func (i *soakIncarnation) lastLines(count int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return strings.Join(i.log[max(0, len(i.log)-count):], "\n")
}
