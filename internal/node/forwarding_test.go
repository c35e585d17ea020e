package node

import (
	"bufio"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"calicohinge/internal/testkit"
)

// forwardedMessage is what a request or a response must keep from end to end.
type forwardedMessage struct {
	startLine, body string
	header          map[string]string // "" for one that must not be there
}

// headerValues returns the fields of a header by name, "" for those that it does not have.
func headerValues(header http.Header, names ...string) map[string]string {
	fields := map[string]string{}
	for _, name := range names {
		fields[name] = header.Get(name)
	}
	return fields
}

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Keep-Alive", "timeout=5")
		send(w, "rooms")
	})
	n, _ := startReady(t, b)
	sent := n.request("push")
	sent.Header.Set("Connection", "X-Hop")
	sent.Header.Set("X-Hop", "1")
	sent.Header.Set("User-Agent", "") // none: the node must not put its own

	response := n.do(sent)
	got := testkit.Wait(t, b.Requests, "the request")

	wantResponse := forwardedMessage{"200", "rooms", map[string]string{"X-Kept": "yes", "Keep-Alive": ""}}
	gotResponse := forwardedMessage{
		strconv.Itoa(response.status), response.body, headerValues(response.header, "X-Kept", "Keep-Alive"),
	}
	if !reflect.DeepEqual(gotResponse, wantResponse) {
		t.Errorf("response %+v, want %+v", gotResponse, wantResponse)
	}
	endToEnd := []string{"X-Request-ID", "Idempotency-Key", "X-Tenant-Id", "User-Agent"}
	wantRequest := forwardedMessage{"POST /push?obj=7f3a%2F9c&z", `{"x":1}`, headerValues(sent.Header, endToEnd...)}
	wantRequest.header["X-Hop"] = "" // from hop to hop
	body, _ := io.ReadAll(got.Body)
	gotRequest := forwardedMessage{
		got.Method + " " + got.RequestURI, string(body), headerValues(got.Header, append(endToEnd, "X-Hop")...),
	}
	if !reflect.DeepEqual(gotRequest, wantRequest) {
		t.Errorf("the server got %+v, want %+v", gotRequest, wantRequest)
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
		if resp := n.do(n.request("pay")); resp.status != http.StatusOK {
			t.Fatalf("status %d", resp.status)
		}
		testkit.Wait(t, closed, "the server's close")
	}
}

// The node closes a connection after a response that its client has not read yet, and the client has sent more bytes
// or sends them now: the response is delivered in full, and the connection ends when the client closes it.
func TestResponseIsDeliveredBeforeTheConnectionCloses(t *testing.T) {
	text := strings.Repeat("x", maxBodyBytes)
	b := testkit.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
	for name, c := range map[string]struct{ withRequest, afterResponseStart string }{
		"nothing":     {"", ""},
		"ahead of it": {"GET /", ""},
		"behind it":   {"", "GET /"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startHandlerLingering(t, time.Hour, b.Endpoint("s-0"))
			s.handler.draining.Store(true)
			nc := s.slowDial()
			send(nc, wireText(s.request("read"))+c.withRequest)
			in := bufio.NewReader(nc)
			if _, err := in.Peek(1); err != nil {
				t.Fatal(err)
			}
			conn := s.nodeConn(nc)
			testkit.Until(t, "the response's end", func() bool {
				return conn.Lingering() || conn.Closed()
			})
			send(nc, c.afterResponseStart)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || !resp.Close {
				t.Fatalf("%+v, %v", resp, err)
			}
			if body, err := io.ReadAll(resp.Body); string(body) != text {
				t.Errorf("%d bytes, %v", len(body), err)
			}
			if closeConn(nc); c.afterResponseStart == "" {
				s.awaitNoConns()
			}
		})
	}
}

// A client sends its request and reads its response a byte at a time: it is served, another client is served
// meanwhile, and no connection stays open.
func TestByteByByteClientIsServed(t *testing.T) {
	text := strings.Repeat("x", maxBodyBytes)
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
	const requests = 3
	var text strings.Builder
	for range requests {
		sendRequest(&text, n.request("read"))
	}
	send(nc, text.String())
	in := bufio.NewReader(nc)
	for range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
		discard(resp.Body)
	}
}

// The read timeout of a request must not end the wait for its response.
func TestReadTimeoutDoesNotLimitTheWaitForTheResponse(t *testing.T) {
	b := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(readTimeout + 200*time.Millisecond) // a timeout is under test
		testkit.OK(w, r)
	})
	n, _ := startReady(t, b)
	n.wantStatus("pay", http.StatusOK)
}
