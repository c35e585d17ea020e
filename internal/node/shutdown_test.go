package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// SIGKILL comes 0.7 s after the longest deadline, counted as 3 s at most.
func TestShutdownGracePeriodEndsBeforeTheKill(t *testing.T) {
	for deadline, kill := range map[int]time.Duration{
		160: 860 * time.Millisecond, 3000: 3700 * time.Millisecond, 60000: 3700 * time.Millisecond,
	} {
		span := shutdownGracePeriod(testConfig(t, testkit.NewRegistry(t), withDeadlines(deadline)))
		if span >= kill || span <= kill-300*time.Millisecond {
			t.Errorf("deadline %d ms: stops in %v, killed after %v", deadline, span, kill)
		}
	}
}

// Requests that were accepted before a shutdown are answered, and new connections are still
// accepted while clients are assigned to the node.
func TestShutdownCompletesAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		testkit.OK(w, r)
	})
	n, _ := startReady(t, b)
	accepted := make(chan clientResponse, 1)
	go func() { accepted <- n.do(n.request("pay")) }()
	testkit.Wait(t, b.Requests, "the request")
	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	late := make(chan clientResponse, 1)
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(nc)
	go func() {
		r := n.request("pay")
		sendRequest(nc, r)
		resp, err := http.ReadResponse(bufio.NewReader(nc), r)
		if err != nil {
			t.Error(err)
			late <- clientResponse{}
			return
		}
		late <- clientResponse{status: resp.StatusCode, header: resp.Header}
	}()
	close(release)
	for _, c := range []chan clientResponse{accepted, late} {
		if a := testkit.Wait(t, c, "an answer"); a.status != http.StatusOK {
			t.Errorf("status %d", a.status)
		}
	}
	if err := testkit.Wait(t, n.done, "the end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The clients of a node that shuts down may have no other one: they are served on
// their connections until shortly before the node has to end, and what is open
// then is answered rather than cut off.
func TestShutdownServesItsClientsBeforeItTerminates(t *testing.T) {
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			<-r.Context().Done()
			return
		}
		testkit.OK(w, r)
	})
	d := testkit.NewRegistry(t, b.Endpoint("s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["settings"] = json.RawMessage(strings.ReplaceAll(settingsText, `"DeadlineMs": 8000, "PromiseMs": 6000`, `"DeadlineMs": 1000, "PromiseMs": 900`))
	}))
	n.waitReady(http.StatusOK)
	steady, late := n.dial(), n.dial()
	n.roundTrip(steady)
	n.roundTrip(late)
	began := time.Now()
	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	for time.Since(began) < time.Second {
		testkit.Wait(t, b.Requests, "the request before")
		if resp := n.roundTrip(steady); resp.StatusCode != http.StatusOK || resp.Close {
			t.Fatalf("status %d, close %v after %v", resp.StatusCode, resp.Close, time.Since(began))
		}
	}
	r := n.request("pay")
	if err := r.Write(late); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(late), r)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("the last one is answered with %v, %v", resp, err)
	}
	if err := testkit.Wait(t, n.done, "the end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A request whose deadline is long after the kill is answered before it all the same.
func TestShutdownFailsLongRequestsBeforeTheKill(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 1)))
	d := testkit.NewRegistry(t, b.Endpoint("s-0"))
	n := start(t, testConfig(t, d, withDeadlines(60000)))
	n.waitReady(http.StatusOK)
	nc := n.sendLongRequest()
	testkit.Wait(t, b.Requests, "the request")
	began := time.Now()
	n.stop()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("answered with %v, %v", resp, err)
	}
	if took := time.Since(began); took >= killDeadlineCap+killDeadlineExtra {
		t.Errorf("answered after %v: the node was killed before", took)
	}
	if err := testkit.Wait(t, n.done, "the end"); err != nil {
		t.Error(err)
	}
}

