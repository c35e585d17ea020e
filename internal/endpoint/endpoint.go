// Package endpoint defines the endpoint list as the node uses it: the servers of the fleet with their
// identifiers, states and start times. Package endpointjson translates the JSON form into it; packages
// config, discovery, node and upstream use it. It keeps no state.
package endpoint

import (
	"hash/fnv"
	"time"

	"calicohinge/policy"
)

// List is the complete endpoint list, or the endpoints that changed since an earlier generation.
type List struct {
	Generation uint64 // grows with each change
	Complete   bool   // an endpoint that is not listed has been removed
	Endpoints  []Endpoint
}

// Endpoint is one server of a list.
type Endpoint struct {
	ID        policy.ServerID // 0: the list named no instance
	Address   string          // host and port
	Zone      string
	Cell      int
	State     policy.EndpointState
	Weight    float64   // rough capacity, comparable across servers; 0: unknown
	StartedAt time.Time // start of the process by the wall clock of its machine; zero: long ago
}

// IDOf returns the ID of the server with an instance ID: its 64-bit FNV-1a hash, or 0 if it is empty.
// Every node computes the same value, which the ring order of package policy relies on.
func IDOf(instanceID string) policy.ServerID {
	if instanceID == "" {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instanceID)) // a hash.Hash never returns an error
	return policy.ServerID(hash.Sum64())
}
