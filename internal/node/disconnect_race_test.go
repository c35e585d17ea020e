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

// requestStage is a stage in the lifecycle of a request. The client disconnects when its request is in this stage.
type requestStage struct {
	class          string
	handle         http.HandlerFunc                        // handler of both servers
	otherRequests  int                                     // number of earlier requests, which use all server capacity
	triggerAttempt func(s *testHandler, now time.Duration) // makes the balancer decide on the next attempt
	sent           int                                     // number of attempts sent before the disconnect
	inFlight       int                                     // number of attempts in flight at the disconnect
}

func requestStages() map[string]requestStage {
	return map[string]requestStage{
		"queued": {
			class: "pay", handle: testkit.Unresponsive(nil), otherRequests: 2, triggerAttempt: freeCapacity,
		},
		"waiting for a retry": {
			class: "read", handle: testkit.ServerError, triggerAttempt: advanceClock, sent: 1,
		},
		"in flight before a hedged request": {
			class: "read", handle: testkit.Unresponsive(nil), triggerAttempt: advanceClock, sent: 1, inFlight: 1,
		},
	}
}

// advanceClock makes retries and hedged requests due.
func advanceClock(s *testHandler, now time.Duration) { s.loop.advanceClock(now) }

// freeCapacity ends an attempt in flight, so that the balancer can send a queued request.
func freeCapacity(s *testHandler, now time.Duration) {
	for _, r := range s.loop.requests.byID {
		if r.inFlight > 0 {
			s.loop.reportOutcome(now, r, 0, upstream.Result{Status: policy.StatusOK})
			return
		}
	}
}

// disconnectMode is a way in which a client disconnects.
type disconnectMode struct {
	extraBytes string // bytes that the same write sends right after the request
	disconnect func(nc *net.TCPConn)
}

func disconnectModes() map[string]disconnectMode {
	const pipelined = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: 2\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 9\r\n\r\n"
	unread := strings.Repeat("x", 9000)
	return map[string]disconnectMode{
		"close":                         {"", closeTCP},
		"reset":                         {"", resetConn},
		"half-close":                    {"", closeWrite},
		"pipelined request, then close": {pipelined, closeTCP},
		"extra bytes, then close":       {unread, closeTCP},
		"late partial request, then close": {"", func(nc *net.TCPConn) {
			send(nc, "GET /read HTTP/1.1\r\nHost: x")
			closeQuietly(nc)
		}},
		"late extra bytes, then reset": {"", func(nc *net.TCPConn) { send(nc, unread); resetConn(nc) }},
	}
}

// A client may disconnect just as the balancer decides on the next attempt of its request. Whether the loop has handled
// the disconnect by then or only the socket shows it, no further attempt may be sent and the request must be released.
//
// A client that closes only its sending direction looks to the node as if it had closed the connection, until the node
// writes to the connection. Such a client counts as disconnected: the node closes the connection without a response.
func TestNoAttemptIsSentAfterADisconnect(t *testing.T) {
	t.Parallel()
	for stageName, stage := range requestStages() {
		for modeName, mode := range disconnectModes() {
			name := stageName + "/" + modeName
			t.Run(name+"/disconnect handled before the decision", func(t *testing.T) {
				t.Parallel()
				s := startPausedAt(t, stage, mode)
				s.disconnectBeforeDecision()
				s.wantNoFurtherAttemptSent()
			})
			t.Run(name+"/disconnect queued after the decision", func(t *testing.T) {
				t.Parallel()
				s := startPausedAt(t, stage, mode)
				s.disconnectAfterDecisionIsQueued()
				s.wantNoFurtherAttemptSent()
			})
		}
	}
}

// pausedRequest is a request in a given stage, with its loop paused.
type pausedRequest struct {
	*testHandler
	stage            requestStage
	mode             disconnectMode
	client           *net.TCPConn
	request          *request
	lastID           policy.RequestID // latest request ID when the loop was paused
	disconnectChecks chan bool        // results of the checks for a disconnect before an attempt is sent
	resume           func()           // resumes the loop
}