// A shutdown finds requests queued, waiting for a connection and in flight: each gets its final
// response before the kill.
func TestShutdownAnswersRequestsInEveryState(t *testing.T) {
	t.Parallel()
	stuck := testkit.NewStuckServer(t)
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 10)))
	for name, c := range map[string]struct {
		server endpointjson.Endpoint
		first  int // requests that go before
	}{
		"queued":                   {b.Endpoint("s-0"), 5},
		"waiting for a connection": {stuck.Endpoint("s-0"), 0},
		"in flight":                {b.Endpoint("s-0"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := start(t, testConfig(t, testkit.NewRegistry(t, c.server), withDeadlines(60000)))
			n.waitReady(http.StatusOK)
			var clients []net.Conn
			for range c.first + 1 {
				clients = append(clients, n.sendLongRequest())
			}
			began := time.Now()
			n.stop()
			for _, client := range clients {
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil || resp.StatusCode < 500 {
					t.Fatalf("answered with %v, %v", resp, err)
				}
			}
			if took := time.Since(began); took >= killDeadlineCap+killDeadlineExtra {
				t.Errorf("answered after %v", took)
			}
		})
	}
}

// sendLongRequest sends a request that must not be repeated, with a timeout of a minute.
func (n *testNode) sendLongRequest() net.Conn {
	n.t.Helper()
	nc := n.dial()
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "60000")
	if err := r.Write(nc); err != nil {
		n.t.Fatal(err)
	}
	return nc
}

// A shutdown finds a request half read: it is answered once it is complete.
func TestShutdownServesARequestThatIsBeingRead(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.OK)
	n, _ := startReady(t, b)
	nc := n.dial()
	var text strings.Builder
	sendRequest(&text, n.request("pay"))
	half := text.Len() - 3
	send(nc, text.String()[:half])
	n.stop()
	n.waitReady(http.StatusServiceUnavailable)
	send(nc, text.String()[half:])
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answered with %v, %v", resp, err)
	}
}

// The listener fails for good while a request is in flight: it gets its response, others are
// served on connections that are open, and Run returns the failure.
func TestListenerFailureBeginsAGracefulShutdown(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		testkit.OK(w, r)
	})
	n, _ := startReady(t, b)
	client, other := n.sendLongRequest(), n.dial()
	testkit.Wait(t, b.Requests, "the request")
	if err := n.node.listener.Close(); err != nil {
		t.Fatal(err)
	}
	close(release)
	if resp := n.roundTrip(other); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d on a connection that is open", resp.StatusCode)
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request in flight ended with %v, %v", resp, err)
	}
	if err := testkit.Wait(t, n.done, "the end"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
}

// Requests come on connections that are open, but without one, as a shutdown terminates: they
// are rejected and not dropped.
func TestTerminationAnswersRequestsOnSilentConnections(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 1)))
	d := testkit.NewRegistry(t, b.Endpoint("s-0"))
	n := start(t, testConfig(t, d, withDeadlines(300)))
	n.waitReady(http.StatusOK)
	n.sendLongRequest() // keeps the shutdown waiting
	testkit.Wait(t, b.Requests, "the request")
	const silent = 10
	var clients []net.Conn
	for range silent {
		clients = append(clients, n.dial())
	}
	n.stop()
	testkit.Until(t, "the end of the listening", func() bool {
		conn, err := net.Dial("tcp", n.addr)
		if err == nil {
			closeConn(conn)
		}
		return err != nil
	})
	for _, client := range clients {
		if resp := n.roundTrip(client); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
		}
	}
}

// A shutdown finds every connection in use, those of the reserve too, and a further one that
// waits for its admission with a request: each request gets its response before the kill.
func TestShutdownAnswersAConnectionThatWaitsForAdmission(t *testing.T) {
	t.Parallel()
	b := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 100)))
	d := testkit.NewRegistry(t, b.Endpoint("s-0"))
	const sockets, connections = 64, 40 // more than divideDescriptors grants to clients
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}
	}))
	n.waitReady(http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
	var clients []net.Conn
	for range connections {
		clients = append(clients, n.sendLongRequest())
	}
	began := time.Now()
	n.stop()
	for i, client := range clients {
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || resp.StatusCode < 500 {
			t.Fatalf("request %d ended with %v, %v", i, resp, err)
		}
		closeConn(client)
	}
	if took := time.Since(began); took >= killDeadlineCap+killDeadlineExtra {
		t.Errorf("answered after %v", took)
	}
}

// A request that comes after termination is rejected at once: nobody would answer it later.
func TestRequestAfterTerminationIsRejected(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	l := startLoop(t, b.Endpoint("s-0"))
	l.terminateAll()
	a, err := l.submit(t.Context(), l.newRequest(2, staysConnected))
	if err != nil || a.status != http.StatusServiceUnavailable || len(b.Requests) > 0 {
		t.Errorf("answer %+v, %v; %d sends", a, err, len(b.Requests))
	}
}
