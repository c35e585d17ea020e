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
	began      time.Time
	requests   map[string]*Request
	servers    []*Server
	responses  int
	unread     int
	violations []Violation
	log        []string
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
	return &History{Lag: lag, began: time.Now(), requests: map[string]*Request{}}
}

// Begin makes the present the time from which the times of a run count.
func (h *History) Begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began = time.Now()
}

// Began returns the time from which the times of a run count.
func (h *History) Began() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.began
}

// Logf adds a line to the timeline of the run.
func (h *History) Logf(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(h.began).Seconds()) + fmt.Sprintf(format, arguments...)
	h.log = append(h.log, line)
}

// Timeline returns the lines of Logf.
func (h *History) Timeline() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.log)
}

// RequestSent records a request before its first byte is sent, and sets its time.
func (h *History) RequestSent(request *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.SentAt = time.Now()
	h.requests[request.ID] = request
}

// ClientDisconnects records that the client of a request is about to disconnect.
func (h *History) ClientDisconnects(request *Request) {
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

// CountUnread counts a request that no node read: its connection was reset in the accept queue of a node
// that shut down.
func (h *History) CountUnread() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unread++
}

// AttemptArrived records an attempt of the request with an ID at a server.
func (h *History) AttemptArrived(id string, attempt Attempt) {
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

// Violate records a violation that is seen now.
func (h *History) Violate(rule string, incarnation *Incarnation, format string, arguments ...any) {
	h.AddViolation(Violation{
		Rule: rule, At: time.Now(), Incarnation: incarnation, Text: fmt.Sprintf(format, arguments...),
	})
}

// AddViolation records a violation.
func (h *History) AddViolation(violation Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, violation)
}

// Summary is a history in numbers, with its violations.
type Summary struct {
	Requests   int
	Responses  int // requests with a complete response
	Unread     int // requests whose connections were reset in the accept queue of a node that shut down
	Violations []Violation
}

// Summary returns a summary.
func (h *History) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Requests: len(h.requests), Responses: h.responses, Unread: h.unread, Violations: slices.Clone(h.violations),
	}
}
