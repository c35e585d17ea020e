// Package endpoint defines the endpoint list as the discovery service publishes it: the JSON form on the
// wire and in a node's configuration, and its translation into the identifiers and states of package
// policy. It keeps no state. Packages config, discovery, upstream and node use it.
package endpoint

import (
	"hash/fnv"

	"calicohinge/policy"
)

// List is one answer of the discovery service: the complete endpoint list, or the endpoints that
// changed since an earlier generation.
type List struct {
	Generation uint64     `json:"generation"` // grows with each change
	Reset      bool       `json:"reset"`      // the list is complete
	Endpoints  []Endpoint `json:"instances"`
}

// Endpoint is one server of a list.
type Endpoint struct {
	InstanceID       string  `json:"instanceId"`
	Address          string  `json:"hostPort"`
	Zone             string  `json:"zone"`
	Cell             int     `json:"cell"`
	Lifecycle        string  `json:"lifecycle"`   // translated by State
	Weight           float64 `json:"weight"`      // rough capacity, comparable across servers; 0: unknown
	StartedUnixMilli float64 `json:"startedAtMs"` // start of the process, in ms since the Unix epoch; 0: long ago
}

// The values of Endpoint.Lifecycle that State distinguishes.
const (
	lifecycleReady = "Ready"
	lifecycleGone  = "Gone"
)

// ServerID returns a 64-bit FNV-1a hash of the instance ID. Every node computes the same value, which the
// ring order of package policy relies on.
func (e *Endpoint) ServerID() policy.ServerID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(e.InstanceID)) // a hash.Hash never returns an error
	return policy.ServerID(hash.Sum64())
}

// State translates the lifecycle. An unknown value counts as draining, so that the server gets no new
// requests.
func (e *Endpoint) State() policy.EndpointState {
	switch e.Lifecycle {
	case lifecycleReady:
		return policy.Ready
	case lifecycleGone:
		return policy.Gone
	}
	return policy.Draining
}
