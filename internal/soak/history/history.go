// Package history records what clients, servers, the discovery service and nodes of a soak run did and saw.
// Package soak writes it, package check reads it. All methods may be called from several goroutines; fields
// are set before their value is shared, unless their comment says otherwise.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// History is what happened in a run.
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

// Violation is a rule that was broken.
type Violation struct {
	Rule        string
	At          time.Time
	Incarnation *Incarnation // of the node; nil: none or unknown
	Text        string
}

// New returns the history of a run that begins now.
func New(lag *SchedulingLag) *History {
	return &History{Lag: lag, startTime: time.Now(), requests: map[string]*Request{}}
}

// Start makes the present the time from which the times of a run count.
func (h *History) Start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startTime = time.Now()
}

// StartTime returns the time from which the times of a run count.
func (h *History) StartTime() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startTime
}

// Logf adds a line to the timeline of the run.
func (h *History) Logf(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(h.startTime).Seconds()) + fmt.Sprintf(format, arguments...)
	h.timeline = append(h.timeline, line)
}

// Timeline returns the lines of Logf.
func (h *History) Timeline() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.timeline)
}

// RecordRequest records a request before its first byte is sent, and sets its time.
func (h *History) RecordRequest(request *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.SentAt = time.Now()
	h.requests[request.ID] = request
}

// RecordDisconnect records that the client of a request is about to disconnect.
func (h *History) RecordDisconnect(request *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.DisconnectedAt = time.Now()
}

// CountResponse counts a request with a complete response.
func (h *History) CountResponse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses++
}

// CountReset counts a request that no node read: its connection was reset in the accept queue of a node
// that shut down.
func (h *History) CountReset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resets++
}

// RecordAttempt records an attempt of the request with an ID at a server.
func (h *History) RecordAttempt(id string, attempt Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request := h.requests[id]
	if request == nil {
		h.violations = append(h.violations, Violation{Rule: "unknown", At: attempt.At, Text: "no client sent " + id})
		return
	}
	request.Attempts = append(request.Attempts, attempt)
}

// Requests returns all requests. They change while clients and servers run.
func (h *History) Requests() []*Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := make([]*Request, 0, len(h.requests))
	for _, request := range h.requests {
		requests = append(requests, request)
	}
	return requests
}

// AddServer records a process of a server.
func (h *History) AddServer(server *Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, server)
}

// Servers returns all processes of servers.
func (h *History) Servers() []*Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.servers)
}

// RecordViolationf records a violation that is seen now.
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

// Summary is a history in numbers, with its violations.
type Summary struct {
	Requests   int
	Responses  int // requests with a complete response
	Resets     int // requests whose connections were reset in the accept queue of a node that shut down
	Violations []Violation
}

// Summary returns a summary.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Requests: len(h.requests), Responses: h.responses, Resets: h.resets, Violations: slices.Clone(h.violations),
	}
}
