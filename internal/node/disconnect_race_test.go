package node

import (
	"fmt"
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

// requestPoint is a point of a request's life at which its client disconnects.
type requestPoint struct {
	class    string
	serves   http.HandlerFunc
	others   int // requests that use all capacity before
	due      func(s *handlerServer) func(time.Duration)
	started  int // its attempts before the client disconnects
	inFlight int // and those that are in flight then
}

func requestPoints() map[string]requestPoint {
	clockAdvanced := func(s *handlerServer) func(time.Duration) { return s.loop.advanceClock }
	return map[string]requestPoint{
		"queued":            {"pay", testkit.Unresponsive(nil), 2, capacityFreed, 0, 0},
		"waits for a retry": {"read", testkit.ServerError, 0, clockAdvanced, 1, 0},
		"a hedged request":  {"read", testkit.Unresponsive(nil), 0, clockAdvanced, 1, 1},
	}
}

// capacityFreed ends one of the attempts in flight, so that a queued request could be sent.
func capacityFreed(s *handlerServer) func(time.Duration) {
	return func(now time.Duration) {
		for _, r := range s.loop.requests.active {
			if r.inFlight > 0 {
				s.loop.reportOutcome(now, r, 0, upstream.Result{Status: policy.OK})
				return
			}
		}
	}
}

// disconnection is a way for a client to disconnect.
type disconnection struct {
	behind     string // sent behind the request
	disconnect func(nc *net.TCPConn)
}

func disconnections() map[string]disconnection {
	const pipelined = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: 2\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 9\r\n\r\n"
	readAhead := strings.Repeat("x", 9000)
	closes := func(nc *net.TCPConn) { closeConn(nc) }
	return map[string]disconnection{
		"closes":              {"", closes},
		"resets":              {"", resetConn},
		"ends its sending":    {"", closeWrite},
		"asks twice, closes":  {pipelined, closes},
		"sends much, closes":  {readAhead, closes},
		"sends on, closes":    {"", func(nc *net.TCPConn) { send(nc, "GET /read HTTP/1.1\r\nHost: x"); closeConn(nc) }},
		"sends on and resets": {"", func(nc *net.TCPConn) { send(nc, readAhead); resetConn(nc) }},
	}
}

// A client disconnects in the moment in which the balancer decides the next attempt, whether the
// loop has the event or only the socket shows it: no attempt starts, and nothing stays behind.
// One that ends its sending only looks like one that closes, until something is written to
// it. It counts as disconnected, so its connection ends with no response.
func TestNoAttemptStartsAfterADisconnect(t *testing.T) {
	for pointName, point := range requestPoints() {
		for wayName, way := range disconnections() {
			t.Run(fmt.Sprintf("%s/%s/event=true", pointName, wayName), func(t *testing.T) {
				t.Parallel()
				s := startAtPoint(t, point, way)
				s.disconnectBeforeDecision(point, way)
				s.noAttemptStarted(point)
			})
			t.Run(fmt.Sprintf("%s/%s/event=false", pointName, wayName), func(t *testing.T) {
				t.Parallel()
				s := startAtPoint(t, point, way)
				s.disconnectBehindDecision(point, way)
				s.noAttemptStarted(point)
			})
		}
	}
}

// servedRequest is a request at a point of its life, in a loop that is paused there.
type servedRequest struct {
	*handlerServer
	client  *net.TCPConn
	request *request
	lastID  policy.RequestID
	checked chan bool // gets each result of the check before an attempt is written
	resume  func()    // of the loop
}

// startAtPoint brings a request to a point, and pauses the loop.
func startAtPoint(t *testing.T, point requestPoint, way disconnection) *servedRequest {
	t.Helper()
	a, b := testkit.NewBackend(t, point.serves), testkit.NewBackend(t, point.serves)
	s := &servedRequest{handlerServer: startHandler(t, a.Endpoint("s-0"), b.Endpoint("s-1")), checked: make(chan bool, 10)}
	l := s.loop
	l.inLoop(t, func() { // a request took half a minute here
		l.balancer.Request(l.clock.now(), policy.Request{ID: 1 << 31, Timeout: time.Hour})
		l.balancer.Outcome(l.clock.now(), policy.Outcome{ID: 1 << 31, RequestCompleted: true, Latency: 30 * time.Second})
	})
	for i := range point.others {
		s.sendOnNewConn("pay", "")
		l.awaitRequests(t, i+1, i+1)
	}
	s.client = s.sendOnNewConn(point.class, way.behind)
	l.awaitRequests(t, point.others+1, point.others+point.inFlight)
	testkit.Until(t, "the attempts before", func() bool {
		return len(a.Requests)+len(b.Requests) == point.others+point.started
	})
	reached, resume := l.pause(t)
	testkit.Wait(t, reached, "the loop")
	s.request, s.lastID, s.resume = l.requests.get(l.requests.lastID), l.requests.lastID, resume
	conn := s.request.client
	s.request.client = clientFunc(func() bool {
		disconnected := conn.ClientDisconnected()
		s.checked <- disconnected
		return disconnected
	})
	return s
}

// disconnectBeforeDecision has the loop learn of the disconnect before the next decision.
func (s *servedRequest) disconnectBeforeDecision(point requestPoint, way disconnection) {
	s.t.Helper()
	s.resume()
	way.disconnect(s.client)
	s.loop.awaitRequests(s.t, point.others, point.others)
	s.loop.queue.post(eventFunc(point.due(s.handlerServer)))
}

// disconnectBehindDecision has the client disconnect while the decision waits in the loop's
// queue, so that only the socket shows it.
func (s *servedRequest) disconnectBehindDecision(point requestPoint, way disconnection) {
	s.t.Helper()
	s.loop.queue.post(eventFunc(point.due(s.handlerServer)))
	behind, resumeAgain := s.loop.pause(s.t)
	way.disconnect(s.client)
	s.awaitDisconnect(s.client)
	s.resume()
	if !testkit.Wait(s.t, s.checked, "the check before the write") {
		s.t.Error("the check before the write misses that the client disconnected")
	}
	testkit.Wait(s.t, behind, "the loop")
	resumeAgain()
}

// noAttemptStarted checks that the request has ended with no further attempt and no response.
func (s *servedRequest) noAttemptStarted(point requestPoint) {
	s.t.Helper()
	l := s.loop
	if point.others > 0 {
		l.awaitRequests(s.t, point.others-1, point.others-1)
	} else {
		s.awaitNoRequests()
	}
	l.inLoop(s.t, func() {
		if n := startedAttempts(s.request); n != point.started || l.requests.lastID != s.lastID {
			s.t.Errorf("%d attempts started, want %d; requests %d, want %d", n, point.started, l.requests.lastID, s.lastID)
		}
	})
	if text, err := io.ReadAll(s.client); len(text) > 0 || testkit.IsTimeout(err) {
		s.t.Errorf("the client received %q, %v", text, err)
	}
}
