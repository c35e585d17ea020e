package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// requestPoint is a point of a request's lifecycle at which its client disconnects.
type requestPoint struct {
	class    string
	serves   http.HandlerFunc
	others   int                                     // requests that use all capacity before
	due      func(s *testHandler, now time.Duration) // makes the balancer decide the next attempt
	started  int                                     // attempts that started before the client disconnects
	inFlight int                                     // attempts that are in flight when it disconnects
}

func requestPoints() map[string]requestPoint {
	return map[string]requestPoint{
		"queued": {
			class: "pay", serves: testkit.Unresponsive(nil), others: 2, due: freeCapacity,
		},
		"waits for a retry": {
			class: "read", serves: testkit.ServerError, due: advanceClock, started: 1,
		},
		"a hedged request": {
			class: "read", serves: testkit.Unresponsive(nil), due: advanceClock, started: 1, inFlight: 1,
		},
	}
}

// advanceClock makes retries and hedged requests fall due.
func advanceClock(s *testHandler, now time.Duration) { s.loop.advanceClock(now) }

// freeCapacity ends one of the attempts in flight, so that a queued request could be sent.
func freeCapacity(s *testHandler, now time.Duration) {
	for _, r := range s.loop.requests.byID {
		if r.inFlight > 0 {
			s.loop.reportOutcome(now, r, 0, upstream.Result{Status: policy.OK})
			return
		}
	}
}

// disconnection is how a client disconnects.
type disconnection struct {
	behind     string // sent behind the request
	disconnect func(nc *net.TCPConn)
}

func disconnections() map[string]disconnection {
	const pipelined = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: 2\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 9\r\n\r\n"
	readAhead := strings.Repeat("x", 9000)
	return map[string]disconnection{
		"closes":              {"", closeTCP},
		"resets":              {"", resetConn},
		"ends its sending":    {"", closeWrite},
		"pipelines, closes":   {pipelined, closeTCP},
		"sends much, closes":  {readAhead, closeTCP},
		"sends on, closes":    {"", func(nc *net.TCPConn) { send(nc, "GET /read HTTP/1.1\r\nHost: x"); closeQuietly(nc) }},
		"sends on and resets": {"", func(nc *net.TCPConn) { send(nc, readAhead); resetConn(nc) }},
	}
}

// A client disconnects at the moment at which the balancer decides the next attempt. The loop has the event, or
// only the socket shows the disconnect: no attempt starts, and the request is released. A client that only ends
// its sending looks like one that closes, until something is written to it. It counts as disconnected: its
// connection ends without a response.
func TestNoAttemptStartsAfterADisconnect(t *testing.T) {
	t.Parallel()
	for pointName, point := range requestPoints() {
		for disconnectionName, disconnection := range disconnections() {
			name := pointName + "/" + disconnectionName
			t.Run(name+"/before the decision", func(t *testing.T) {
				t.Parallel()
				s := startAtPoint(t, point, disconnection)
				s.disconnectBeforeDecision()
				s.noAttemptStarted()
			})
			t.Run(name+"/behind the decision", func(t *testing.T) {
				t.Parallel()
				s := startAtPoint(t, point, disconnection)
				s.disconnectBehindDecision()
				s.noAttemptStarted()
			})
		}
	}
}

// servedRequest is a request at a point of its lifecycle, in a loop that is paused there.
type servedRequest struct {
	*testHandler
	point         requestPoint
	disconnection disconnection
	client        *net.TCPConn
	request       *request
	lastID        policy.RequestID
	checked       chan bool // gets each result of the check before an attempt is written
	resume        func()    // of the loop
}

// startAtPoint brings a request to a point, and pauses the loop.
func startAtPoint(t *testing.T, point requestPoint, disconnection disconnection) *servedRequest {
	t.Helper()
	a, b := testkit.NewBackend(t, point.serves), testkit.NewBackend(t, point.serves)
	s := &servedRequest{
		testHandler:   startHandler(t, a.Endpoint("s-0"), b.Endpoint("s-1")),
		point:         point,
		disconnection: disconnection,
		checked:       make(chan bool, 10),
	}
	l := s.loop
	l.runInLoop(func() { // a request took half a minute here
		l.balancer.Request(l.clock.now(), policy.Request{ID: 1 << 31, Timeout: time.Hour})
		l.balancer.Outcome(l.clock.now(), policy.Outcome{ID: 1 << 31, RequestCompleted: true, Latency: 30 * time.Second})
	})
	for i := range point.others {
		s.sendOnNewConn("pay", "")
		l.awaitRequests(i+1, i+1)
	}
	s.client = s.sendOnNewConn(point.class, disconnection.behind)
	l.awaitRequests(point.others+1, point.others+point.inFlight)
	testkit.Until(t, "the attempts before", func() bool {
		return len(a.Requests)+len(b.Requests) == point.others+point.started
	})
	s.resume = l.pause()
	s.request, s.lastID = l.lastRequest(), l.requests.lastID
	conn := s.request.client
	s.request.client = clientFunc(func() bool {
		disconnected := conn.ClientDisconnected()
		s.checked <- disconnected
		return disconnected
	})
	return s
}

// decide makes the balancer decide the next attempt.
func (s *servedRequest) decide(now time.Duration) { s.point.due(s.testHandler, now) }

// disconnectBeforeDecision disconnects the client, so that the loop learns of it before the next decision.
func (s *servedRequest) disconnectBeforeDecision() {
	s.t.Helper()
	s.resume()
	s.disconnection.disconnect(s.client)
	s.loop.awaitRequests(s.point.others, s.point.others)
	s.loop.queue.post(eventFunc(s.decide))
}

// disconnectBehindDecision disconnects the client while the decision waits in the loop's queue, so that only the
// socket shows the disconnect.
func (s *servedRequest) disconnectBehindDecision() {
	s.t.Helper()
	s.loop.queue.post(eventFunc(s.decide))
	behind := s.loop.queuePause()
	s.disconnection.disconnect(s.client)
	s.awaitDisconnect(s.client)
	s.resume()
	if !testkit.Wait(s.t, s.checked, "the check before the write") {
		s.t.Error("the check before the write misses that the client disconnected")
	}
	testkit.Wait(s.t, behind.reached, "the loop")
	behind.resume()
}

// noAttemptStarted checks that the request has completed with no further attempt and no response.
func (s *servedRequest) noAttemptStarted() {
	s.t.Helper()
	l, others := s.loop, s.point.others
	if others > 0 {
		l.awaitRequests(others-1, others-1)
	} else {
		s.awaitNoRequests()
	}
	l.runInLoop(func() {
		if n := countStartedAttempts(s.request); n != s.point.started || l.requests.lastID != s.lastID {
			s.t.Errorf("%d attempts started, want %d; requests %d, want %d", n, s.point.started, l.requests.lastID, s.lastID)
		}
	})
	if text, err := io.ReadAll(s.client); len(text) > 0 || testkit.IsTimeout(err) {
		s.t.Errorf("the client received %q, %v", text, err)
	}
}
