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

// The probabilities with which a server injects each fault into its response to an attempt.
const (
	errorShare        = 0.02
	resetShare        = 0.02
	notProcessedShare = 0.02
)

// serverFault is the fault that a server injects into its response to an attempt.
type serverFault int

const (
	faultNone         serverFault = iota // status 200
	faultNotProcessed                    // status 503 with X-Not-Processed: the request was not executed
	faultError                           // status 500
	faultReset                           // the connection is closed without a response
)

// chooseFault returns a random fault. The probability of each fault is its share: errorShare, resetShare or
// notProcessedShare.
func chooseFault() serverFault {
	chosen := rand.Float64()
	switch {
	case chosen < notProcessedShare:
		return faultNotProcessed
	case chosen < notProcessedShare+errorShare:
		return faultError
	case chosen < notProcessedShare+errorShare+resetShare:
		return faultReset
	}
	return faultNone
}

// meanServiceTime is the mean time that a server takes to process a request.
const meanServiceTime = 3 * time.Millisecond

// Values of endpointjson.Endpoint.Lifecycle.
const (
	lifecycleReady    = "Ready"
	lifecycleDraining = "Terminating"
	lifecycleRemoved  = "Gone"
)

// server is one process of a server. It continues to serve when it is draining or removed, so that attempts that
// a node still sends to it are recorded.
type server struct {
	record   *history.Server
	history  *history.History
	endpoint endpointjson.Endpoint
}

// startServer starts a server, which stops at the end of the test. The parameter joinedAt is the time at which it
// starts; zero if it is listed from the start of the run.
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

// ServeHTTP implements http.Handler. It records the attempt before it responds.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.record.RecordArrival(now)
	timeoutText := r.Header.Get("X-Timeout-Ms")
	timeoutMs, err := strconv.Atoi(timeoutText)
	if err != nil {
		s.history.RecordViolationf("deadline", nil, "server %s received an attempt with X-Timeout-Ms %q, want an integer",
			s.record.ID, timeoutText)
	}
	fault := chooseFault()
	s.history.RecordAttempt(r.Header.Get("X-Request-Id"), history.Attempt{
		Server: s.record, At: now, Timeout: time.Duration(timeoutMs) * time.Millisecond,
		NotExecuted: fault == faultNotProcessed,
	})
	if s.record.Unresponsive.Load() {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanServiceTime)))
	switch fault {
	case faultNotProcessed:
		testkit.NotProcessed(w, r)
	case faultError:
		testkit.ServerError(w, r)
	case faultReset:
		testkit.CloseWithoutResponse(w, r)
	case faultNone:
		testkit.OK(w, r)
	}
}
