// Package policy makes the decisions of an HTTP load balancer that runs as several nodes: which server
// gets a request, when a retry or a hedged request follows, which requests are rejected, and when the
// endpoint list is polled or watched.
//
// A Balancer is driven by events, one method each, and acts by calling its Host. It has no clock,
// goroutine or global state: events carry the time, and the same events with the same seed give the same
// actions in the same order. A Balancer is not safe for concurrent use. All times are durations since one
// fixed moment of the caller's monotonic clock.
//
// # Files
//
// The interface is in api.go, settings.go and validate.go. The Balancer owns one value of each concern and
// calls them in order: balancer.go holds the events, periodic_check.go the check of all active requests,
// dispatch.go the path of a request, and outcome.go what the outcome of an attempt says about its server.
// Each concern has a type that alone changes its state:
//
//	endpoint_set.go       endpointSet         the known servers, by the endpoint list
//	watch_schedule.go     watchSchedule       when the endpoint list is watched or polled
//	server.go             server              a server with the measurements of its current process
//	subset.go             subset              the servers that this node uses
//	sampling_regime.go    samplingRegime      the rules that differ between few and many nodes per server
//	request.go            request             a request and its attempts
//	request_table.go      requestTable        the active requests
//	quota.go              tenantQuotas        the tenants' quotas
//	arrivals.go           arrivalStats        the rate and the priority weight of arrivals
//	admission.go          admissionQueue      the requests that wait for capacity
//	load_shedding.go      loadShedder         which of them are terminated
//	selection.go          candidates          the choice between servers
//	score.go              serverScore         the score of a server from its outcomes
//	circuit_breaker.go    circuitBreaker      the ejection of a server after consecutive failures
//	slow_start.go         slowStart           the work that a server gets while it is warming up
//	concurrency_limit.go  concurrencyLimiter  the attempts in flight
//	latency.go            latencyEstimator    latency, congestion and the baseline latencies
//	retry.go              retryPolicy         which attempts a request may have, and when
//
// # Flow of an event
//
// A request takes a token of its tenant's quota, counts as an arrival and enters the admission queue.
// Dispatch first refreshes the subset, the scores, the breakers and the limit, once for each time. For
// each queued request it then collects the candidates: servers of the subset whose breaker, retry policy,
// slow start budget and concurrency limit permit an attempt. It sends the request to one of them, or
// leaves it in the queue.
//
// An outcome first counts for the server: its score, its breaker, the latency estimates and the limit.
// Then it completes the request, or starts the backoff before a retry. Dispatch follows, as capacity may
// be free.
//
// The periodic check sheds queued requests that would be late, detects unresponsive attempts and hedges
// them, queues the retries whose backoff is over, and terminates requests at their deadline.
//
// An update of the endpoint list changes the endpoint set, and dispatch uses the new subset at once.
package policy

import (
	"strconv"
	"time"
)

// RequestID identifies a client's request. The host chooses it and never reuses it.
type RequestID uint32

// ServerID identifies a server. It is opaque: equal IDs mean the same server.
type ServerID uint64

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // repeats are dropped in KeyScope for KeyRetention
	NotIdempotent                        // must be executed once at most
)

func (i Idempotency) String() string {
	return enumName(i, "idempotent", "idempotent with key", "not idempotent")
}

// KeyScope is the group of servers within which an idempotency key is recognized.
type KeyScope uint8

// The scopes of an idempotency key.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // the servers of one zone
	KeyScopeCell                 // the servers of one cell
)

func (s KeyScope) String() string { return enumName(s, "all", "zone", "cell") }

// Class is a class of requests that are treated alike.
type Class struct {
	Deadline         time.Duration // total time that a client waits, over all of its attempts
	Objective        time.Duration // latency objective, up to which a response has its full weight; 0: Deadline
	ObjectivePerWork float64       // extends the objective by this multiple of Request.CostHint
	LateFraction     float64       // share of the weight, 0 to 1, that a response after the objective keeps
	PriorityWeight   float64       // weight of one request, or with Settings.WeightByWork of its work
	Idempotency      Idempotency
	KeyScope         KeyScope      // with IdempotentWithKey
	KeyRetention     time.Duration // with IdempotentWithKey: how long a key is kept, from the first send
	Streaming        bool          // the response is a stream; see Balancer.StreamStarted
}

// Tenant is a customer with a quota.
type Tenant struct {
	QuotaPerS float64 // requests per second, over all nodes; 0: no limit
}

// Limits holds what the operators permit.
type Limits struct {
	MaxAttempts   int           // attempts per request; the Balancer makes 16 at most
	Hedging       bool          // two attempts of a request may be in flight at the same time
	Cancel        bool          // Host.Cancel may be called
	MaxRetryAfter time.Duration // longest Retry-After that clients obey; 0: they obey none
}

