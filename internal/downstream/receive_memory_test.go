package downstream

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"calicohinge/internal/httphead"
	"calicohinge/internal/memorybudget"
	"calicohinge/internal/testkit"
)

// testReceiveMemory is the memory of connsWithMemory, in bytes: far less than one large head or body.
const testReceiveMemory = 16 << 10

// connsWithMemory returns a set of connections with testReceiveMemory, and its budget.
func connsWithMemory() (*Conns, *memorybudget.Budget) {
	conns, memory := newTestConns(5), memorybudget.New(testReceiveMemory)
	conns.config.ReceiveMemory = memory
	return conns, memory
}

// requireAllFree fails the test if some memory of a budget is not released.
func requireAllFree(t *testing.T, memory *memorybudget.Budget, when string) {
	t.Helper()
	if !memory.TryReserve(testReceiveMemory) {
		t.Fatalf("memory %s: got a part of it reserved, want all of it free", when)
	}
	memory.Release(testReceiveMemory)
}

// readUntilError reads from a connection until a read fails, and returns the error.
func readUntilError(c *Conn) error {
	for buffer := make([]byte, serverBufferSize); ; {
		if _, err := c.Read(buffer); err != nil {
			return err
		}
	}
}

// Guards against a head of thousands of short fields, for which net/http allocates many times its size.
func TestHeadWithTooManyLinesFails(t *testing.T) {
	client, c := acceptConn(t, newTestConns(5))
	send(t, client, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", httphead.MaxLines))
	if err := readUntilError(c); !errors.Is(err, errTooManyHeadLines) {
		t.Errorf("Read of %d lines: got %v, want %v", httphead.MaxLines+1, err, errTooManyHeadLines)
	}
}

// Guards against large heads whose sum exceeds the memory, and against memory that is never released.
func TestHeadIsRejectedIfNoMemoryIsFree(t *testing.T) {
	conns, memory := connsWithMemory()
	client, c := acceptConn(t, conns)
	send(t, client, "GET / HTTP/1.1\r\nA: "+strings.Repeat("x", testReceiveMemory)+"\r\n\r\n")
	if err := readUntilError(c); !errors.Is(err, errClosed) {
		t.Errorf("Read of a head without memory: got %v, want %v", err, errClosed)
	}
	response := make([]byte, len(memoryRejection))
	if _, err := io.ReadFull(client, response); err != nil || string(response) != memoryRejection {
		t.Errorf("response to a head without memory: got %q, error %v; want %q", response, err, memoryRejection)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	requireAllFree(t, memory, "after the connection was closed")
}

// Guards against a head whose memory is reserved after its response.
func TestMemoryOfAHeadIsReleasedWithItsResponse(t *testing.T) {
	conns, memory := connsWithMemory()
	client, c := acceptConn(t, conns)
	head := "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", headAllowance/2) + "\r\n\r\n"
	send(t, client, head)
	if _, err := io.ReadFull(c, make([]byte, len(head))); err != nil {
		t.Fatalf("Read of a head within the memory: got %v, want no error", err)
	}
	if memory.TryReserve(testReceiveMemory) {
		t.Fatal("memory while the request is active: got all of it free, want a part reserved")
	}
	makeIdle(conns, c)
	requireAllFree(t, memory, "after the response")
}

// Guards against bytes read ahead whose sum exceeds the memory. Without free memory the rest stays unread, a disconnect
// behind it is detected all the same, and the memory is released.
func TestReadAheadPausesIfNoMemoryIsFree(t *testing.T) {
	conns, memory := connsWithMemory()
	client, c := acceptConn(t, conns)
	c.MarkRequestRead()
	sendUnread(t, client, c, strings.Repeat("x", testMaxReadAheadBytes/2))
	testkit.WaitUntil(t, "the memory to be used up", func() bool {
		disconnected := c.ClientDisconnected()
		return disconnected || len(c.readAhead) == readAheadChunkSize+c.readAheadReserved
	})
	if c.ClientDisconnected() {
		t.Error("ClientDisconnected() with unread bytes = true, want false")
	}
	if held := cap(c.readAhead); held > testReceiveMemory+readAheadChunkSize {
		t.Errorf("capacity of the read-ahead buffer: got %d, want at most %d", held, testReceiveMemory+readAheadChunkSize)
	}
	closeClient(t, client)
	testkit.WaitUntil(t, "the disconnect behind unread bytes to be detected", c.ClientDisconnected)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	requireAllFree(t, memory, "after the connection was closed")
}

// Guards against a connection that is evicted although its request waits for memory: the client is owed a response.
func TestConnAwaitingMemoryIsNotEvicted(t *testing.T) {
	conns := newTestConns(1)
	client, c := acceptConn(t, conns)
	send(t, client, "POST")
	expectRead(t, c, "POST")
	conns.HandleConnState(c, http.StateActive)
	c.BeginMemoryWait()
	if active := conns.Stats().Active; active != 1 {
		t.Errorf("active connections during the wait: got %d, want 1", active)
	}
	withLock(conns, func() {
		if candidate, _ := conns.evictionCandidate(c.graceStart.Add(partialGracePeriod)); candidate != nil {
			t.Error("evictionCandidate during the wait: got the connection, want none")
		}
	})
	c.EndMemoryWait()
	if active := conns.Stats().Active; active != 0 {
		t.Errorf("active connections after the wait: got %d, want 0", active)
	}
	withLock(conns, func() {
		if candidate, _ := conns.evictionCandidate(c.graceStart.Add(partialGracePeriod)); candidate != c {
			t.Error("evictionCandidate after the wait: got none, want the connection")
		}
	})
}
