// Package policy implements the decision logic of an HTTP load balancer that runs on several nodes: which
// server gets a request, when to retry or hedge it, which requests to reject, and when to poll or watch the
// endpoint list.
//
// A Balancer is an event-driven state machine: it has one method for each event and acts through its Host.
// It has no clock, goroutines or global state. Events carry the time, and the same events with the same seed
// produce the same actions in the same order. A Balancer is not safe for concurrent use. All times are
// durations since a fixed point of the caller's monotonic clock.
//
// # Files
//
// The API is in api.go, settings.go and validate.go. The Balancer coordinates the components below:
// balancer.go has the event handlers, periodic_check.go the check of all active requests, dispatch.go the
// path of a request, and outcome.go the effect of an attempt's outcome on its server. Each component has one
// type, whose methods alone modify its state:
//
//	endpoint_set.go       endpointSet         the servers known from the endpoint list
//	watch_schedule.go     watchSchedule       when to watch or poll the endpoint list
//	server.go             server              a server and the measurements of its current process
//	subset.go             subset              the servers that this node uses
//	sampling_regime.go    samplingRegime      parameters that depend on the number of nodes per server
//	request.go            request             a request and its attempts
//	request_table.go      requestTable        the active requests
//	quota.go              tenantQuotas        the tenants' quotas
//	arrivals.go           arrivalStats        the rate and the mean priority weight of arrivals
//	admission.go          admissionQueue      the requests that wait for capacity
//	load_shedding.go      loadShedder         which queued requests to shed
//	selection.go          candidates          the choice among eligible servers
//	score.go              serverScore         the score of a server from its recent outcomes
//	circuit_breaker.go    circuitBreaker      the ejection of a server after consecutive failures
//	slow_start.go         slowStart           the limit on work for servers that are warming up
//	concurrency_limit.go  concurrencyLimiter  the limit on attempts in flight
//	latency.go            latencyEstimator    latency, congestion and baseline latencies
//	retry.go              retryPolicy         which attempts a request may have, and when
//
// # Flow of an event
//
// A new request takes a token from its tenant's quota, is counted as an arrival and enters the admission
// queue. Dispatch first refreshes the subset, the scores, the circuit breakers and the concurrency limit, at
// most once per timestamp. For each queued request it then collects the candidates: the servers of the
// subset for which the circuit breaker, the retry policy, the slow start budget and the concurrency limit
// permit an attempt. It sends the request to one of the candidates or leaves it in the queue.
//
// An outcome first updates the server's score, its circuit breaker, the latency estimates and the
// concurrency limit. Then it completes the request or starts the backoff before a retry. Dispatch follows,
// because the outcome may have freed capacity.
//
// The periodic check sheds queued requests that would be late, detects unresponsive attempts and hedges
// their requests, queues retries whose backoff has ended, and rejects or fails requests at their deadline.
//
// An update of the endpoint list changes the endpoint set, and dispatch uses the new subset immediately.
package policy

import (
	"strconv"
	"time"
)

// RequestID identifies a client's request. The host assigns it and never reuses it.
type RequestID uint32

// ServerID identifies a server. It is opaque: equal IDs mean the same server.
type ServerID uint64

// Idempotency specifies whether a request may be executed more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // the servers of KeyScope ignore repeats of a key for KeyRetention
	NotIdempotent                        // must be executed at most once
)

func (i Idempotency) String() string {
	return enumName(i, "idempotent", "idempotent with key", "not idempotent")
}

// KeyScope is the set of servers that recognize an idempotency key.
type KeyScope uint8

// The values of KeyScope.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // the servers of one zone
	KeyScopeCell                 // the servers of one cell
)

func (s KeyScope) String() string { return enumName(s, "all", "zone", "cell") }

// Class configures a class of requests.
type Class struct {
	Deadline         time.Duration // total time that the client waits, over all attempts
	Objective        time.Duration // latency objective, within which a response counts in full; 0: Deadline
	ObjectivePerWork float64       // multiple of Request.CostHint by which the objective is extended
	LateFraction     float64       // fraction of its weight, 0 to 1, with which a late response counts
	PriorityWeight   float64       // weight of one request, or of a unit of work with Settings.WeightByWork
	Idempotency      Idempotency
	KeyScope         KeyScope      // with IdempotentWithKey: the servers that recognize a key
	KeyRetention     time.Duration // with IdempotentWithKey: how long servers keep a key, from the first attempt
	Streaming        bool          // the response is a stream; see Balancer.StreamStarted
}

// Tenant is a customer with a quota.
type Tenant struct {
	QuotaPerS float64 // requests per second over all nodes; 0: unlimited
}

// Limits restricts what the Balancer may do for a request.
type Limits struct {
	MaxAttempts   int           // attempts per request; the Balancer makes at most 16
	Hedging       bool          // a request may have two attempts in flight at the same time
	Cancel        bool          // Host.Cancel may be called
	MaxRetryAfter time.Duration // longest Retry-After that clients honor; 0: they honor none
}

// Rules holds the parameters of the rules that each node enforces independently.
type Rules struct {
	SlowStartShare    float64       // minimum fraction of its capacity, 0 to 1, that a server has at its start
	SlowStartDuration time.Duration // time from the start of a server until it is warm
	OverloadMultiple  float64       // multiple of the current capacity above which a server that is warming up fails
	OverloadWindow    time.Duration // time over which the work sent to a server that is warming up is measured
	MaxPollInterval   time.Duration // with Settings.PollEndpoints: longest time between two polls
	ResponseGrace     time.Duration // time after a client's deadline within which a final response still counts
}