// Rules holds the parameters of the rules that every node enforces by itself.
type Rules struct {
	SlowStartShare    float64       // share of its capacity, 0 to 1, that a server starts with at least
	SlowStartDuration time.Duration // time after which a server has warmed up at the latest
	OverloadMultiple  float64       // multiple of its current capacity above which a warming server fails
	OverloadWindow    time.Duration // time over which the work that it gets is measured for that
	MaxPollInterval   time.Duration // with Settings.PollEndpoints: longest time between two polls
	ResponseGrace     time.Duration // time after a client's deadline at which a final response still counts
}

// Settings configures a Balancer. Validate reports invalid values.
type Settings struct {
	Nodes             int // number of load balancer nodes, this one included
	Node              int // index of this node, from 0
	Zone              int // zone of this node
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64       // share of its weight that a request beyond its tenant's quota keeps
	WeightByWork      bool          // PriorityWeight counts per unit of work, not per request
	PollEndpoints     bool          // the endpoint list has to be watched or polled; otherwise it is pushed
	Tick              time.Duration // longest delay until an event is handled, since events come in batches
	Limits            Limits
	Rules             Rules
}

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The states of a server.
const (
	Removed  EndpointState = iota // not listed any more
	Ready                         // takes requests
	Draining                      // completes its requests and takes no new ones
)

func (s EndpointState) String() string { return enumName(s, "removed", "ready", "draining") }

// Endpoint is a server in the endpoint list.
type Endpoint struct {
	Server    ServerID
	Zone      int
	Cell      int
	State     EndpointState
	Weight    float64       // rough capacity, comparable across servers; 0: unknown
	StartedAt time.Duration // when its process started; 0: long ago
}

// NotificationDeadline is the time after which a node counts as notified of a change of the endpoint list.
// It runs from the moment at which the discovery service knows of the change and is reachable. Failed calls
// do not extend it.
const NotificationDeadline = 6 * time.Second

// UpdateKind says what the endpoints of an update stand for.
type UpdateKind uint8

// The kinds of an endpoint update.
const (
	UpdateDelta    UpdateKind = iota // changed endpoints only
	UpdateSnapshot                   // all endpoints
	UpdateCached                     // all endpoints as of some time ago
)

func (k UpdateKind) String() string { return enumName(k, "delta", "snapshot", "cached") }

// Request is a client's request on its arrival.
type Request struct {
	ID       RequestID
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants; other values have no quota
	Timeout  time.Duration // the client disconnects after this time
	CostHint time.Duration // estimated work on a server; 0: unknown
}

// Status says how an attempt ended.
type Status uint8

// The ends of an attempt.
const (
	OK            Status = iota // succeeded
	ServerError                 // the server responded with an error; may have been executed
	Rejected                    // the server rejected it unread; not executed
	Timeout                     // no response in time; may have been executed, or still is
	ConnectFailed               // no connection to the server; not executed
	Reset                       // the connection broke; may have been executed
	Cancelled                   // cancelled by Host.Cancel; may have been executed
	NotSent                     // not sent; not executed
)

func (s Status) String() string {
	return enumName(s, "ok", "server error", "rejected", "timeout", "connect failed", "reset", "cancelled",
		"not sent")
}

// NotExecuted reports whether an attempt of this status is known not to have been executed.
func (s Status) NotExecuted() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// Outcome reports the end of one attempt. Each Host.Send is followed by one.
type Outcome struct {
	ID               RequestID
	Attempt          int // index among the sends of this request, from 0
	Server           ServerID
	Status           Status
	RequestCompleted bool          // the client has its final response, by this outcome or before
	Latency          time.Duration // time since the send
}

// Host carries out the actions of a Balancer. It is called from within the Balancer's
// methods and must not call the Balancer back.
type Host interface {
	// Send starts an attempt. It is limited by timeout, or by the client's own time-out if that is 0.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Cancel stops waiting for an attempt in flight, whose Outcome still follows.
	Cancel(id RequestID, attempt int)
	// Reject ends a request with Retry-After. It guarantees that the client may safely retry.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request with an error that does not say whether it was executed.
	Fail(id RequestID)
	// SetTimer requests a Timer event with the token at the given time, after the current event.
	SetTimer(at time.Duration, token uint64)
	// WatchEndpoints subscribes to changes of the endpoint list, with Settings.PollEndpoints.
	WatchEndpoints()
}

// enumName returns the name of an enumerated value, or its number if it has none.
func enumName[T ~uint8](value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return strconv.Itoa(int(value))
}
