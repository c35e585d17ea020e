package scenario

import (
	"fmt"
	"syscall"
	"time"
)

// Action is one step of a fault schedule. The actions identify a node or a server by its index, except StartServer,
// which contains the ID of the new server.
type Action interface{ fmt.Stringer }

// DiscoveryFault is a fault of the discovery service.
type DiscoveryFault int

// The faults of the discovery service.
const (
	DiscoveryHealthy      DiscoveryFault = iota // no fault
	DiscoveryUnresponsive                       // a network partition cuts off the service
	DiscoveryUnavailable                        // the service responds with status 503
	DiscoveryReset                              // the service resets the connections of calls
	DiscoverySlow                               // the service delays its responses, but counts as reachable
)

// String implements fmt.Stringer.
func (f DiscoveryFault) String() string {
	switch f {
	case DiscoveryHealthy:
		return "healthy"
	case DiscoveryUnresponsive:
		return "unresponsive"
	case DiscoveryUnavailable:
		return "unavailable"
	case DiscoveryReset:
		return "resetting calls"
	case DiscoverySlow:
		return "slow"
	}
	return fmt.Sprintf("DiscoveryFault(%d)", int(f))
}

// The actions on the discovery service and on servers.
type (
	// SetDiscoveryFault starts a fault of the discovery service. DiscoveryHealthy ends the current fault.
	SetDiscoveryFault struct{ Fault DiscoveryFault }
	// DrainServer publishes a server as draining.
	DrainServer struct{ Server int }
	// RemoveServer publishes a server as removed.
	RemoveServer struct{ Server int }
	// StartServer starts a server process and publishes its endpoint.
	StartServer struct{ ID string }
	// MakeServerUnresponsive makes a server unresponsive: it accepts requests and does not respond to them.
	MakeServerUnresponsive struct{ Server int }
	// MakeServerResponsive makes an unresponsive server respond again.
	MakeServerResponsive struct{ Server int }
)

// The actions on nodes.
type (
	// StepClock steps a node's wall clock, so that it is ahead of the machine's by an offset.
	StepClock struct {
		Node        int
		ClockOffset time.Duration
	}
	// PauseNode stops a node's process for the longest pause that the operators' contract allows.
	PauseNode struct{ Node int }
	// ReloadNode changes the address of the discovery service in a node's configuration file and sends SIGHUP.
	ReloadNode struct{ Node int }
	// RestartNode shuts a node down by SIGTERM and further signals, and starts it again.
	RestartNode struct {
		Node        int
		Signals     []syscall.Signal
		ClockOffset time.Duration // how far the wall clock of the new process is ahead
	}
)

func (a SetDiscoveryFault) String() string      { return fmt.Sprintf("discovery is %v", a.Fault) }
func (a DrainServer) String() string            { return fmt.Sprintf("drain server %d", a.Server) }
func (a RemoveServer) String() string           { return fmt.Sprintf("remove server %d", a.Server) }
func (a StartServer) String() string            { return fmt.Sprintf("start server %s", a.ID) }
func (a MakeServerUnresponsive) String() string { return fmt.Sprintf("server %d hangs", a.Server) }
func (a MakeServerResponsive) String() string   { return fmt.Sprintf("server %d resumes", a.Server) }
func (a StepClock) String() string {
	return fmt.Sprintf("n%d: clock ahead by %v", a.Node, a.ClockOffset)
}
func (a PauseNode) String() string  { return fmt.Sprintf("n%d: paused", a.Node) }
func (a ReloadNode) String() string { return fmt.Sprintf("n%d: SIGHUP", a.Node) }
func (a RestartNode) String() string {
	return fmt.Sprintf("n%d: SIGTERM, then %v, restart with clock ahead by %v", a.Node, a.Signals, a.ClockOffset)
}
