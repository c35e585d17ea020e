// Package endpoint defines the node's representation of the endpoint list: the servers of the fleet with their
// IDs, states and start times. Package endpointjson translates the JSON form into these types; packages config,
// discovery, node, processstart and upstream use them. Package endpoint keeps no state.
package endpoint

import (
	"hash/fnv"
	"time"

	"calicohinge/policy"
)

// List is a snapshot of the endpoint list, or a delta with the endpoints that changed since an earlier generation.
type List struct {
	Generation uint64 // increases with each change
	Snapshot   bool   // whether the list is a snapshot; an endpoint that a snapshot omits has been removed
	Endpoints  []Endpoint
	// SentAt is when the list was sent, by the wall clock of the service's machine, rounded down to a whole second. It is
	// the zero time if the service did not say so.
	SentAt time.Time
}

// Endpoint is the entry of one server in a list.
type Endpoint struct {
	ID        policy.ServerID // 0 if the list gave no instance ID
	Address   string          // in the form host:port
	Zone      string
	Cell      int
	State     policy.EndpointState
	Weight    float64   // approximate capacity relative to other servers; 0 if unknown
	StartedAt time.Time // start of the server process by the wall clock of its machine; the zero time means long ago
}

// ServerID returns the server ID for an instance ID: its 64-bit FNV-1a hash, or 0 if the instance ID is empty.
// All nodes must compute the same value, because the ring order in package policy depends on it.
func ServerID(instanceID string) policy.ServerID {
	if instanceID == "" {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instanceID)) // a hash.Hash never returns an error
	return policy.ServerID(hash.Sum64())
}