// startPausedAt sends a request to a new testHandler and pauses the loop when the request has reached the stage.
func startPausedAt(t *testing.T, stage requestStage, mode disconnectMode) *pausedRequest {
	t.Helper()
	server1, server2 := testkit.NewRecordingServer(t, stage.handle), testkit.NewRecordingServer(t, stage.handle)
	s := &pausedRequest{
		testHandler:      startHandler(t, server1.Endpoint("s-0"), server2.Endpoint("s-1")),
		stage:            stage,
		mode:             mode,
		disconnectChecks: make(chan bool, 10),
	}
	l := s.loop
	// A reported latency of 30 s keeps attempts from counting as unresponsive before the test advances the clock.
	l.runInLoop(func() {
		l.balancer.Request(l.clock.now(), policy.Request{ID: 1 << 31, Timeout: time.Hour})
		l.balancer.Outcome(l.clock.now(), policy.Outcome{ID: 1 << 31, RequestCompleted: true, Latency: 30 * time.Second})
	})
	for i := range stage.otherRequests {
		s.sendOnNewConn("pay", "")
		l.awaitRequests(i+1, i+1)
	}
	s.client = s.sendOnNewConn(stage.class, mode.extraBytes)
	l.awaitRequests(stage.otherRequests+1, stage.otherRequests+stage.inFlight)
	testkit.WaitUntil(t, "the servers to receive the attempts before the disconnect", func() bool {
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

// triggerAttempt makes the balancer decide on the next attempt.
func (s *pausedRequest) triggerAttempt(now time.Duration) {
	s.stage.triggerAttempt(s.testHandler, now)
}

// disconnectBeforeDecision disconnects the client and triggers the next attempt after the loop has handled the
// disconnect.
func (s *pausedRequest) disconnectBeforeDecision() {
	s.t.Helper()
	s.resume()
	s.mode.disconnect(s.client)
	s.loop.awaitRequests(s.stage.otherRequests, s.stage.otherRequests)
	s.loop.queue.post(eventFunc(s.triggerAttempt))
}

// disconnectAfterDecisionIsQueued disconnects the client after the event that triggers the next attempt was queued, so
// that only the socket shows the disconnect when the loop handles that event.
func (s *pausedRequest) disconnectAfterDecisionIsQueued() {
	s.t.Helper()
	s.loop.queue.post(eventFunc(s.triggerAttempt))
	nextPause := s.loop.queuePause()
	s.mode.disconnect(s.client)
	s.awaitDisconnect(s.client)
	s.resume()
	if !testkit.Receive(s.t, s.disconnectChecks, "the check for a disconnect before the attempt is sent") {
		s.t.Error("ClientDisconnected() = false after a disconnect, just before the attempt is sent; want true")
	}
	testkit.Receive(s.t, nextPause.reached, "the loop to reach the pause after the decision")
	nextPause.resume()
}

// wantNoFurtherAttemptSent fails the test unless the request is released with no response and no further attempt sent,
// and no other request has reached the loop.
func (s *pausedRequest) wantNoFurtherAttemptSent() {
	s.t.Helper()
	l, otherRequests := s.loop, s.stage.otherRequests
	if otherRequests > 0 {
		l.awaitRequests(otherRequests-1, otherRequests-1)
	} else {
		s.awaitNoRequests()
	}
	l.runInLoop(func() {
		if sent := countSentAttempts(s.request); sent != s.stage.sent || l.requests.lastID != s.lastID {
			s.t.Errorf("attempts sent: got %d, want %d; latest request ID in the loop: got %d, want %d",
				sent, s.stage.sent, l.requests.lastID, s.lastID)
		}
	})
	if text, err := io.ReadAll(s.client); len(text) > 0 || testkit.IsTimeout(err) {
		s.t.Errorf("the client received %q, error %v; want nothing and the end of the connection", text, err)
	}
}
