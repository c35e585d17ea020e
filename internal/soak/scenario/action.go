package scenario

import (
	"fmt"
	"syscall"
	"time"
)

// Action is one step of a fault schedule. It names nodes and servers by index.
type Action interface{ fmt.Stringer }

// DiscoveryFault is how the discovery service fails for a while.
type DiscoveryFault int

// The faults of the discovery service.
const (
	DiscoveryHealthy      DiscoveryFault = iota
	DiscoveryUnresponsive                // its machine is partitioned
	DiscoveryUnavailable                 // it responds with status 503
	DiscoveryReset                       // it resets the connections of calls
	DiscoverySlow                        // its responses take time; it counts as reachable
)

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
	return fmt.Sprintf("fault %d", int(f))
}

// The actions on the discovery service and on servers.
type (
	// SetDiscoveryFault begins a fault of the discovery service, or ends it.
	SetDiscoveryFault struct{ Fault DiscoveryFault }
	// DrainServer lists a server as draining.
	DrainServer struct{ Server int }
	// RemoveServer removes a server from the list.
	RemoveServer struct{ Server int }
	// StartServer starts a process of a server and lists it.
	StartServer struct{ ID string }
	// HangServer makes a server hang: it responds to no request.
	HangServer struct{ Server int }
	// ResumeServer ends the hang of a server.
	ResumeServer struct{ Server int }
)

// The actions on nodes.
type (
	// StepClock sets by how much a node's wall clock is ahead.
	StepClock struct {
		Node        int
		ClockOffset time.Duration
	}
	// PauseNode stops a node's process for as long as the operators' terms allow.
	PauseNode struct{ Node int }
	// ReloadNode gives a node a new address of the discovery service, by SIGHUP.
	ReloadNode struct{ Node int }
	// RestartNode ends a node by SIGTERM and further signals and starts it again.
	RestartNode struct {
		Node        int
		Signals     []syscall.Signal
		ClockOffset time.Duration // of the wall clock of the new process
	}
)

func (a SetDiscoveryFault) String() string { return fmt.Sprintf("discovery is %v", a.Fault) }
func (a DrainServer) String() string       { return fmt.Sprintf("drain server %d", a.Server) }
func (a RemoveServer) String() string      { return fmt.Sprintf("remove server %d", a.Server) }
func (a StartServer) String() string       { return fmt.Sprintf("start server %s", a.ID) }
func (a HangServer) String() string        { return fmt.Sprintf("server %d hangs", a.Server) }
func (a ResumeServer) String() string      { return fmt.Sprintf("server %d resumes", a.Server) }
func (a StepClock) String() string {
	return fmt.Sprintf("n%d: clock ahead by %v", a.Node, a.ClockOffset)
}
func (a PauseNode) String() string  { return fmt.Sprintf("n%d: paused", a.Node) }
func (a ReloadNode) String() string { return fmt.Sprintf("n%d: SIGHUP", a.Node) }
func (a RestartNode) String() string {
	return fmt.Sprintf("n%d: SIGTERM, then %v, restart with clock ahead by %v", a.Node, a.Signals, a.ClockOffset)
}
