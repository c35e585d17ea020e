package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Event is an action at a given time of a run.
type Event struct {
	At     time.Duration // time since the start of the run
	Action Action
}

// Schedule contains the faults of a run and the signals at its end.
type Schedule struct {
	InitialClockOffsets []time.Duration  // by node: how far its wall clock is ahead at the start of the run
	Concurrent          [][]Event        // fault schedules that run concurrently, each ordered by time
	FinalSignals        []syscall.Signal // signals to each node after the SIGTERM at the end of the run
}

// generateSchedule generates a schedule. All parts use the same random number generator, so generating them in another
// order would change the scenario of every seed.
func generateSchedule(random *rand.Rand, nodes int) Schedule {
	schedule := Schedule{FinalSignals: generateSignals(random)}
	for range nodes {
		schedule.InitialClockOffsets = append(schedule.InitialClockOffsets, generateClockOffset(random))
	}
	schedule.Concurrent = append(schedule.Concurrent,
		generateDiscoveryFaults(random), generateServerReplacements(random), generateUnresponsiveServer(random))
	restarted := random.IntN(nodes)
	for node := range nodes {
		events := generateNodeFaults(random, node)
		if node == restarted {
			events = append(events, generateRestart(random, node))
		}
		schedule.Concurrent = append(schedule.Concurrent, events)
	}
	for _, events := range schedule.Concurrent {
		slices.SortStableFunc(events, func(x, y Event) int { return int(x.At - y.At) })
	}
	return schedule
}

// generateClockOffset returns how far a wall clock is ahead. A negative offset means that it is behind.
func generateClockOffset(random *rand.Rand) time.Duration {
	const day = 24 * time.Hour
	offsets := []time.Duration{0, time.Second, 5 * time.Second, 30 * time.Second, 7 * time.Minute, time.Hour, 400 * day}
	offset := offsets[random.IntN(len(offsets))]
	if random.IntN(2) == 0 {
		return -offset
	}
	return offset
}

// generateSignals returns the signals that a node receives after SIGTERM while it shuts down.
func generateSignals(random *rand.Rand) []syscall.Signal {
	return [][]syscall.Signal{
		nil, {syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT},
	}[random.IntN(4)]
}

// generateDiscoveryFaults returns the start and end of one or two faults of the discovery service.
func generateDiscoveryFaults(random *rand.Rand) []Event {
	faults := []DiscoveryFault{ // DiscoveryUnresponsive is twice as likely as each other fault
		DiscoveryUnresponsive, DiscoveryUnresponsive, DiscoveryUnavailable, DiscoveryReset, DiscoverySlow,
	}
	var events []Event
	at := randomDuration(random, time.Second, 4*time.Second)
	for range 1 + random.IntN(2) {
		fault := faults[random.IntN(len(faults))]
		longest := 6 * time.Second
		if fault == DiscoveryUnresponsive {
			longest = 10 * time.Second
		}
		until := at + randomDuration(random, time.Second, longest)
		events = append(events, Event{at, SetDiscoveryFault{fault}}, Event{until, SetDiscoveryFault{DiscoveryHealthy}})
		at = until + randomDuration(random, 200*time.Millisecond, 3*time.Second)
	}
	return events
}

// generateServerReplacements returns the replacements of three servers. Each of these servers drains and is removed;
// then another server process starts. The first replacement has the ID of the removed server, the others have new IDs.
func generateServerReplacements(random *rand.Rand) []Event {
	const changes = 3
	var events []Event
	for i, server := range random.Perm(Servers)[:changes] {
		drainAt := randomDuration(random, time.Second, 9*time.Second)
		removeAt := drainAt + randomDuration(random, 500*time.Millisecond, 4*time.Second)
		startAt := removeAt + randomDuration(random, 0, 2*time.Second)
		id := ServerID(server)
		if i > 0 {
			id = fmt.Sprintf("new-%d", i)
		}
		events = append(events,
			Event{drainAt, DrainServer{server}}, Event{removeAt, RemoveServer{server}}, Event{startAt, StartServer{id}})
	}
	return events
}

// ServerID returns the ID of a server that is listed from the start of the run, given its index.
func ServerID(server int) string { return fmt.Sprintf("s-%d", server) }

// generateUnresponsiveServer returns the start and end of a period in which one server is unresponsive.
func generateUnresponsiveServer(random *rand.Rand) []Event {
	const duration = 2 * time.Second
	server := random.IntN(Servers)
	from := randomDuration(random, 2*time.Second, 12*time.Second)
	return []Event{{from, MakeServerUnresponsive{server}}, {from + duration, MakeServerResponsive{server}}}
}

// generateNodeFaults returns the clock steps and the pauses of a node and, with a probability of 2/3, a series of
// reloads.
func generateNodeFaults(random *rand.Rand, node int) []Event {
	const stepInterval, reloadInterval, reloads = time.Second, 300 * time.Millisecond, 3
	var events []Event
	for at := stepInterval; at < Duration; at += stepInterval {
		events = append(events, Event{at, StepClock{node, generateClockOffset(random)}})
	}
	// The operators' contract allows one pause at a time, so there is one in each third of the run.
	for third := range time.Duration(3) {
		at := randomDuration(random, third*Duration/3, (third+1)*Duration/3-time.Second)
		events = append(events, Event{at, PauseNode{node}})
	}
	if random.IntN(3) > 0 {
		from := randomDuration(random, time.Second, 10*time.Second)
		for i := range reloads {
			events = append(events, Event{from + time.Duration(i)*reloadInterval, ReloadNode{node}})
		}
	}
	return events
}

// generateRestart returns the restart of a node.
func generateRestart(random *rand.Rand, node int) Event {
	at := randomDuration(random, 4*time.Second, 11*time.Second)
	signals := generateSignals(random)
	return Event{at, RestartNode{node, signals, generateClockOffset(random)}}
}
