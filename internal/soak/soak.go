// Package soak runs nodes as real processes under faults that a seed gives, and checks what their clients,
// their servers and the discovery service saw.
//
// Package scenario generates what happens in a run; this package runs it against a program and records it
// in a history of package history; package check finds the broken rules in the history. Only a test of
// cmd/balancer uses it.
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

// Run runs the scenario of a seed on a program that balancertest.BuildInstrumented has built, and fails the
// test for each rule that was broken.
func Run(t *testing.T, program string, seed uint64) {
	t.Helper()
	r := newRunner(t, program, scenario.Generate(seed))
	r.runScenario()
	for _, violation := range check.All(check.Run{Settings: &r.scenario.Settings, History: r.history, EndedAt: r.endedAt}) {
		r.history.RecordViolation(violation)
	}
	r.report(t)
}

// runner runs a scenario. Its goroutines end with run.
type runner struct {
	t         *testing.T
	scenario  scenario.Scenario
	history   *history.History
	discovery *discovery
	servers   []*server // those that are listed from the start
	nodes     []*node
	endedAt   time.Time
}

func newRunner(t *testing.T, program string, s scenario.Scenario) *runner {
	t.Helper()
	lag := history.MeasureSchedulingLag()
	t.Cleanup(lag.Stop)
	records := history.New(lag)
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
			t.Fatal(err)
		}
		r.nodes = append(r.nodes, &node{
			t: t, name: fmt.Sprintf("n%d", i), addr: testkit.FreeAddr(t), program: program, settings: settings,
			discovery: r.discovery, history: records, killDelay: s.Settings.KillDelay(),
		})
	}
	return r
}

// runScenario starts the nodes and clients, runs the schedule and shuts the nodes down.
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
	r.history.Logf("all nodes are shut down")
	var shutdowns sync.WaitGroup
	for _, node := range r.nodes {
		shutdowns.Go(func() { node.terminate(r.scenario.Schedule.FinalSignals) })
	}
	shutdowns.Wait()
	close(ended)
	clients.Wait()
	r.endedAt = time.Now()
}

// runSchedule runs the concurrent fault schedules to their end.
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

// The number of clients of each node, and the mean pause of a client between two requests.
const (
	clientsPerNode             = 8
	clientPause                = 8 * time.Millisecond
	highConcurrencyClients     = 50
	highConcurrencyClientPause = 50 * time.Millisecond
)

// noKeepAliveInterval is how many clients of a node there are to each one that opens a new connection for
// every request.
const noKeepAliveInterval = 4

// startClients starts the clients of all nodes, which send until ended is closed.
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
