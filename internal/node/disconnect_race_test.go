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

// requestStage is a point of a request's lifecycle at which its client disconnects.
type requestStage struct {
	class          string
	handle         http.HandlerFunc
	otherRequests  int                                       // requests that use all capacity before
	triggerAttempt func(s *handlerServer, now time.Duration) // makes the balancer decide the next attempt
	sent           int                                       // attempts that started before the client disconnects
	inFlight       int                                       // attempts that are in flight when it disconnects
}

func requestStages() map[string]requestStage {
	return map[string]requestStage{
		"queued": {
			class: "pay", handle: testkit.Unresponsive(nil), otherRequests: 2, triggerAttempt: freeCapacity,
		},
		"waits for a retry": {
			class: "read", handle: testkit.ServerError, triggerAttempt: advanceClock, sent: 1,
		},
		"a hedged request": {
			class: "read", handle: testkit.Unresponsive(nil), triggerAttempt: advanceClock, sent: 1, inFlight: 1,
		},
	}
}

// advanceClock makes retries and hedged requests fall due.
func advanceClock(s *handlerServer, now time.Duration) { s.loop.advanceClock(now) }

// freeCapacity ends one of the attempts in flight, so that a queued request could be sent.
func freeCapacity(s *handlerServer, now time.Duration) {
	for _, r := range s.loop.requests.byID {
		if r.inFlight > 0 {
			s.loop.reportOutcome(now, r, 0, upstream.Result{Status: policy.OK})
			return
		}
	}
}

// disconnectMode is how a client disconnects.
type disconnectMode struct {
	extraBytes string // sent behind the request
	disconnect func(nc *net.TCPConn)
}

func disconnectModes() map[string]disconnectMode {
	const pipelined = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: 2\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 9\r\n\r\n"
	unread := strings.Repeat("x", 9000)
	return map[string]disconnectMode{
		"closes":              {"", closeTCP},
		"resets":              {"", resetConn},
		"ends its sending":    {"", closeWrite},
		"pipelines, closes":   {pipelined, closeTCP},
		"sends much, closes":  {unread, closeTCP},
		"sends on, closes":    {"", func(nc *net.TCPConn) { send(nc, "GET /read HTTP/1.1\r\nHost: x"); closeConn(nc) }},
		"sends on and resets": {"", func(nc *net.TCPConn) { send(nc, unread); resetConn(nc) }},
	}
}

// A client disconnects at the moment at which the balancer decides the next attempt. The loop has the event, or
// only the socket shows the disconnect: no attempt starts, and the request is released. A client that only ends
// its sending looks like one that closes, until something is written to it. It counts as disconnected: its
// connection ends without a response.
func TestNoAttemptIsSentAfterADisconnect(t *testing.T) {
	t.Parallel()
	for stageName, stage := range requestStages() {
		for modeName, mode := range disconnectModes() {
			name := stageName + "/" + modeName
			t.Run(name+"/before the decision", func(t *testing.T) {
				t.Parallel()
				s := startPausedAt(t, stage, mode)
				s.disconnectBeforeDecision()
				s.wantNoFurtherAttemptSent()
			})
			t.Run(name+"/behind the decision", func(t *testing.T) {
				t.Parallel()
				s := startPausedAt(t, stage, mode)
				s.disconnectAfterDecisionIsQueued()
				s.wantNoFurtherAttemptSent()
			})
		}
	}
}

// pausedRequest is a request at a point of its lifecycle, in a loop that is paused there.
type pausedRequest struct {
	*handlerServer
	stage            requestStage
	mode             disconnectMode
	client           *net.TCPConn
	request          *request
	lastID           policy.RequestID
	disconnectChecks chan bool // gets each result of the check before an attempt is written
	resume           func()    // of the loop
}

// startPausedAt brings a request to a point, and pauses the loop.
func startPausedAt(t *testing.T, stage requestStage, mode disconnectMode) *pausedRequest {
	t.Helper()
	server1, server2 := testkit.NewBackend(t, stage.handle), testkit.NewBackend(t, stage.handle)
	s := &pausedRequest{
		handlerServer:    startHandler(t, server1.Endpoint("s-0"), server2.Endpoint("s-1")),
		stage:            stage,
		mode:             mode,
		disconnectChecks: make(chan bool, 10),
	}
	l := s.loop
	l.inLoop(func() { // a request took half a minute here
		l.balancer.Request(l.clock.now(), policy.Request{ID: 1 << 31, Timeout: time.Hour})
		l.balancer.Outcome(l.clock.now(), policy.Outcome{ID: 1 << 31, RequestCompleted: true, Latency: 30 * time.Second})
	})
	for i := range stage.otherRequests {
		s.sendOnNewConn("pay", "")
		l.awaitRequests(i+1, i+1)
	}
	s.client = s.sendOnNewConn(stage.class, mode.extraBytes)
	l.awaitRequests(stage.otherRequests+1, stage.otherRequests+stage.inFlight)
	testkit.Until(t, "the attempts before", func() bool {
		return len(server1.Requests)+len(server2.Requests) == stage.otherRequests+stage.sent
	})
	s.resume = l.pause()
	s.request, s.lastID = l.lastRequest(), l.requests.lastID
	conn := s.request.client
	s.request.client = clientFunc(func() bool {
		disconnected := conn.ClientDisconnected()
		s.disconnectChecks <- disconnected
		return disconnected
	})
	return s
}

// triggerAttempt makes the balancer decide the next attempt.
func (s *pausedRequest) triggerAttempt(now time.Duration) {
	s.stage.triggerAttempt(s.handlerServer, now)
}

// disconnectBeforeDecision disconnects the client, so that the loop learns of it before the next decision.
func (s *pausedRequest) disconnectBeforeDecision() {
	s.t.Helper()
	s.resume()
	s.mode.disconnect(s.client)
	s.loop.awaitRequests(s.stage.otherRequests, s.stage.otherRequests)
	s.loop.queue.post(eventFunc(s.triggerAttempt))
}

// disconnectAfterDecisionIsQueued disconnects the client while the decision waits in the loop's queue, so that only the
// socket shows the disconnect.
func (s *pausedRequest) disconnectAfterDecisionIsQueued() {
	s.t.Helper()
	s.loop.queue.post(eventFunc(s.triggerAttempt))
	nextPause := s.loop.queuePause()
	s.mode.disconnect(s.client)
	s.awaitDisconnect(s.client)
	s.resume()
	if !testkit.Wait(s.t, s.disconnectChecks, "the check before the write") {
		s.t.Error("the check before the write misses that the client disconnected")
	}
	testkit.Wait(s.t, nextPause.reached, "the loop")
	nextPause.resume()
}

// wantNoFurtherAttemptSent checks that the request has completed with no further attempt and no response.
func (s *pausedRequest) wantNoFurtherAttemptSent() {
	s.t.Helper()
	l, otherRequests := s.loop, s.stage.otherRequests
	if otherRequests > 0 {
		l.awaitRequests(otherRequests-1, otherRequests-1)
	} else {
		s.awaitNoRequests()
	}
	l.inLoop(func() {
		if sent := startedAttempts(s.request); sent != s.stage.sent || l.requests.lastID != s.lastID {
			s.t.Errorf("%d attempts started, want %d; requests %d, want %d",
				sent, s.stage.sent, l.requests.lastID, s.lastID)
		}
	})
	if text, err := io.ReadAll(s.client); len(text) > 0 || testkit.IsTimeout(err) {
		s.t.Errorf("the client received %q, %v", text, err)
	}
}
