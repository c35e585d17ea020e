// Package soak runs nodes as real processes and injects faults that are generated from a seed. It checks the
// behavior of the nodes that their clients, their servers and the discovery service observe.
//
// Package scenario generates the settings and the faults of a run. This package starts the nodes with these settings,
// injects the faults and records the observations in a History of package history. Package check searches the
// history for violations of the rules. Only the soak test of cmd/balancer uses this package.
//
// A seed always yields the same settings and the same schedule of faults. The responses of the servers and of the
// discovery service are random in each run.
package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/soak/check"
	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
	"calicohinge/internal/testkit"
)

// Run runs the scenario of a seed. It fails the test if a rule is violated or if fewer than half of the requests
// get a response. The program must be built by balancertest.BuildInstrumented, so that the wall clock of a node can
// be stepped and a node reports the pauses of its process.
func Run(t *testing.T, program string, seed uint64) {
	t.Helper()
	r := newRunner(t, program, scenario.Generate(seed))
	r.runScenario()
	ended := check.Run{Settings: &r.scenario.Settings, History: r.history, EndedAt: r.endedAt}
	for _, violation := range check.All(ended) {
		r.history.RecordViolation(violation)
	}
	r.report(t)
}

// runner runs a scenario. The goroutines that runScenario starts have ended when it returns.
type runner struct {
	t         *testing.T
	scenario  scenario.Scenario
	history   *history.History
	discovery *discovery
	servers   []*server // the servers that are listed from the start of the run
	nodes     []*node
	endedAt   time.Time
}

// newRunner starts the servers that are listed from the start and publishes them. It starts no nodes.
func newRunner(t *testing.T, program string, s scenario.Scenario) *runner {
	t.Helper()
	lag := history.MeasureSchedulingLag()
	t.Cleanup(lag.Stop)
	records := history.New(lag)
	records.Discovery.Pushes = s.Settings.Mode == scenario.ModePushed
	r := &runner{t: t, scenario: s, history: records, discovery: newDiscovery(t, &records.Discovery)}
	var listed []endpointjson.Endpoint
	for i := range scenario.Servers {
		server := startServer(t, records, scenario.ServerID(i), time.Time{})
		r.servers = append(r.servers, server)
		listed = append(listed, server.endpoint)
	}
	r.discovery.publish(listed...)
	for i := range s.Nodes {
		settings, err := s.Settings.JSON(i, s.Nodes)
		if err != nil {
			t.Fatalf("settings of node %d of seed %d: %v, want valid JSON", i, s.Seed, err)
		}
		r.nodes = append(r.nodes, &node{
			t: t, name: fmt.Sprintf("n%d", i), addr: testkit.FreeAddr(t), program: program, settings: settings,
			discovery: r.discovery, history: records, killDelay: s.Settings.KillDelay(),
		})
	}
	return r
}

// runScenario starts the nodes and the clients, runs the schedule of faults and shuts the nodes down.
func (r *runner) runScenario() {
	for i, node := range r.nodes {
		node.start(0, r.scenario.Schedule.InitialClockOffsets[i])
	}
	for _, node := range r.nodes {
		balancertest.AwaitReady(r.t, node.addr)
	}
	ended := make(chan struct{})
	clients := r.startClients(ended)
	r.history.Start()
	r.runSchedule()
	r.history.Logf("shutting all nodes down")
	var shutdowns sync.WaitGroup
	for _, node := range r.nodes {
		shutdowns.Go(func() { node.shutDown(r.scenario.Schedule.FinalSignals) })
	}
	shutdowns.Wait()
	close(ended)
	clients.Wait()
	r.endedAt = time.Now()
}

// runSchedule runs all fault schedules concurrently. It returns when all of them are complete, but not before
// scenario.Duration has passed.
func (r *runner) runSchedule() {
	began := r.history.StartTime()
	var schedules sync.WaitGroup
	for _, events := range r.scenario.Schedule.Concurrent {
		schedules.Go(func() {
			for _, event := range events {
				time.Sleep(time.Until(began.Add(event.At)))
				r.apply(event.Action)
			}
		})
	}
	schedules.Wait()
	time.Sleep(time.Until(began.Add(scenario.Duration)))
}

// The number of clients per node and the mean pause of a client between two requests, without and with
// Scenario.HighConcurrency.
const (
	clientsPerNode             = 8
	clientPause                = 8 * time.Millisecond
	highConcurrencyClients     = 50
	highConcurrencyClientPause = 50 * time.Millisecond
)

// noKeepAliveInterval makes every fourth client of a node open a new connection for each request.
const noKeepAliveInterval = 4

// startClients starts the clients of all nodes. They send requests until ended is closed.
func (r *runner) startClients(ended <-chan struct{}) *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	number, pause := clientsPerNode, clientPause
	if r.scenario.HighConcurrency {
		number, pause = highConcurrencyClients, highConcurrencyClientPause
	}
	for _, node := range r.nodes {
		for i := range number {
			client := &client{
				name: fmt.Sprintf("%s-c%d", node.name, i), node: node, history: r.history,
				classes: r.scenario.Settings.Classes, random: scenario.NewRandom(r.scenario.Seed, uint64(i+1)),
				keepAlive: i%noKeepAliveInterval != 0, meanPause: pause, ended: ended,
			}
			clients.Go(client.run)
		}
	}
	return clients
}
