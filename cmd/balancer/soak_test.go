package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// The flags of the soak.
const (
	soakRunsFlag = "soak-runs"
	soakSeedFlag = "soak-seed"
)

// Real processes under faults that a seed draws: wall clocks that are wrong and stepped, a discovery
// service that is away or slow, SIGHUPs in series, servers that drain, go, come back and hang, nodes that
// are held up and restarted; clients send on open connections until the kill. Every rule is checked from
// what clients, servers and discovery saw. A seed that fails is played again with -soak-seed.
func TestSoak(t *testing.T) {
	program := balancertest.BuildSteppable(t)
	first := flagValue[int](soakSeedFlag)
	for seed := first; seed < first+flagValue[int](soakRunsFlag); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			run := newSoakRun(t, program, uint64(seed))
			run.play()
			run.checkAttempts()
			run.checkSlowStart()
			run.report(t)
		})
	}
}

const (
	soakDuration   = 16 * time.Second // until all nodes are told to end
	soakServers    = 6                // from the start
	soakServerWork = 3 * time.Millisecond
)

// soakRun is one run of the soak. Its goroutines end with play.
type soakRun struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand // of the plan, which is drawn before it is played
	settings  soakSettings
	crowd     bool
	records   *soakRecords
	lag       *schedulingLag
	discovery *soakDiscovery
	nodes     []*soakNode
	endedAt   time.Time

	mu       sync.Mutex
	servers  []*soakServer
	timeline []string
}

func newSoakRun(t *testing.T, program string, seed uint64) *soakRun {
	t.Helper()
	random := rand.New(rand.NewChaCha8(seedOf(seed, 0))) // seeded, so that a run can be repeated
	run := &soakRun{
		t: t, seed: seed, random: random, crowd: random.IntN(3) == 0,
		records: newSoakRecords(), lag: startSchedulingLag(), discovery: newSoakDiscovery(t),
	}
	t.Cleanup(func() { close(run.lag.stop) })
	run.settings = drawSettings(random)
	var listed []endpointjson.Endpoint
	for i := range soakServers {
		server := newSoakServer(t, run.records, fmt.Sprintf("s-%d", i), soakServerWork)
		run.servers = append(run.servers, server)
		listed = append(listed, server.endpoint)
	}
	run.discovery.publish(listed...)
	nodes := 2 + random.IntN(2)
	for i := range nodes {
		run.nodes = append(run.nodes, &soakNode{
			t: t, name: fmt.Sprintf("n%d", i), addr: testkit.FreeAddr(t), program: program,
			settings: run.settings.json(t, i, nodes), discovery: run.discovery, records: run.records,
			killAfter: run.settings.longestDeadline() + killAfterDeadline,
		})
	}
	return run
}

// seedOf returns the seed of one of the random sequences of a run.
func seedOf(seed, sequence uint64) (bytes [32]byte) {
	binary.LittleEndian.PutUint64(bytes[:], seed)
	binary.LittleEndian.PutUint64(bytes[8:], sequence)
	return bytes
}

// killAfterDeadline is how long after the longest deadline, counted from SIGTERM, a process may be killed.
const killAfterDeadline = 700 * time.Millisecond

func drawSettings(random *rand.Rand) soakSettings {
	deadline := func() time.Duration { return time.Duration(200+random.IntN(600)) * time.Millisecond }
	return soakSettings{
		mode: []string{"pushed", "on_request"}[random.IntN(2)],
		classes: []soakClass{
			{name: "read", effect: effectPure, deadline: deadline()},
			{name: "push", effect: effectToken, deadline: deadline(), keyRetention: 400 * time.Millisecond},
			{name: "pay", effect: effectSideEffect, deadline: deadline()},
		},
		drainGrace:       []time.Duration{300 * time.Millisecond, time.Second}[random.IntN(2)],
		slowStartShare:   0.05 + 0.1*random.Float64(),
		slowStart:        time.Duration(5+random.IntN(5)) * time.Second,
		overloadMultiple: 1.5 + random.Float64(),
		overloadWindow:   time.Second,
		hedging:          random.IntN(2) == 0,
	}
}

// play starts the nodes and clients, plays the faults and ends the nodes.
func (run *soakRun) play() {
	plan := run.draw()
	for i, node := range run.nodes {
		node.start(0, plan.clocks[i])
	}
	for _, node := range run.nodes {
		balancertest.AwaitReady(run.t, node.addr)
	}
	ended := make(chan struct{})
	clients := run.startClients(ended)
	run.records.began = time.Now()
	run.playPlan(plan)
	run.note("all nodes are told to end")
	var ends sync.WaitGroup
	for _, node := range run.nodes {
		ends.Go(func() { node.terminate(plan.lastSignals) })
	}
	ends.Wait()
	close(ended)
	clients.Wait()
	run.endedAt = time.Now()
}

const (
	clientsPerNode      = 8
	clientsOfACrowd     = 50
	clientPause         = 8 * time.Millisecond
	clientPauseInACrowd = 50 * time.Millisecond
)

func (run *soakRun) startClients(ended <-chan struct{}) *sync.WaitGroup {
	clients, number, pause := &sync.WaitGroup{}, clientsPerNode, clientPause
	if run.crowd {
		number, pause = clientsOfACrowd, clientPauseInACrowd
	}
	for _, node := range run.nodes {
		for i := range number {
			client := &soakClient{
				name: fmt.Sprintf("%s-c%d", node.name, i), node: node, classes: run.settings.classes,
				random:    rand.New(rand.NewChaCha8(seedOf(run.seed, uint64(i+1)))),
				keepAlive: i%4 != 0, pause: pause, lag: run.lag, ended: ended,
			}
			clients.Go(client.run)
		}
	}
	return clients
}

// note adds a line to the run's timeline.
func (run *soakRun) note(format string, arguments ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.timeline = append(run.timeline, fmt.Sprintf("%7.3f ", time.Since(run.records.began).Seconds())+fmt.Sprintf(format, arguments...))
}

// summary describes the run in a line.
func (run *soakRun) summary() string {
	return fmt.Sprintf("%d nodes, crowd %v, lists %s, deadline %v, drain grace %v", len(run.nodes), run.crowd,
		run.settings.mode, run.settings.longestDeadline(), run.settings.drainGrace)
}

// seriesOfSignals draws what follows SIGTERM.
func seriesOfSignals(random *rand.Rand) []syscall.Signal {
	return [][]syscall.Signal{
		nil, {syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT},
	}[random.IntN(4)]
}
