package node

import (
	"sync/atomic"

	"calicohinge/policy"
)

// syncStatus is the state of the endpoint list that the balancer has reported last. It is safe for concurrent use.
type syncStatus struct {
	state atomic.Uint32 // a policy.SyncState; policy.SyncPending at first
	ready atomic.Bool   // whether the node has had another state than policy.SyncPending, and is ready for requests
}

// set records a change of the state.
func (s *syncStatus) set(state policy.SyncState) {
	s.state.Store(uint32(state))
	if state != policy.SyncPending {
		s.ready.Store(true)
	}
}
