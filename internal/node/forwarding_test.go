package node

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"calicohinge/internal/testkit"
)

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Keep-Alive", "timeout=5")
		send(w, "rooms")
	})
	n, _ := startReady(t, b)
	r := n.request("push")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("User-Agent", "") // none: the node must not put its own
	a := n.do(r)
	if a.status != http.StatusOK || a.body != "rooms" || a.header.Get("X-Kept") != "yes" || a.header.Get("Keep-Alive") != "" {
		t.Errorf("response %+v", a)
	}
	got := testkit.Wait(t, b.Requests, "the request")
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/push?obj=7f3a%2F9c&z" || string(body) != `{"x":1}` {
		t.Errorf("the server got %s %s %q", got.Method, got.RequestURI, body)
	}
	sameHeader(t, r, got, "X-Request-ID", "Idempotency-Key", "X-Tenant-Id")
	if got.Header.Get("X-Hop") != "" {
		t.Error("a hop-by-hop header went on")
	}
	if got.Header.Get("User-Agent") != r.Header.Get("User-Agent") {
		t.Errorf("User-Agent %q", got.Header.Get("User-Agent"))
	}
	if timeout, err := strconv.Atoi(got.Header.Get("X-Timeout-Ms")); err != nil || timeout <= 0 || timeout >= 8000 {
		t.Errorf("X-Timeout-Ms %q", got.Header.Get("X-Timeout-Ms"))
	}
}

// The server closes a connection after its response without announcing it. A request written
// to it would be lost for a class that is not idempotent.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 10)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		closeConn(nc)
		closed <- struct{}{}
	})
	n, _ := startReady(t, b)
	for range 5 {
		if a := n.do(n.request("pay")); a.status != http.StatusOK {
			t.Fatalf("status %d", a.status)
		}
		testkit.Wait(t, closed, "the server's close")
	}
}

// The node closes a connection after a response that its client has not read yet, and bytes of
// the client are there or arrive: the response is delivered in full, and the connection ends
// with the client's close.
func TestResponseIsDeliveredBeforeTheConnectionCloses(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
	for name, c := range map[string]struct{ ahead, behind string }{
		"nothing":     {"", ""},
		"ahead of it": {"GET /", ""},
		"behind it":   {"", "GET /"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startHandlerLingering(t, time.Hour, b.Endpoint("s-0"))
			s.handler.draining.Store(true)
			nc := s.slowDial()
			send(nc, wireText(s.request("read"))+c.ahead)
			in := bufio.NewReader(nc)
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			node := s.nodeConn(nc)
			testkit.Until(t, "the response's end", func() bool {
				return node.Lingering() || node.Closed()
			})
			send(nc, c.behind)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || !resp.Close {
				t.Fatalf("%+v, %v", resp, err)
			}
			if body, err := io.ReadAll(resp.Body); string(body) != text {
				t.Errorf("%d bytes, %v", len(body), err)
			}
			if closeConn(nc); c.behind == "" {
				s.awaitNoConns()
			}
		})
	}
}

// A client sends its request and reads its response a byte at a time: it is served, others are
// meanwhile, and no connection stays behind.
func TestByteByByteClientIsServed(t *testing.T) {
	text := strings.Repeat("x", maxBody)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
	s := startHandler(t, b.Endpoint("s-0"))
	slow, other := s.slowDial(), s.dial()
	sendByteByByte(slow, wireText(s.request("pay")), func() { s.roundTrip(other) })
	in := iotest.OneByteReader(slow)
	if _, err := io.ReadFull(in, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	s.wantServed(other)
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/"), in)), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", resp, err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != text {
		t.Errorf("%d bytes, %v", len(body), err)
	}
	closeConn(slow)
	closeConn(other)
	s.awaitNoConns()
}

// A pipelined request gets its response too, and its connection does not count as idle meanwhile.
func TestPipelinedRequestsGetResponses(t *testing.T) {
	n, _ := startReady(t, testkit.NewBackend(t, testkit.OK))
	nc := n.dial()
	const pipelined = 3
	var text strings.Builder
	for range pipelined {
		sendRequest(&text, n.request("read"))
	}
	send(nc, text.String())
	in := bufio.NewReader(nc)
	for range pipelined {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
		discard(resp.Body)
	}
}

// The read timeout of a request must not end the wait for its response.
func TestReadTimeoutEndsWithTheRequest(t *testing.T) {
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(readTimeout + 200*time.Millisecond) // a timeout is under test
		testkit.OK(w, r)
	})
	n, _ := startReady(t, b)
	n.wantStatus("pay", http.StatusOK)
}
