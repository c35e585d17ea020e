// Package history records the events of a soak run that the clients, the servers, the discovery service and the nodes
// observe. Package soak writes the history, package check reads it. All methods are safe for concurrent use. An
// exported field is set before goroutines share its struct, unless the comment of the field says otherwise.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// History is the record of a run.
type History struct {
	Discovery Discovery
	Lag       *SchedulingLag

	mu         sync.Mutex
	startTime  time.Time
	requests   map[string]*Request
	servers    []*Server
	responses  int
	resets     int
	violations []Violation
	timeline   []string
}

// Violation is one violation of a rule.
type Violation struct {
	Rule        string // short name of the rule
	At          time.Time
	Incarnation *Incarnation // the incarnation that violated the rule; nil if not known or not a specific one
	Text        string       // what was observed and what is allowed
}

// New returns the history of a run that starts now.
func New(lag *SchedulingLag) *History {
	return &History{Lag: lag, startTime: time.Now(), requests: map[string]*Request{}}
}

// Start sets the start time of the run to the current time.
func (h *History) Start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startTime = time.Now()
}

// StartTime returns the start time of the run. The timeline and the schedules count from it.
func (h *History) StartTime() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startTime
}

// Logf adds a line, preceded by the time since the start, to the timeline of the run.
func (h *History) Logf(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(h.startTime).Seconds()) + fmt.Sprintf(format, arguments...)
	h.timeline = append(h.timeline, line)
}

// Timeline returns the lines that Logf added.
func (h *History) Timeline() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.timeline)
}

// RecordRequest records a request and sets its SentAt. The client calls it before it sends the first byte.
func (h *History) RecordRequest(request *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.SentAt = time.Now()
	h.requests[request.ID] = request
}

// RecordDisconnect sets DisconnectedAt of a request whose client is about to disconnect.
func (h *History) RecordDisconnect(request *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.DisconnectedAt = time.Now()
}

// CountResponse counts a request whose response arrived completely.
func (h *History) CountResponse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses++
}

// CountReset counts a request that no node has read because its connection was reset in the accept queue of a node
// that shut down.
func (h *History) CountReset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resets++
}

// RecordAttempt records that an attempt of the request with the given ID arrived at a server. If no client has sent a
// request with this ID, it records a violation.
func (h *History) RecordAttempt(id string, attempt Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request := h.requests[id]
	if request == nil {
		text := fmt.Sprintf("server %s received an attempt of request %q, want the ID of a request that a client sent",
			attempt.Server.ID, id)
		h.violations = append(h.violations, Violation{Rule: "unknown", At: attempt.At, Text: text})
		return
	}
	request.Attempts = append(request.Attempts, attempt)
}

// Requests returns all requests, in no particular order. The requests change while clients and servers run.
func (h *History) Requests() []*Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := make([]*Request, 0, len(h.requests))
	for _, request := range h.requests {
		requests = append(requests, request)
	}
	return requests
}

// AddServer records a server process.
func (h *History) AddServer(server *Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, server)
}

// Servers returns all server processes.
func (h *History) Servers() []*Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.servers)
}

// RecordViolationf records a violation of a rule at the current time, with a formatted text.
func (h *History) RecordViolationf(rule string, incarnation *Incarnation, format string, arguments ...any) {
	h.RecordViolation(Violation{
		Rule: rule, At: time.Now(), Incarnation: incarnation, Text: fmt.Sprintf(format, arguments...),
	})
}

// RecordViolation records a violation.
func (h *History) RecordViolation(violation Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, violation)
}

// Summary contains the counts and the violations of a run.
type Summary struct {
	Requests   int // all requests
	Responses  int // requests with a complete response
	Resets     int // requests whose connection was reset in the accept queue of a node that shut down
	Violations []Violation
}

// Summary returns the summary of the events recorded so far.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Requests: len(h.requests), Responses: h.responses, Resets: h.resets, Violations: slices.Clone(h.violations),
	}
}
