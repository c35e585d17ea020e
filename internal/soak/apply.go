package soak

import (
	"time"

	"calicohinge/internal/soak/scenario"
)

// apply performs an action of the schedule.
func (r *runner) apply(action scenario.Action) {
	switch a := action.(type) {
	case scenario.SetDiscoveryFault:
		r.setDiscoveryFault(a)
	case scenario.DrainServer:
		r.delistServer(a.Server, lifecycleDraining)
	case scenario.RemoveServer:
		r.delistServer(a.Server, lifecycleRemoved)
	case scenario.StartServer:
		r.addServer(a.ID)
	case scenario.MakeServerUnresponsive:
		r.history.Logf("%s: unresponsive", scenario.ServerID(a.Server))
		r.servers[a.Server].record.Unresponsive.Store(true)
	case scenario.MakeServerResponsive:
		r.servers[a.Server].record.Unresponsive.Store(false)
	default:
		r.applyToNode(action)
	}
}

// applyToNode performs an action on a node.
func (r *runner) applyToNode(action scenario.Action) {
	switch a := action.(type) {
	case scenario.StepClock:
		r.history.Logf("%v", a)
		r.nodes[a.Node].stepClock(a.ClockOffset)
	case scenario.PauseNode:
		r.history.Logf("%v", a)
		r.nodes[a.Node].pause()
	case scenario.ReloadNode:
		r.history.Logf("%v", a)
		r.nodes[a.Node].reload()
	case scenario.RestartNode:
		r.restartNode(a)
	default:
		r.t.Errorf("schedule contains %T (%v), want one of the actions of package scenario", action, action)
	}
}

// setDiscoveryFault starts or ends a fault of the discovery service. It logs the start before the fault takes effect
// and the end after the fault has ended, so that the period in the timeline contains the whole fault.
func (r *runner) setDiscoveryFault(action scenario.SetDiscoveryFault) {
	ends := action.Fault == scenario.DiscoveryHealthy
	if !ends {
		r.history.Logf("%v", action)
	}
	r.discovery.setFault(action.Fault)
	if ends {
		r.history.Logf("%v", action)
	}
}

// delistServer publishes a generation in which a server is draining or removed.
func (r *runner) delistServer(index int, lifecycle string) {
	server := r.servers[index]
	delisted := server.endpoint
	delisted.Lifecycle = lifecycle
	generation := r.discovery.publish(delisted)
	server.record.DelistedGeneration.CompareAndSwap(0, generation)
	r.history.Logf("generation %d: %s is %s", generation, delisted.InstanceID, lifecycle)
}

// addServer starts a server process with the given ID and publishes its endpoint.
func (r *runner) addServer(id string) {
	server := startServer(r.t, r.history, id, time.Now())
	r.history.Logf("generation %d: %s starts", r.discovery.publish(server.endpoint), id)
}

// restartNode shuts a node down and starts its next incarnation.
func (r *runner) restartNode(action scenario.RestartNode) {
	node := r.nodes[action.Node]
	r.history.Logf("%v", action)
	node.shutDown(action.Signals)
	r.history.Logf("%s: restarting", node.name)
	node.start(1, action.ClockOffset)
}
