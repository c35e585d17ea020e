package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// soakServer is one process of a server. It goes on serving after it was drained or removed, so that it
// sees who still sends to it.
type soakServer struct {
	records  *soakRecords
	endpoint endpointjson.Endpoint
	work     time.Duration // mean time for a request
	joinedAt time.Time     // when it was listed first; zero: it was there from the start
	hanging  atomic.Bool   // it begins requests and does not answer

	leftGeneration atomic.Uint64 // of the list that first showed it as draining or gone; 0: none

	mu       sync.Mutex
	arrivals []time.Time
}

// newSoakServer starts a server with an ID.
func newSoakServer(t *testing.T, records *soakRecords, id string, work time.Duration) *soakServer {
	t.Helper()
	s := &soakServer{records: records, work: work}
	server := testkit.NewServer(t, s)
	s.endpoint = endpointjson.Endpoint{
		InstanceID: id, Address: server.Listener.Addr().String(), Zone: "a", Lifecycle: "Ready", Weight: 1,
	}
	return s
}

// The parts of the requests that a server answers with a fault.
const (
	errorShare        = 0.02
	resetShare        = 0.02
	notProcessedShare = 0.02
)

// ServeHTTP implements http.Handler.
func (s *soakServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	s.mu.Unlock()
	milliseconds, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	if err != nil {
		s.records.violate("deadline", nil, "server %s was told the time %q", s.endpoint.InstanceID, r.Header.Get("X-Timeout-Ms"))
	}
	fate := rand.Float64()
	notExecuted := fate < notProcessedShare
	s.records.arrived(r.Header.Get("X-Request-Id"), soakAttempt{
		server: s, at: now, timeout: time.Duration(milliseconds) * time.Millisecond, notExecuted: notExecuted,
	})
	if s.hanging.Load() {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(s.work)))
	switch {
	case notExecuted:
		testkit.NotProcessed(w, r)
	case fate < notProcessedShare+errorShare:
		testkit.ServerError(w, r)
	case fate < notProcessedShare+errorShare+resetShare:
		testkit.Reset(w, r)
	default:
		testkit.OK(w, r)
	}
}

// arrivalsBetween counts the requests that arrived in a time.
func (s *soakServer) arrivalsBetween(from, to time.Time) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.arrivals {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
