package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"calicohinge/internal/httphead"
	"calicohinge/internal/memorybudget"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// Guards against a large body that each attempt copies, and against one that is not sent as it is.
func TestLargeBodyIsSentWithoutACopy(t *testing.T) {
	received := make(chan []byte, 1)
	server := testkit.NewServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // an error shows as a body that differs
		received <- body
	}))
	pool, id := newPoolWithServer(testPoolConfig(), server.Listener.Addr().String())
	for _, size := range []int{1, maxBodyWithHead, maxBodyWithHead + 1, maxBodyBytes} {
		request := newTestRequest()
		request.Body = bytes.Repeat([]byte("x"), size)
		encoded, err := request.encode(clientTimeout)
		if err != nil {
			t.Fatalf("encode with a body of %d bytes: %v", size, err)
		}
		if len(encoded.message) > 2*maxBodyWithHead {
			t.Errorf("message with a body of %d bytes: got %d bytes, want %d at most",
				size, len(encoded.message), 2*maxBodyWithHead)
		}
		if result := send(t.Context(), pool, id, request); result.Status != policy.StatusOK {
			t.Errorf("status of an attempt with a body of %d bytes: got %v, want %v", size, result.Status, policy.StatusOK)
		}
		if body := testkit.Receive(t, received, "the server to read the body"); !bytes.Equal(body, request.Body) {
			t.Errorf("body that the server read: got %d bytes, want the %d bytes of the request", len(body), size)
		}
	}
}

// Guards against connections that keep the body of their last request in memory: the budget counts it as free once the
// request is released, and there may be more idle connections than clients.
func TestConnectionKeepsNoBodyInMemory(t *testing.T) {
	for name, response := range map[string]string{
		"idle after a response":         okResponse,
		"idle after a rejection":        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		"closed after invalid response": "invalid",
	} {
		t.Run(name, func(t *testing.T) {
			server := testkit.NewScriptedServer(t, response, testkit.KeepAlive)
			pool, id := newPoolWithServer(testPoolConfig(), server.Address)
			body := sendLargeRequest(t, pool, id)
			testkit.WaitUntil(t, "the garbage collector to free the body", func() bool {
				runtime.GC()
				return body.Value() == nil
			})
			runtime.KeepAlive(pool)
		})
	}
}

// sendLargeRequest makes one attempt with a body of maximum size, and returns a pointer to the body that does not keep it
// in memory.
func sendLargeRequest(t *testing.T, pool *Pool, id policy.ServerID) weak.Pointer[byte] {
	t.Helper()
	request := newTestRequest()
	request.Body = bytes.Repeat([]byte("x"), maxBodyBytes)
	send(t.Context(), pool, id, request)
	return weak.Make(&request.Body[0])
}

// Guards against responses whose sum exceeds the memory: a response for which no memory is free in time is an error of
// the attempt, and its memory is released with the request.
func TestResponseNeedsFreeMemory(t *testing.T) {
	const size = 40 << 10
	for name, respond := range map[string]http.HandlerFunc{
		"of a known length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size)) // the client may have closed the connection
		},
		"of an unknown length": func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write(make([]byte, size)) // the client may have closed the connection
		},
	} {
		t.Run(name, func(t *testing.T) {
			config := testPoolConfig()
			config.ResponseMemory = memorybudget.New(2 * maxBodyBytes)
			pool, id := newPoolWithServer(config, testkit.NewServer(t, respond).Listener.Addr().String())
			first := expectStatusWithMemory(t, pool, id, testkit.WaitTimeout, policy.StatusOK)
			occupied := memorybudget.NewLease()
			for occupied.TryReserve(config.ResponseMemory, 1<<10) {
			}
			second := expectStatusWithMemory(t, pool, id, time.Millisecond, policy.StatusServerError)
			for _, lease := range []*memorybudget.Lease{first, second, occupied} {
				lease.Release()
			}
			if !config.ResponseMemory.TryReserve(2 * maxBodyBytes) {
				t.Error("memory after all requests: got a part of it reserved, want all of it free")
			}
		})
	}
}

// expectStatusWithMemory makes one attempt, checks its status, and returns the lease of its request.
func expectStatusWithMemory(
	t *testing.T, pool *Pool, id policy.ServerID, readTimeout time.Duration, want policy.Status,
) *memorybudget.Lease {
	t.Helper()
	request := newTestRequest()
	request.ResponseReadTimeout, request.Memory = readTimeout, memorybudget.NewLease()
	if result := send(t.Context(), pool, id, request); result.Status != want {
		t.Errorf("status of the attempt: got %v, want %v", result.Status, want)
	}
	return request.Memory
}

// Guards against the head of a response with thousands of short fields, whose parsed form is many times its size.
func TestResponseHeadWithTooManyLinesIsServerError(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", httphead.MaxLines) + "Content-Length: 0\r\n\r\n"
	server := testkit.NewScriptedServer(t, head, testkit.KeepAlive)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address)
	expectAttemptStatus(t, pool, id, policy.StatusServerError)
}
