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

// responseCase is a response and its expected effect on two consecutive attempts, which both get it.
type responseCase struct {
	response    string
	persistence testkit.Persistence
	status      policy.Status // status of each attempt
	connections int           // number of connections that the two attempts use in total
}

func TestCompleteResponseDeterminesStatusAndReuse(t *testing.T) {
	testResponses(t, map[string]responseCase{
		"200": {
			okResponse,
			testkit.KeepAlive, policy.StatusOK, 1,
		},
		"200, chunked": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			testkit.KeepAlive, policy.StatusOK, 1,
		},
		"200, then closed": {
			"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
			testkit.CloseAfterResponse, policy.StatusOK, 2,
		},
		"200 without a length": {
			"HTTP/1.1 200 OK\r\n\r\nhi",
			testkit.CloseAfterResponse, policy.StatusOK, 2,
		},
		"early hints": {
			"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse,
			testkit.KeepAlive, policy.StatusOK, 1,
		},
		"surplus bytes after the response": {
			okResponse + "rest",
			testkit.KeepAlive, policy.StatusOK, 2,
		},
		"500": {
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
			testkit.KeepAlive, policy.StatusServerError, 1,
		},
		"404": {
			"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
			testkit.KeepAlive, policy.StatusServerError, 1,
		},
		"503, not processed": {
			"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			testkit.KeepAlive, policy.StatusRejected, 1,
		},
		"504, not processed": {
			"HTTP/1.1 504 Gateway Timeout\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			testkit.KeepAlive, policy.StatusRejected, 1,
		},
		"503, possibly processed": {
			"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
			testkit.KeepAlive, policy.StatusServerError, 1,
		},
	})
}

func TestResponseTruncatedByCloseIsReset(t *testing.T) {
	testResponses(t, map[string]responseCase{
		"no response":      {"", testkit.CloseAfterResponse, policy.StatusReset, 2},
		"truncated header": {"HTTP/1.1 200 OK\r\nContent-Le", testkit.CloseAfterResponse, policy.StatusReset, 2},
		"truncated body": {
			"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", testkit.CloseAfterResponse, policy.StatusReset, 2,
		},
	})
}

func TestInvalidResponseIsServerErrorAndClosesItsConnection(t *testing.T) {
	bodyTooLarge := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		maxBodyBytes+1, strings.Repeat("x", maxBodyBytes+1))
	headerTooLarge := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponseBytes+1)
	cases := map[string]responseCase{}
	for name, response := range map[string]string{
		"not HTTP":                       "\x00\x01\x02 text\r\n\r\n",
		"not HTTP, without line end":     "\x00\x01\x02",
		"body too large":                 bodyTooLarge,
		"header too large":               headerTooLarge,
		"incomplete header":              "HTTP/1.1 200 OK\r\nX-Filler: 1\r\n",
		"incomplete body":                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi",
		"incomplete chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		"content length of 3 GB":         "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi",
		"chunk too large":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\nhi",
		"two content lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
		"negative content length":        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
		"content length not a number":    "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhi",
		"too many 1xx":                   strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20),
		"1xx, then an incomplete header": "HTTP/1.1 103 Early Hints\r\n\r\nHT",
		"switching protocols":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	} {
		cases[name] = responseCase{response, testkit.KeepAlive, policy.StatusServerError, 2}
	}
	testResponses(t, cases)
}

func TestInterimResponsesAreSkippedUpToLimit(t *testing.T) {
	interim := func(count int) string {
		return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", count) + okResponse
	}
	testResponses(t, map[string]responseCase{
		"at the limit":   {interim(maxInterimResponses), testkit.KeepAlive, policy.StatusOK, 1},
		"over the limit": {interim(maxInterimResponses + 1), testkit.KeepAlive, policy.StatusServerError, 2},
	})
}

// testResponses makes two attempts for each case and checks their results and the number of connections.
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
				t.Errorf("connections of both attempts: got %d, want %d", len(server.Conns), c.connections)
			}
		})
	}
}

// testResponse makes an attempt and checks its result. The timeout only bounds the duration of the
// test: Send must recognize an invalid response without it.
func testResponse(t *testing.T, pool *Pool, id policy.ServerID, want policy.Status) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
	defer cancel()
	result := send(ctx, pool, id, newTestRequest())
	if ctx.Err() != nil {
		t.Error("the attempt did not end before the timeout of its context")
	}
	if result.Status != want {
		t.Errorf("status of the attempt: got %v, want %v", result.Status, want)
	}
	if want == policy.StatusOK && string(result.Body) != "hi" {
		t.Errorf("body of the response: got %q, want %q", result.Body, "hi")
	}
}

// A response that arrives byte by byte is accepted if it is complete within the response read timeout.
func TestSlowResponseMustEndWithinReadTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		readTimeout time.Duration
		want        policy.Status
	}{
		"ends within the timeout": {testkit.WaitTimeout, policy.StatusOK},
		"ends after the timeout":  {50 * time.Millisecond, policy.StatusServerError},
	} {
		t.Run(name, func(t *testing.T) {
			attemptEnded := make(chan struct{})
			server := testkit.NewRecordingServer(t, hijackHandler(func(conn net.Conn) {
				writeByteByByte(conn, okResponse[:len(okResponse)/2])
				if c.want != policy.StatusOK {
					<-attemptEnded
				}
				writeByteByByte(conn, okResponse[len(okResponse)/2:])
			}))
			pool, id := newPoolWithServer(testPoolConfig(), server.Address())
			request := newTestRequest()
			request.ResponseReadTimeout = c.readTimeout
			if result := send(t.Context(), pool, id, request); result.Status != c.want {
				t.Errorf("status of the attempt: got %v, want %v", result.Status, c.want)
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

// A response that never ends makes its attempt fail and closes its connection. It uses up neither the
// client's timeout nor an unlimited amount of memory.
func TestEndlessResponseIsServerErrorAndClosesItsConnection(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]string{
		"header": "HTTP/1.1 200 OK\r\nX: ",
		"body":   "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewRecordingServer(t, hijackHandler(func(conn net.Conn) {
				_, err := io.WriteString(conn, start)
				for err == nil {
					time.Sleep(time.Millisecond) // the read timeout must pass before the response is too large
					_, err = io.WriteString(conn, "x")
				}
			}))
			pool, id := newPoolWithServer(testPoolConfig(), server.Address())
			expectAttemptStatus(t, pool, id, policy.StatusServerError)
			expectOpenConnections(t, pool, 0)
		})
	}
}
