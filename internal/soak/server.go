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

// The shares of the requests to which a server responds with a fault.
const (
	errorShare        = 0.02
	resetShare        = 0.02
	notProcessedShare = 0.02
)

// serverFault is the fault with which a server responds to a request.
type serverFault int

const (
	faultNone         serverFault = iota // status 200
	faultNotProcessed                    // not executed, with status 503
	faultError                           // status 500
	faultReset                           // the connection is closed without a response
)

// chooseFault chooses a fault, according to the shares.
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

// meanServiceTime is the mean time that a server takes for a request.
const meanServiceTime = 3 * time.Millisecond

// The lifecycle of a server in the JSON form of the endpoint list.
const (
	lifecycleReady    = "Ready"
	lifecycleDraining = "Terminating"
	lifecycleRemoved  = "Gone"
)

// server is one process of a server. It goes on serving when it is draining or removed, so that requests which
// a node sends to it after that are recorded.
type server struct {
	record   *history.Server
	history  *history.History
	endpoint endpointjson.Endpoint
}

// startServer starts a server. A zero joinedAt means that it is listed from the start of the run.
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
	s.record.RecordArrival(now)
	timeoutText := r.Header.Get("X-Timeout-Ms")
	timeoutMs, err := strconv.Atoi(timeoutText)
	if err != nil {
		s.history.RecordViolationf("deadline", nil, "server %s was given the time %q", s.record.ID, timeoutText)
	}
	fault := chooseFault()
	s.history.RecordAttempt(r.Header.Get("X-Request-Id"), history.Attempt{
		Server: s.record, At: now, Timeout: time.Duration(timeoutMs) * time.Millisecond,
		NotExecuted: fault == faultNotProcessed,
	})
	if s.record.Hanging.Load() {
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
		testkit.Reset(w, r)
	case faultNone:
		testkit.OK(w, r)
	}
}
