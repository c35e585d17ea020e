package node

import (
	"calicohinge/internal/config"
	"calicohinge/internal/memorybudget"
)

const (
	// bytesPerMB converts the configured memory to bytes.
	bytesPerMB = 1 << 20
	// liveMemoryShare is the share of the configured memory for live data. The rest is for garbage that is not
	// collected yet, for fragmentation, and for the C library.
	liveMemoryShare = 0.6
	// baseMemory is the live memory of a node without servers, tenants and clients, in bytes.
	baseMemory = 4 << 20
	// serverMemory is the live memory for a server on the endpoint list, and for its entry in a further list that is
	// being decoded, in bytes.
	serverMemory = 4 << 10
	// tenantMemory is the live memory for a tenant, in bytes.
	tenantMemory = 512
	// clientConnMemory is the live memory, in bytes, for a client connection with a small request, from its head to its
	// response. It includes the stacks of the handler and of an attempt, the connection to a server, and all that a
	// connection may use without a reservation: the allowances of downstream and upstream, and smallBody.
	clientConnMemory = 48 << 10
	// idleConnMemory is the live memory, in bytes, for an idle connection to a server. It has no buffer and no goroutine.
	idleConnMemory = 1 << 10
	// upstreamConnsPerClient is the number of attempts that a request may have in flight.
	upstreamConnsPerClient = 2
	// clientConnsShare is the largest share of the memory for requests that the limit of client connections uses. The
	// rest is for data of variable size.
	clientConnsShare = 0.7
	// bodiesShare and receiveShare are the shares of the memory for data of variable size that bodies of requests, and
	// heads and bytes read ahead, may use. The rest is for responses. Separate budgets prevent requests with a part of
	// their memory from waiting for each other.
	bodiesShare, receiveShare = 0.5, 0.25
	// minBudget is the smallest budget, in bytes: that of one large head, body or response.
	minBudget = 160 << 10
)

// memoryPlan divides the memory of a node.
type memoryPlan struct {
	clientConns int                  // limit of client connections, those of the reserve included
	bodies      *memorybudget.Budget // bodies of requests
	receiving   *memorybudget.Budget // large heads of requests, and bytes read ahead
	responses   *memorybudget.Budget // bodies of responses
}

// planMemory divides the configured memory. wanted is the number of descriptors for client connections and for
// connections to servers. Without a limit of the memory there are no budgets.
func planMemory(cfg *config.Config, wanted connectionLimits) memoryPlan {
	clientConns := wanted.downstream + wanted.reserve
	if cfg.Limits.MemoryMB == 0 {
		return memoryPlan{clientConns: clientConns}
	}
	available := int(liveMemoryShare*float64(cfg.Limits.MemoryMB*bytesPerMB)) - baseMemory -
		serverMemory*len(cfg.CachedList.Endpoints) - tenantMemory*len(cfg.Policy.Tenants)
	// All connections to servers may be idle while each client has a request.
	const memoryPerClient = clientConnMemory + upstreamConnsPerClient*idleConnMemory
	affordable := int(clientConnsShare*float64(available)) / memoryPerClient
	clientConns = max(min(clientConns, affordable), minClientConns)
	variable := float64(available - clientConns*memoryPerClient)
	return memoryPlan{
		clientConns: clientConns,
		bodies:      newBudget(variable * bodiesShare),
		receiving:   newBudget(variable * receiveShare),
		responses:   newBudget(variable * (1 - bodiesShare - receiveShare)),
	}
}

// newBudget returns a budget of at least minBudget.
func newBudget(bytes float64) *memorybudget.Budget {
	return memorybudget.New(max(int64(bytes), minBudget))
}
