package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"calicohinge/internal/config"
	"calicohinge/internal/memorybudget"
	"calicohinge/internal/testkit"
)

// largeBodySize is larger than smallBody, so that each body needs a reservation.
const largeBodySize = 2 * smallBody

// startHandlerWithBodyMemory starts a testHandler with memory for one large body.
func startHandlerWithBodyMemory(t *testing.T, server *testkit.RecordingServer) (*testHandler, *memorybudget.Budget) {
	t.Helper()
	s := startHandler(t, server.Endpoint("s-0"))
	memory := memorybudget.New(largeBodySize)
	s.handler.parser.bodyMemory = memory
	return s, memory
}

// newLargeRequest returns a request of class pay with a large body.
func (n *testNode) newLargeRequest() *http.Request {
	r := n.newRequest("pay")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", largeBodySize))), largeBodySize
	return r
}

// requireAllFree waits until all memory of a budget is free.
func requireAllFree(t *testing.T, memory *memorybudget.Budget) {
	t.Helper()
	testkit.WaitUntil(t, "the memory of all requests to be released", func() bool {
		if !memory.TryReserve(largeBodySize) {
			return false
		}
		memory.Release(largeBodySize)
		return true
	})
}

// Guards against bodies whose sum exceeds the memory. A request with a large body waits for the memory of another one
// and is served then; a request without one is served meanwhile.
func TestLargeBodyWaitsForMemory(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	s, memory := startHandlerWithBodyMemory(t, server)
	if !memory.TryReserve(largeBodySize) {
		t.Fatal("TryReserve of all memory = false, want true")
	}
	statuses := make(chan int, 1)
	waiting := s.newLargeRequest()
	waiting.Header.Set("X-Timeout-Ms", "600000")
	go func() { statuses <- s.do(waiting).status }()
	testkit.WaitUntil(t, "the request to wait for memory", func() bool { return s.handler.conns.Stats().Active == 1 })
	if resp := s.do(s.newRequest("read")); resp.status != http.StatusOK {
		t.Errorf("request without a body, beside the one that waits: status %d, want 200", resp.status)
	}
	memory.Release(largeBodySize)
	if status := testkit.Receive(t, statuses, "the response to the large request"); status != http.StatusOK {
		t.Errorf("large request after memory was released: status %d, want 200", status)
	}
	requireAllFree(t, memory)
}

// Guards against a request that waits for memory without an end, and against one that is dropped: the client is told
// that it may retry.
func TestLargeBodyIsRejectedIfNoMemoryIsReleased(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	s, memory := startHandlerWithBodyMemory(t, server)
	if !memory.TryReserve(largeBodySize) {
		t.Fatal("TryReserve of all memory = false, want true")
	}
	r := s.newLargeRequest()
	r.Header.Set("X-Timeout-Ms", "20")
	if resp := s.do(r); resp.status != http.StatusServiceUnavailable {
		t.Errorf("large request without free memory: status %d, want 503", resp.status)
	}
	if len(server.Requests) != 0 {
		t.Errorf("requests that the server received: got %d, want 0", len(server.Requests))
	}
	memory.Release(largeBodySize)
	requireAllFree(t, memory)
}

// Guards against memory that is not released when a request fails, when its client disconnects, or when its body does
// not arrive.
func TestMemoryOfABodyIsReleasedHoweverTheRequestEnds(t *testing.T) {
	disconnected := make(chan struct{}, 1)
	for name, handle := range map[string]http.HandlerFunc{
		"served":           testkit.OK,
		"failed":           testkit.ServerError,
		"rejected":         testkit.NotProcessed,
		"reset":            testkit.CloseWithoutResponse,
		"client is closed": testkit.Unresponsive(disconnected),
	} {
		t.Run(name, func(t *testing.T) {
			s, memory := startHandlerWithBodyMemory(t, testkit.NewRecordingServer(t, handle))
			conn := s.dial()
			setTestDeadline(conn)
			sendRequest(conn, s.newLargeRequest())
			if name == "client is closed" {
				s.loop.awaitRequests(1, 1)
				closeQuietly(conn)
			} else {
				_ = s.readResponse(conn)
			}
			requireAllFree(t, memory)
		})
	}
	t.Run("incomplete body", func(t *testing.T) {
		s, memory := startHandlerWithBodyMemory(t, testkit.NewRecordingServer(t, testkit.OK))
		conn := s.dial()
		text := wireText(s.newLargeRequest())
		send(conn, text[:len(text)-1])
		testkit.WaitUntil(t, "the memory to be reserved", func() bool {
			if memory.TryReserve(1) {
				memory.Release(1)
				return false
			}
			return true
		})
		closeQuietly(conn)
		requireAllFree(t, memory)
	})
}

