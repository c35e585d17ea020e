package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/soak/history"
	"calicohinge/internal/testkit"
)

// The parts of the requests to which a server responds with a fault.
const (
	errorShare        = 0.02
	resetShare        = 0.02
	notProcessedShare = 0.02
)

// meanWork is the mean time that a server takes for a request.
const meanWork = 3 * time.Millisecond

// The lifecycle of a server in the JSON form of the endpoint list.
const (
	lifecycleReady    = "Ready"
	lifecycleDraining = "Terminating"
	lifecycleRemoved  = "Gone"
)

// server is one process of a server. It goes on serving when it is draining or removed, so that it sees who
// still sends to it.
type server struct {
	record   *history.Server
	history  *history.History
	endpoint endpointjson.Endpoint
}

// startServer starts a server. A zero joinedAt says that it is there from the start.
func startServer(t *testing.T, records *history.History, id string, joinedAt time.Time) *server {
	t.Helper()
	s := &server{record: &history.Server{ID: id, JoinedAt: joinedAt}, history: records}
	listener := testkit.NewServer(t, s).Listener
	s.endpoint = endpointjson.Endpoint{
		InstanceID: id, Address: listener.Addr().String(), Zone: "a", Lifecycle: lifecycleReady, Weight: 1,
	}
	if !joinedAt.IsZero() {
		s.endpoint.StartedUnixMilli = float64(joinedAt.UnixMilli())
	}
	records.AddServer(s.record)
	return s
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.record.RequestArrived(now)
	timeoutText := r.Header.Get("X-Timeout-Ms")
	timeoutMs, err := strconv.Atoi(timeoutText)
	if err != nil {
		s.history.Violate("deadline", nil, "server %s was given the time %q", s.record.ID, timeoutText)
	}
	fault := rand.Float64()
	notExecuted := fault < notProcessedShare
	s.history.AttemptArrived(r.Header.Get("X-Request-Id"), history.Attempt{
		Server: s.record, At: now, Timeout: time.Duration(timeoutMs) * time.Millisecond, NotExecuted: notExecuted,
	})
	if s.record.Hanging.Load() {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanWork)))
	switch {
	case notExecuted:
		testkit.NotProcessed(w, r)
	case fault < notProcessedShare+errorShare:
		testkit.ServerError(w, r)
	case fault < notProcessedShare+errorShare+resetShare:
		testkit.Reset(w, r)
	default:
		testkit.OK(w, r)
	}
}