// Settings configures a Balancer. Use Validate to check the values.
type Settings struct {
	Nodes             int // number of load balancer nodes, including this one
	Node              int // index of this node, from 0
	Zone              int // zone of this node
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64       // factor that multiplies the weight of a request beyond its tenant's quota
	WeightByWork      bool          // PriorityWeight is per unit of work instead of per request
	PollEndpoints     bool          // the node polls or watches the endpoint list; otherwise updates are pushed
	Tick              time.Duration // longest delay before an event is handled, because events come in batches
	Limits            Limits
	Rules             Rules
}

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	EndpointRemoved  EndpointState = iota // no longer listed
	EndpointReady                         // takes requests
	EndpointDraining                      // completes its requests and must get no new ones
)

func (s EndpointState) String() string { return enumName(s, "removed", "ready", "draining") }

// Endpoint is a server in the endpoint list.
type Endpoint struct {
	Server    ServerID
	Zone      int
	Cell      int
	State     EndpointState
	Weight    float64       // approximate relative capacity; 0: unknown
	StartedAt time.Duration // when its process started; 0: long enough ago to be warm
}

// NotificationDeadline is the time after which a node counts as notified of a change of the endpoint list.
// The time starts when the discovery service has the change and is reachable. Failed calls do not
// extend it.
const NotificationDeadline = 6 * time.Second

// WatchFailure describes a failed watch or poll of the endpoint list.
type WatchFailure struct {
	// First is true if no other call has failed since the last list.
	First bool
	// NotifiedAt is the time at which the node counts as notified of the first change that it may have missed. Further
	// failed calls do not extend it. If it has passed, NotifiedAt is CallNotifiedAt.
	NotifiedAt time.Duration
	// CallNotifiedAt is the same for the changes since the failed call started.
	CallNotifiedAt time.Duration
	// Refused is true if the address of the service refused the connection of the call.
	Refused bool
}

// UpdateKind specifies which endpoints an update contains.
type UpdateKind uint8

// The values of UpdateKind.
const (
	UpdateDelta    UpdateKind = iota // changed endpoints only
	UpdateSnapshot                   // all endpoints
	UpdateCached                     // all endpoints, from a cache that may be out of date
)

func (k UpdateKind) String() string { return enumName(k, "delta", "snapshot", "cached") }

// SyncState tells whether the endpoint list of a node is that of the discovery service.
type SyncState uint8

// The values of SyncState. The node makes attempts in all states but SyncPending. SyncDone follows each other state once
// the service has returned a list.
const (
	SyncPending     SyncState = iota // the service has not returned a list since the start or since an outage
	SyncNotRequired                  // the cached list is valid until the next poll
	SyncUnreachable                  // the service is down, so that the list stays valid
	SyncTimedOut                     // the node may not wait longer, and uses the list that it has
	SyncDone                         // the service has returned a list
)

func (s SyncState) String() string {
	return enumName(s, "pending", "not required", "service unreachable", "timed out", "done")
}

// Request describes a client's request that has arrived.
type Request struct {
	ID       RequestID
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants; a request with any other value has no quota
	Timeout  time.Duration // time after which the client disconnects
	CostHint time.Duration // estimated work on a server; 0: unknown
}

// Status is the result of an attempt.
type Status uint8

// The values of Status.
const (
	StatusOK            Status = iota // succeeded
	StatusServerError                 // the server sent an error or an invalid response; may have been executed
	StatusRejected                    // the server rejected the request; not executed
	StatusTimeout                     // no response in time; may have been executed or still be executing
	StatusConnectFailed               // no connection, or the request was not written to its end; not executed
	StatusReset                       // the connection broke; may have been executed
	StatusCancelled                   // cancelled by Host.Cancel; may have been executed
	StatusNotSent                     // not sent; not executed
)

func (s Status) String() string {
	return enumName(s, "ok", "server error", "rejected", "timeout", "connect failed", "reset", "cancelled",
		"not sent")
}

// NotExecuted reports whether an attempt with this status is known not to have been executed.
func (s Status) NotExecuted() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent
}

// Outcome describes the end of an attempt. Each Host.Send is followed by exactly one Outcome.
type Outcome struct {
	ID               RequestID
	Attempt          int // index among the attempts of this request, from 0
	Server           ServerID
	Status           Status
	RequestCompleted bool          // the request has completed, by this outcome or before it
	Latency          time.Duration // time since Host.Send
}

// Host carries out the actions of a Balancer. The Balancer calls it from within its own methods, and the
// Host must not call back into the Balancer.
type Host interface {
	// Send starts an attempt, which ends after the timeout. If the timeout is 0, the client's own applies.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Cancel cancels an attempt in flight. Its Outcome still follows.
	Cancel(id RequestID, attempt int)
	// Reject completes a request with Retry-After. The client may safely retry it.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail completes a request with an error that leaves open whether it was executed.
	Fail(id RequestID)
	// SetTimer requests a Timer event with the token at the given time, but not before the current event ends.
	SetTimer(at time.Duration, token uint64)
	// WatchEndpoints subscribes to changes of the endpoint list. It is called with Settings.PollEndpoints only.
	WatchEndpoints()
	// SetSyncState reports a change of the state of the endpoint list; the first state is SyncPending. The node is ready
	// for requests from the first other state on, and stays ready. It is called only if StartSync was called.
	SetSyncState(state SyncState)
}

// enumName returns the name of an enum value, or its number if it has none.
func enumName[T ~uint8](value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return strconv.Itoa(int(value))
}
