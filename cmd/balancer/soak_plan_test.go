package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// soakEvent is something that happens at a time of a run.
type soakEvent struct {
	at   time.Duration
	what func()
}

// soakPlan is all that happens in a run. The events of one lane follow each other.
type soakPlan struct {
	clocks      []time.Duration // by how much each node's wall clock is ahead at its start
	lanes       [][]soakEvent
	lastSignals []syscall.Signal
}

// draw draws the plan of a run from its seed.
func (run *soakRun) draw() soakPlan {
	plan := soakPlan{lastSignals: seriesOfSignals(run.random)}
	for range run.nodes {
		plan.clocks = append(plan.clocks, drawClockStep(run.random))
	}
	plan.lanes = append(plan.lanes, run.drawDiscoveryFaults(), run.drawServerChanges(), run.drawHang())
	restarted := run.random.IntN(len(run.nodes))
	for i, node := range run.nodes {
		plan.lanes = append(plan.lanes, run.drawNodeEvents(node, i == restarted))
	}
	return plan
}

// playPlan plays a plan to its end.
func (run *soakRun) playPlan(plan soakPlan) {
	var lanes sync.WaitGroup
	for _, lane := range plan.lanes {
		slices.SortStableFunc(lane, func(x, y soakEvent) int { return int(x.at - y.at) })
		lanes.Go(func() {
			for _, event := range lane {
				time.Sleep(time.Until(run.records.began.Add(event.at)))
				event.what()
			}
		})
	}
	lanes.Wait()
	time.Sleep(time.Until(run.records.began.Add(soakDuration)))
}

// drawBetween draws a time.
func drawBetween(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Float64()*float64(to-from))
}

// drawClockStep draws by how much a wall clock is ahead.
func drawClockStep(random *rand.Rand) time.Duration {
	const day = 24 * time.Hour
	steps := []time.Duration{0, time.Second, 5 * time.Second, 30 * time.Second, 7 * time.Minute, time.Hour, 400 * day}
	step := steps[random.IntN(len(steps))]
	if random.IntN(2) == 0 {
		return -step
	}
	return step
}

// drawDiscoveryFaults draws one or two outages of discovery.
func (run *soakRun) drawDiscoveryFaults() (events []soakEvent) {
	names := map[discoveryFault]string{
		faultSilent: "is silent", faultUnavailable: "answers 503", faultReset: "resets calls", faultSlow: "is slow",
	}
	faults := []discoveryFault{faultSilent, faultSilent, faultUnavailable, faultReset, faultSlow}
	at := drawBetween(run.random, time.Second, 4*time.Second)
	for range 1 + run.random.IntN(2) {
		fault := faults[run.random.IntN(len(faults))]
		longest := 6 * time.Second
		if fault == faultSilent {
			longest = 10 * time.Second
		}
		until := at + drawBetween(run.random, time.Second, longest)
		events = append(events,
			soakEvent{at, func() { run.note("discovery %s", names[fault]); run.discovery.fail(fault) }},
			soakEvent{until, func() { run.discovery.fail(faultNone); run.note("discovery is back") }})
		at = until + drawBetween(run.random, 200*time.Millisecond, 3*time.Second)
	}
	return events
}

// drawServerChanges draws servers that drain and go, and others that start, under new IDs and old ones.
func (run *soakRun) drawServerChanges() (events []soakEvent) {
	leaving := run.random.Perm(soakServers)[:3]
	for i, index := range leaving {
		server := run.servers[index]
		drainAt := drawBetween(run.random, time.Second, 9*time.Second)
		goneAt := drainAt + drawBetween(run.random, 500*time.Millisecond, 4*time.Second)
		startAt := goneAt + drawBetween(run.random, 0, 2*time.Second)
		id := server.endpoint.InstanceID
		if i > 0 {
			id = fmt.Sprintf("new-%d", i)
		}
		events = append(events,
			soakEvent{drainAt, func() { run.leave(server, "Terminating") }},
			soakEvent{goneAt, func() { run.leave(server, "Gone") }},
			soakEvent{startAt, func() { run.startServer(id) }})
	}
	return events
}

// leave has a server drain or go.
func (run *soakRun) leave(server *soakServer, lifecycle string) {
	leaving := server.endpoint
	leaving.Lifecycle = lifecycle
	generation := run.discovery.publish(leaving)
	server.leftGeneration.CompareAndSwap(0, generation)
	run.note("generation %d: %s is %s", generation, leaving.InstanceID, lifecycle)
}

// startServer starts a process of a server.
func (run *soakRun) startServer(id string) {
	server := newSoakServer(run.t, run.records, id, soakServerWork)
	server.joinedAt = time.Now()
	server.endpoint.StartedUnixMilli = float64(server.joinedAt.UnixMilli())
	run.mu.Lock()
	run.servers = append(run.servers, server)
	run.mu.Unlock()
	run.note("generation %d: %s starts", run.discovery.publish(server.endpoint), id)
}

// drawHang draws a server that hangs for a while.
func (run *soakRun) drawHang() []soakEvent {
	server := run.servers[run.random.IntN(soakServers)]
	from := drawBetween(run.random, 2*time.Second, 12*time.Second)
	return []soakEvent{
		{from, func() { run.note("%s hangs", server.endpoint.InstanceID); server.hanging.Store(true) }},
		{from + 2*time.Second, func() { server.hanging.Store(false) }},
	}
}

// drawNodeEvents draws steps of a node's wall clock, SIGHUPs in a row, times for which it is held up and,
// if it is to be restarted, its restart.
func (run *soakRun) drawNodeEvents(node *soakNode, restarted bool) (events []soakEvent) {
	const stepInterval, hangupInterval, hangups = time.Second, 300 * time.Millisecond, 3
	for at := stepInterval; at < soakDuration; at += stepInterval {
		step := drawClockStep(run.random)
		events = append(events, soakEvent{at, func() { run.note("%s: clock ahead by %v", node.name, step); node.stepClock(step) }})
	}
	for third := range time.Duration(3) { // apart: the operators' terms allow one hold-up at a time
		at := drawBetween(run.random, third*soakDuration/3, (third+1)*soakDuration/3-time.Second)
		events = append(events, soakEvent{at, func() { run.note("%s: held up", node.name); node.holdUp() }})
	}
	if run.random.IntN(3) > 0 {
		from := drawBetween(run.random, time.Second, 10*time.Second)
		for i := range hangups {
			at := from + time.Duration(i)*hangupInterval
			events = append(events, soakEvent{at, func() { run.note("%s: SIGHUP", node.name); node.hangUp() }})
		}
	}
	if restarted {
		at, signals, clock := drawBetween(run.random, 4*time.Second, 11*time.Second), seriesOfSignals(run.random), drawClockStep(run.random)
		events = append(events, soakEvent{at, func() {
			run.note("%s: SIGTERM, then %v", node.name, signals)
			node.terminate(signals)
			run.note("%s: starts again, clock ahead by %v", node.name, clock)
			node.start(1, clock)
		}})
	}
	return events
}