// Guards against data of a request that is kept in memory after its reservation is released, by whatever refers to the
// request for longer: a stopped timer, a queued event or an idle connection.
func TestReleasedRequestHasNoData(t *testing.T) {
	received := make(chan struct{}, 1)
	s, memory := startHandlerWithBodyMemory(t, testkit.NewRecordingServer(t, testkit.Unresponsive(received)))
	conn := s.dial()
	setTestDeadline(conn)
	sendRequest(conn, s.newLargeRequest())
	s.loop.awaitRequests(1, 1)
	resume := s.loop.pause()
	kept := s.loop.lastRequest()
	resume()
	closeQuietly(conn)
	requireAllFree(t, memory)
	if kept.Body != nil || kept.Header != nil || kept.URL != nil || kept.completion != nil {
		t.Errorf("request after its release: got a body of %d bytes, header %v, URL %v, completion %v; want none of them",
			len(kept.Body), kept.Header, kept.URL, kept.completion)
	}
}

// Guards against a response that waits in the event queue while its reservation is already released.
func TestQueuedResponseKeepsItsMemoryReserved(t *testing.T) {
	l := startLoop(t, testkit.NewRecordingServer(t, testkit.Unresponsive(nil)).Endpoint("s-0"))
	memory := memorybudget.New(largeBodySize)
	r := l.newRequest(classPay, neverDisconnected)
	r.Memory = memorybudget.NewLease()
	if !r.Memory.TryReserve(memory, largeBodySize) {
		t.Fatal("TryReserve of all memory = false, want true")
	}
	done := l.submitAsync(t.Context(), r)
	l.awaitRequests(1, 1)
	l.runInLoop(func() {
		l.host.Fail(r.id)
		l.expireDeadline(l.clock.now(), r) // ends the attempt and releases the request
		r.Memory.Release()                 // as the handler does
		l.host.sends.Wait()                // the result of the attempt is queued now
		if memory.TryReserve(1) {
			t.Error("memory while the result of an attempt is queued: got a part of it free, want all of it reserved")
			memory.Release(1)
		}
	})
	l.wantResponseStatus(done, http.StatusBadGateway)
	requireAllFree(t, memory)
}

// Guards against limits and budgets whose sum exceeds the memory, or that leave no room for one large request.
func TestMemoryPlanFitsIntoTheMemory(t *testing.T) {
	for _, memoryMB := range []int{32, 48, 64, 80, 96, 128, 192, 2048} {
		for _, sockets := range []int{64, 256, 640, 1024, 4096} {
			t.Run(fmt.Sprintf("%d MB, %d descriptors", memoryMB, sockets), func(t *testing.T) {
				testMemoryPlan(t, memoryMB, sockets)
			})
		}
	}
}

// testMemoryPlan checks the limits and budgets of a node without servers and tenants.
func testMemoryPlan(t *testing.T, memoryMB, sockets int) {
	t.Helper()
	const liveTenths = 6 // of the memory are for live data
	limits := divideDescriptors(sockets)
	plan := planMemory(&config.Config{Limits: config.Limits{MemoryMB: memoryMB, Sockets: sockets}}, limits)
	limited := limits.withClientConns(plan.clientConns)
	if limited.downstream > limits.downstream || limited.upstream > limits.upstream {
		t.Errorf("limits: got %+v, want at most %+v", limited, limits)
	}
	sum := baseMemory + (limited.downstream+limited.reserve)*clientConnMemory + limited.upstream*idleConnMemory
	for _, budget := range []*memorybudget.Budget{plan.bodies, plan.receiving, plan.responses} {
		size := sizeOf(budget)
		sum += size
		if size < minBudget {
			t.Errorf("budget: got %d bytes, want %d at least", size, minBudget)
		}
	}
	if live := memoryMB * bytesPerMB * liveTenths / 10; sum > live {
		t.Errorf("sum of all parts: got %d bytes, want %d at most", sum, live)
	}
}

// sizeOf returns the number of free bytes of a budget, to the nearest KiB.
func sizeOf(budget *memorybudget.Budget) int {
	const step = 1 << 10
	size := 0
	for budget.TryReserve(step) {
		size += step
	}
	return size
}

func TestMemoryPlanWithoutALimitHasNoBudgets(t *testing.T) {
	limits := divideDescriptors(1024)
	plan := planMemory(&config.Config{}, limits)
	if plan.bodies != nil || plan.receiving != nil || plan.responses != nil {
		t.Errorf("plan without a limit of the memory: got %+v, want no budgets", plan)
	}
	if limited := limits.withClientConns(plan.clientConns); limited != limits {
		t.Errorf("limits without a limit of the memory: got %+v, want %+v", limited, limits)
	}
}
