// Package endpoint holds the endpoint list as discovery publishes it: the JSON
// form on the wire and in a node's configuration, and its translation into the
// identifiers and states of package policy. It keeps no state of its own.
package endpoint

import (
	"hash/fnv"

	"calicohinge/policy"
)

// List is one answer of discovery: the complete endpoint list, or the endpoints
// that changed since an earlier generation.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete
	Endpoints  []Endpoint `json:"instances"`
}

// Endpoint is one server of a list.
type Endpoint struct {
	InstanceID       string  `json:"instanceId"`
	Address          string  `json:"hostPort"`
	Zone             string  `json:"zone"`
	Cell             int     `json:"cell"`
	Lifecycle        string  `json:"lifecycle"`
	Weight           float64 `json:"weight"`
	StartedUnixMilli float64 `json:"startedAtMs"` // 0: long ago
}

// The lifecycle words that this program tells apart.
const (
	lifecycleReady = "Ready"
	lifecycleGone  = "Gone"
)

// ServerID hashes the instance id. Every node computes the same value, which the
// ring order of package policy relies on.
func (e *Endpoint) ServerID() policy.ServerID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(e.InstanceID)) // a hash.Hash never returns an error
	return policy.ServerID(hash.Sum64())
}

// State translates the lifecycle. An unknown word counts as draining, which
// permits nothing new.
func (e *Endpoint) State() policy.EndpointState {
	switch e.Lifecycle {
	case lifecycleReady:
		return policy.Ready
	case lifecycleGone:
		return policy.Gone
	}
	return policy.Draining
}
