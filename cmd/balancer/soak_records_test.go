package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// soakClass is a class of requests.
type soakClass struct {
	name, effect string
	deadline     time.Duration
	keyRetention time.Duration // of a class that is idempotent with a key, else 0
}

// The effects of a class, as the settings name them.
const (
	effectPure       = "pure"
	effectToken      = "token"
	effectSideEffect = "side_effect"
)

// soakRequest is a request as its client saw it, with the attempts that servers saw.
type soakRequest struct {
	id          string
	incarnation *soakIncarnation
	class       soakClass
	timeout     time.Duration
	sentAt      time.Time
	leftAt      time.Time // when the client disconnected; zero: it waited
	attempts    []soakAttempt
}

// soakAttempt is one arrival of a request at a server.
type soakAttempt struct {
	server      *soakServer
	at          time.Time
	timeout     time.Duration // that the server was told
	notExecuted bool          // the server said so
}

// soakViolation is a rule that was broken.
type soakViolation struct {
	rule        string
	at          time.Time
	incarnation *soakIncarnation
	text        string
}

// soakRecords are what clients and servers saw. Its methods may be called from several goroutines.
type soakRecords struct {
	began time.Time

	mu         sync.Mutex
	requests   map[string]*soakRequest
	answered   int
	unread     int // requests whose connections were reset in the accept queue of a node that ended
	violations []soakViolation
}

func newSoakRecords() *soakRecords {
	return &soakRecords{began: time.Now(), requests: map[string]*soakRequest{}}
}

// sent records a request before its first byte is sent.
func (r *soakRecords) sent(request *soakRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.sentAt = time.Now()
	r.requests[request.id] = request
}

// left records that a client is about to disconnect.
func (r *soakRecords) left(request *soakRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.leftAt = time.Now()
}

func (r *soakRecords) countAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered++
}

func (r *soakRecords) countUnread() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread++
}

// arrived records an attempt. It returns the request, nil if no client sent one with this ID.
func (r *soakRecords) arrived(id string, attempt soakAttempt) *soakRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[id]
	if request == nil {
		r.violations = append(r.violations, soakViolation{"unknown", attempt.at, nil, "no client sent " + id})
		return nil
	}
	request.attempts = append(request.attempts, attempt)
	return request
}

// violate records a violation.
func (r *soakRecords) violate(rule string, incarnation *soakIncarnation, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, soakViolation{rule, time.Now(), incarnation, fmt.Sprintf(format, arguments...)})
}

// schedulingLag tells how late this process itself was at any time, which its records are then too.
type schedulingLag struct {
	mu      sync.Mutex
	samples []lagSample
	stop    chan struct{}
}

type lagSample struct {
	at  time.Time
	lag time.Duration
}

// lagInterval is how often the lag is measured.
const lagInterval = 5 * time.Millisecond

func startSchedulingLag() *schedulingLag {
	l := &schedulingLag{stop: make(chan struct{})}
	go l.measure()
	return l
}

func (l *schedulingLag) measure() {
	for {
		before := time.Now()
		select {
		case <-l.stop:
			return
		case <-time.After(lagInterval):
		}
		if lag := time.Since(before) - lagInterval; lag > lagInterval {
			l.mu.Lock()
			l.samples = append(l.samples, lagSample{time.Now(), lag})
			l.mu.Unlock()
		}
	}
}

// around returns the greatest lag within half a second of a time.
func (l *schedulingLag) around(at time.Time) (greatest time.Duration) {
	const reach = 500 * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	first, _ := slices.BinarySearchFunc(l.samples, at.Add(-reach), func(s lagSample, t time.Time) int { return s.at.Compare(t) })
	for _, sample := range l.samples[first:] {
		if sample.at.Sub(at) > reach+sample.lag {
			break
		}
		greatest = max(greatest, sample.lag)
	}
	return greatest
}
