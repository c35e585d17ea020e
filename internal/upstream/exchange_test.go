package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// responseCase is a response and what is expected of two attempts that get it.
type responseCase struct {
	response    string
	persistence testkit.Persistence
	status      policy.Status // of each attempt
	connections int           // that the attempts use together
}

func TestCompleteResponseDeterminesStatusAndReuse(t *testing.T) {
	testResponses(t, map[string]responseCase{
		"served":                      {okResponse, testkit.KeepAlive, policy.OK, 1},
		"served, chunked":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", testkit.KeepAlive, policy.OK, 1},
		"served, then closed":         {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", testkit.CloseAfterResponse, policy.OK, 2},
		"served, with no length":      {"HTTP/1.1 200 OK\r\n\r\nhi", testkit.CloseAfterResponse, policy.OK, 2},
		"early hints":                 {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse, testkit.KeepAlive, policy.OK, 1},
		"more than the response":      {okResponse + "rest", testkit.KeepAlive, policy.OK, 2},
		"error":                       {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", testkit.KeepAlive, policy.ServerError, 1},
		"another status":              {"HTTP/1.1 404 Where\r\nContent-Length: 0\r\n\r\n", testkit.KeepAlive, policy.ServerError, 1},
		"rejected, 503":               {"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", testkit.KeepAlive, policy.Rejected, 1},
		"rejected, 504":               {"HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", testkit.KeepAlive, policy.Rejected, 1},
		"503 that guarantees nothing": {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", testkit.KeepAlive, policy.ServerError, 1},
	})
}

func TestResponseCutByACloseIsReset(t *testing.T) {
	testResponses(t, map[string]responseCase{
		"no response":   {"", testkit.CloseAfterResponse, policy.Reset, 2},
		"half a header": {"HTTP/1.1 200 OK\r\nContent-Le", testkit.CloseAfterResponse, policy.Reset, 2},
		"half a body":   {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", testkit.CloseAfterResponse, policy.Reset, 2},
	})
}

func TestInvalidResponseIsServerErrorAndClosesItsConnection(t *testing.T) {
	bodyTooLarge := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBody+1, strings.Repeat("x", maxBody+1))
	headerTooLarge := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponse+1)
	cases := map[string]responseCase{}
	for name, response := range map[string]string{
		"not HTTP":                 "\x00\x01\x02 what\r\n\r\n",
		"not HTTP, no line":        "\x00\x01\x02",
		"body too large":           bodyTooLarge,
		"header too large":         headerTooLarge,
		"header that stops":        "HTTP/1.1 200 OK\r\nX-Filler: 1\r\n",
		"body that stops":          "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi",
		"chunks that stop":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"content length of 3 GB":   "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi",
		"chunk too large":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\nhi",
		"two content lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
		"negative content length":  "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
		"content length no number": "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhi",
		"endless 1xx":              strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20),
		"1xx, then nothing":        "HTTP/1.1 103 Early Hints\r\n\r\nHT",
		"switching protocols":      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	} {
		cases[name] = responseCase{response, testkit.KeepAlive, policy.ServerError, 2}
	}
	testResponses(t, cases)
}

// At most maxInterimResponses interim responses are skipped.
func TestInterimResponsesUpToTheLimitAreSkipped(t *testing.T) {
	interim := func(count int) string {
		return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", count) + okResponse
	}
	testResponses(t, map[string]responseCase{
		"at the limit":   {interim(maxInterimResponses), testkit.KeepAlive, policy.OK, 1},
		"over the limit": {interim(maxInterimResponses + 1), testkit.KeepAlive, policy.ServerError, 2},
	})
}

func testResponses(t *testing.T, cases map[string]responseCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := testkit.NewScriptedServer(t, c.response, c.persistence)
			pool, id := newPoolWithServer(testPoolConfig(), server.Address)
			for range 2 {
				testResponse(t, pool, id, c.status)
			}
			if len(server.Conns) != c.connections {
				t.Errorf("%d connections, want %d", len(server.Conns), c.connections)
			}
		})
	}
}

// testResponse makes an attempt and checks its result. The timeout only bounds the test: Send
// has to recognize an invalid response by itself.
func testResponse(t *testing.T, pool *Pool, id policy.ServerID, want policy.Status) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
	defer cancel()
	result := send(ctx, pool, id, newTestRequest())
	if ctx.Err() != nil {
		t.Error("the attempt lasted until its context ended")
	}
	if result.Status != want {
		t.Errorf("status %v, want %v", result.Status, want)
	}
	if want == policy.OK && string(result.Body) != "hi" {
		t.Errorf("body %q", result.Body)
	}
}

// A server that writes a byte at a time is served if its response is complete
// within the response read timeout.
func TestSlowResponseHasToEndWithinTheReadTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		readTimeout time.Duration
		want        policy.Status
	}{
		"within it": {testkit.WaitTimeout, policy.OK},
		"after it":  {50 * time.Millisecond, policy.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			attemptEnded := make(chan struct{})
			backend := testkit.NewBackend(t, hijackHandler(func(conn net.Conn) {
				writeByteByByte(conn, okResponse[:len(okResponse)/2])
				if c.want != policy.OK {
					<-attemptEnded
				}
				writeByteByByte(conn, okResponse[len(okResponse)/2:])
			}))
			pool, id := newPoolWithServer(testPoolConfig(), backend.Address())
			request := newTestRequest()
			request.ResponseReadTimeout = c.readTimeout
			if result := send(t.Context(), pool, id, request); result.Status != c.want {
				t.Errorf("status %v, want %v", result.Status, c.want)
			}
			close(attemptEnded)
		})
	}
}

func writeByteByByte(conn net.Conn, text string) {
	for i := range len(text) {
		writeQuietly(conn, text[i:i+1])
	}
}

// A response that never ends fails its attempt and closes its connection. It does not use up
// the client's timeout, or memory without a bound.
func TestEndlessResponseIsServerErrorAndClosesItsConnection(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]string{
		"header": "HTTP/1.1 200 OK\r\nX: ",
		"body":   "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := testkit.NewBackend(t, hijackHandler(func(conn net.Conn) {
				_, err := io.WriteString(conn, start)
				for err == nil {
					time.Sleep(time.Millisecond) // the slow writes are what is under test
					_, err = io.WriteString(conn, "x")
				}
			}))
			pool, id := newPoolWithServer(testPoolConfig(), backend.Address())
			expectAttemptStatus(t, pool, id, policy.ServerError)
			expectOpenConnections(t, pool, 0)
		})
	}
}
