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

// forwardedMessage holds the parts of a request or response that a test compares before and after forwarding.
type forwardedMessage struct {
	startLine, body string            // startLine: method and target of a request, status of a response
	header          map[string]string // values by field name, "" for a missing field
}

// headerValues returns the values of the named header fields, with "" for each missing field.
func headerValues(header http.Header, names ...string) map[string]string {
	fields := map[string]string{}
	for _, name := range names {
		fields[name] = header.Get(name)
	}
	return fields
}

// The body and the end-to-end header fields of a request and a response are forwarded unchanged. Hop-by-hop fields are
// removed, and X-Timeout-Ms is reduced to the time that is left.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Keep-Alive", "timeout=5")
		send(w, "response body")
	})
	n, _ := startReadyNode(t, server)
	sent := n.newRequest("push")
	sent.Header.Set("Connection", "X-Hop")
	sent.Header.Set("X-Hop", "1")
	sent.Header.Set("User-Agent", "") // "" makes net/http send no User-Agent, and the node must not add one

	response := n.do(sent)
	got := testkit.Receive(t, server.Requests, "the server to receive the request")

	wantResponse := forwardedMessage{"200", "response body", map[string]string{"X-Kept": "yes", "Keep-Alive": ""}}
	gotResponse := forwardedMessage{
		strconv.Itoa(response.status), response.body, headerValues(response.header, "X-Kept", "Keep-Alive"),
	}
	if !reflect.DeepEqual(gotResponse, wantResponse) {
		t.Errorf("the client received the response %+v, want %+v", gotResponse, wantResponse)
	}
	endToEnd := []string{"X-Request-ID", "Idempotency-Key", "X-Tenant-Id", "User-Agent"}
	wantRequest := forwardedMessage{"POST /push?obj=7f3a%2F9c&z", `{"x":1}`, headerValues(sent.Header, endToEnd...)}
	wantRequest.header["X-Hop"] = "" // X-Hop is hop-by-hop, since Connection names it
	body, _ := io.ReadAll(got.Body)
	gotRequest := forwardedMessage{
		got.Method + " " + got.RequestURI, string(body), headerValues(got.Header, append(endToEnd, "X-Hop")...),
	}
	if !reflect.DeepEqual(gotRequest, wantRequest) {
		t.Errorf("the server received the request %+v, want %+v", gotRequest, wantRequest)
	}
	if timeout, err := strconv.Atoi(got.Header.Get("X-Timeout-Ms")); err != nil || timeout <= 0 || timeout >= 8000 {
		t.Errorf("the server received X-Timeout-Ms %q, want more than 0 and less than the client's 8000",
			got.Header.Get("X-Timeout-Ms"))
	}
}

// A server may close an idle connection without having announced the close in a response. A request that is not
// idempotent would fail if it was written to the closed connection, since it may not be retried.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 10)
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		closeQuietly(nc)
		closed <- struct{}{}
	})
	n, _ := startReadyNode(t, server)
	for i := range 5 {
		if resp := n.do(n.newRequest("pay")); resp.status != http.StatusOK {
			t.Fatalf("pay request %d: status %d, want 200", i, resp.status)
		}
		testkit.Receive(t, closed, "the server to close the connection")
	}
}

// If a client has sent further bytes after its request, or sends them while it still reads the response, an immediate
// close by the node would reset the connection and the client would lose part of the response. After the last response,
// the node must therefore close only its sending direction, and close the connection when the client has closed it.
func TestResponseIsDeliveredBeforeTheConnectionCloses(t *testing.T) {
	text := strings.Repeat("x", maxBodyBytes)
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
	for name, c := range map[string]struct{ withRequest, afterResponseStart string }{
		"no further bytes":                   {"", ""},
		"further bytes with the request":     {"GET /", ""},
		"further bytes after response start": {"", "GET /"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startHandlerWithLinger(t, time.Hour, server.Endpoint("s-0"))
			s.handler.draining.Store(true)
			nc := s.dialWithSmallReceiveBuffer()
			send(nc, wireText(s.newRequest("read"))+c.withRequest)
			in := bufio.NewReader(nc)
			if _, err := in.Peek(1); err != nil {
				t.Fatalf("reading the first byte of the response: %v", err)
			}
			conn := s.nodeConn(nc)
			testkit.WaitUntil(t, "the node to start closing the connection", func() bool {
				return conn.Lingering() || conn.Closed()
			})
			send(nc, c.afterResponseStart)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || !resp.Close {
				t.Fatalf("reading the response: got %+v, error %v; want a response with Connection: close", resp, err)
			}
			if body, err := io.ReadAll(resp.Body); string(body) != text {
				t.Errorf("the client received %d bytes of the body, error %v; want the %d bytes that the server sent",
					len(body), err, len(text))
			}
			if closeQuietly(nc); c.afterResponseStart == "" {
				s.awaitNoConns()
			}
		})
	}
}

// A client that sends its request and reads its response one byte at a time must get the complete response, and must
// not block another client. The node must keep neither connection open after both clients have disconnected.
func TestByteByByteClientIsServed(t *testing.T) {
	text := strings.Repeat("x", maxBodyBytes)
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
	s := startHandler(t, server.Endpoint("s-0"))
	slow, other := s.dialWithSmallReceiveBuffer(), s.dial()
	sendByteByByte(slow, wireText(s.newRequest("pay")), func() { s.roundTrip(other) })
	in := iotest.OneByteReader(slow)
	if _, err := io.ReadFull(in, make([]byte, 5)); err != nil {
		t.Fatalf("reading the first 5 bytes of the response: %v", err)
	}
	s.wantServedOn(other)
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/"), in)), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("slow client: response %+v, error %v; want status 200", resp, err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != text {
		t.Errorf("the slow client received %d bytes of the body, error %v; want the %d bytes that the server sent",
			len(body), err, len(text))
	}
	closeQuietly(slow)
	closeQuietly(other)
	s.awaitNoConns()
}

// A connection must not count as idle between pipelined requests: the node could close it before all of these requests
// have responses.
func TestPipelinedRequestsGetResponses(t *testing.T) {
	n, _ := startReadyNode(t, testkit.NewRecordingServer(t, testkit.OK))
	nc := n.dial()
	const requests = 3
	var text strings.Builder
	for range requests {
		sendRequest(&text, n.newRequest("read"))
	}
	send(nc, text.String())
	in := bufio.NewReader(nc)
	for i := range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("pipelined request %d of %d: response %+v, error %v; want status 200", i+1, requests, resp, err)
		}
		discard(resp.Body)
	}
}

// The read timeout limits how long a client may take to send a request. It must not apply while the client waits for
// the response of a server that takes longer.
func TestReadTimeoutDoesNotLimitTheWaitForTheResponse(t *testing.T) {
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(readTimeout + 200*time.Millisecond)
		testkit.OK(w, r)
	})
	n, _ := startReadyNode(t, server)
	n.wantStatus("pay", http.StatusOK)
}
