// Package policy makes the decisions of an HTTP load balancer that runs as a
// small bank of nodes: which server gets a request, when another attempt is
// made, what is refused, and how a list of servers is followed.
//
// A Balancer is driven by events (one method each) and answers by calling the
// actions of its Host. It has no clock, no goroutine and no global state: time
// is what the events say, and the same events with the same seed give the same
// actions. It is not safe for concurrent use: one caller at a time.
package policy

import "time"

// RequestID names a client request; the host chooses it and never repeats it.
type RequestID uint32

// ServerID names a server. It is opaque: equal ids mean the same server.
type ServerID uint64

// Idempotency tells what a repeat of a request would do.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are dropped inside Class.Scope for Class.Window
	NotIdempotent                        // must never run twice
)

// KeyScope is the group of servers that drops the repeats of a keyed request.
type KeyScope uint8

// The scopes of a keyed class.
const (
	KeyScopeAll  KeyScope = iota // every server
	KeyScopeZone                 // the servers of one zone
	KeyScopeCell                 // the servers of one cell
)

// Class is a class of requests.
type Class struct {
	Deadline         time.Duration // a client's whole patience, over all of its tries
	Objective        time.Duration // an answer inside it earns its full value; 0: the deadline
	ObjectivePerWork float64       // if set, this multiple of the request's own work is added to the objective
	LateFraction     float64       // share of the value that a later answer earns
	PriorityWeight   float64       // value of one request, or of one unit of work
	Idempotency      Idempotency
	KeyScope         KeyScope      // for Keyed
	KeyRetention     time.Duration // for Keyed: how long repeats are dropped, from the first send
	Streaming        bool          // the answer is a stream; see Balancer.Started
}

// Tenant is a party with a share in the fleet.
type Tenant struct {
	QuotaPerS float64 // requests a second, over all nodes; 0: no limit
}

// Limits is what a site permits.
type Limits struct {
	MaxAttempts   int           // attempts for one request
	Hedging       bool          // two attempts of a request may be out together
	Cancel        bool          // Host.Cancel may be used
	MaxRetryAfter time.Duration // the longest wait that clients heed; 0: they heed none
}

// Rules holds the figures of the rules that a node keeps on its own.
type Rules struct {
	SlowStartShare    float64       // a server starts at this share of its capacity or above
	SlowStartDuration time.Duration // and is warm after this at most
	OverloadMultiple  float64       // a cold server sent more than this multiple of its present capacity
	OverloadWindow    time.Duration // for this long falls over
	MaxPollInterval   time.Duration // with ListAsked: the longest time without asking
	AnswerGrace       time.Duration // a final answer still counts so long after the client's time is up
}

// Settings is what an instance is told at its start.
type Settings struct {
	Nodes             int // nodes of this tier, this one included
	Node              int // the number of this one among them, from 0
	Zone              int // where this node stands
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64       // value of a request beyond its tenant's quota, as a share of its class's
	WeightByWork      bool          // value counts for each unit of work instead of for each request
	PollEndpoints     bool          // the server list comes only to those who watch it; else it is pushed
	Tick              time.Duration // the longest that an event may wait for the next batch
	Limits            Limits
	Rules             Rules
}

// EndpointState is what the list says of a server.
type EndpointState uint8

// The states of a listed server.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Endpoint is a line of the server list.
type Endpoint struct {
	Server    ServerID
	Zone      int
	Cell      int
	State     EndpointState
	Weight    float64       // rough size, comparable across servers; 0: unknown
	StartedAt time.Duration // time of its latest start; 0: long past
}

// NotificationDeadline is when the news of discovery count as told at the latest, from when it had them and
// could be reached, whatever became of the calls until then.
const NotificationDeadline = 6 * time.Second

// UpdateKind tells how to read a Members event.
type UpdateKind uint8

// The kinds of a list event.
const (
	UpdateDelta    UpdateKind = iota // changed entries only
	UpdateSnapshot                   // all servers
	UpdateCached                     // all servers as known some time ago
)

// Request is a client's request as it comes in.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	Timeout  time.Duration // the client gives this try up after so long
	CostHint time.Duration // rough cost in work; 0: unknown
}

// Status tells how an attempt ended.
type Status uint8

// The ends of an attempt.
const (
	OK            Status = iota // served
	ServerError                 // the server answered with an error; may have run
	Rejected                    // turned away unseen; has not run
	Timeout                     // no answer in time; may have run or run still
	ConnectFailed               // no connection; has not run
	Reset                       // the connection dropped; may have run
	Cancelled                   // cancelled; may have run
	NotSent                     // never sent; has not run
)

// NeverRan tells whether an attempt that ended so is known not to have run.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// Outcome reports the end of one attempt. Each Host.Send is followed by one.
type Outcome struct {
	ID           RequestID
	Attempt      int // 0, 1, 2 ... in the order of the sends for this request
	Server       ServerID
	Status       Status
	RequestEnded bool          // the request has its final answer, by this outcome or before
	Latency      time.Duration // time since the send
}

// Host carries out the actions of a Balancer. Calls come from within the
// Balancer's own methods; a Host must not call back into it.
type Host interface {
	// Send starts an attempt. A timeout of 0 lasts until the client gives up.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Cancel stops waiting for an attempt that is out.
	Cancel(id RequestID, attempt int)
	// Reject is a final answer and a promise: trying again does no harm.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// SetTimer asks for a Timer event at the given time, after the present event.
	SetTimer(at time.Duration, token uint64)
	// WatchEndpoints subscribes to changes of the server list (with ListAsked).
	WatchEndpoints()
}
