package sockstate

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// connectLoopback returns both ends of a new loopback connection: the local end, then the peer's end.
func connectLoopback(t *testing.T) (*net.TCPConn, *net.TCPConn) {
	t.Helper()
	listener := testkit.Listen(t)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeIgnoringError(dialed) })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeIgnoringError(accepted) })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// closeIgnoringError closes a connection that the test may already have closed.
func closeIgnoringError(closer io.Closer) { _ = closer.Close() }

// writeByte writes the byte "x".
func writeByte(conn *net.TCPConn) error {
	_, err := io.WriteString(conn, "x")
	return err
}

// requireNoError fails the test unless err is nil.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestPeekReportsWhatThePeerDid(t *testing.T) {
	for name, c := range map[string]struct {
		peerAction func(peer *net.TCPConn) error
		want       State
	}{
		"nothing":            {func(*net.TCPConn) error { return nil }, Idle},
		"wrote":              {writeByte, Readable},
		"closed":             {(*net.TCPConn).Close, Closed},
		"closed for writing": {(*net.TCPConn).CloseWrite, Closed},
		"reset":              {func(peer *net.TCPConn) error { return errors.Join(peer.SetLinger(0), peer.Close()) }, Closed},
		"wrote, then closed": {func(peer *net.TCPConn) error { return errors.Join(writeByte(peer), peer.Close()) }, Readable},
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := connectLoopback(t)
			requireNoError(t, c.peerAction(peer))
			testkit.WaitUntil(t, "the connection to be "+c.want.String(), func() bool { return Peek(local) == c.want })
		})
	}
}

func TestPeekLeavesUnreadBytes(t *testing.T) {
	local, peer := connectLoopback(t)
	requireNoError(t, writeByte(peer))
	requireNoError(t, peer.CloseWrite())
	testkit.WaitUntil(t, "unread bytes", func() bool { return Peek(local) == Readable })
	text, err := io.ReadAll(local)
	if err != nil || string(text) != "x" {
		t.Errorf("io.ReadAll(): got %q, error %v; want %q, no error", text, err, "x")
	}
	if state := Peek(local); state != Closed {
		t.Errorf("Peek() after the end of the input = %v, want %v", state, Closed)
	}
}

// RawConn.Read would wait for another goroutine that is blocked reading from the connection. Peek must not wait.
func TestPeekDoesNotWaitForABlockedReader(t *testing.T) {
	local, peer := connectLoopback(t)
	raw, err := local.SyscallConn()
	requireNoError(t, err)
	blocked := make(chan struct{}, 1)
	read := make(chan error, 1)
	go func() {
		first := true
		read <- raw.Read(func(uintptr) bool {
			if !first {
				return true
			}
			first = false
			blocked <- struct{}{}
			return false // block until the connection is readable
		})
	}()
	testkit.Receive(t, blocked, "the reader to block")

	states := make(chan State, 1)
	go func() { states <- Peek(local) }()
	if state := testkit.Receive(t, states, "the state"); state != Idle {
		t.Errorf("Peek() while a reader is blocked = %v, want %v", state, Idle)
	}
	requireNoError(t, peer.Close())
	requireNoError(t, testkit.Receive(t, read, "the reader to return"))
}

func TestPeekReturnsClosedWithoutAnOpenSocket(t *testing.T) {
	local, _ := connectLoopback(t)
	requireNoError(t, local.Close())
	if state := Peek(local); state != Closed {
		t.Errorf("Peek() after a local close = %v, want %v", state, Closed)
	}
	pipe, other := net.Pipe()
	defer closeIgnoringError(pipe)
	defer closeIgnoringError(other)
	if state := Peek(pipe); state != Closed {
		t.Errorf("Peek() of a pipe = %v, want %v", state, Closed)
	}
}

func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{
		Idle: "idle", Readable: "readable", Closed: "closed", Closed + 1: "unknown",
	} {
		if got := state.String(); got != want {
			t.Errorf("State(%d).String() = %q, want %q", int(state), got, want)
		}
	}
}

// A receive call that fails because this machine is short of a resource does not mean that the connection is
// closed.
func TestStateOfFailedReceive(t *testing.T) {
	for errno, want := range map[syscall.Errno]State{
		syscall.EAGAIN: Idle, syscall.ENOMEM: Idle, syscall.ENOBUFS: Idle,
		syscall.ECONNRESET: Closed, syscall.ETIMEDOUT: Closed, syscall.EHOSTUNREACH: Closed,
		syscall.ENOTCONN: Closed, syscall.EBADF: Closed,
	} {
		if got := stateOf(-1, errno); got != want {
			t.Errorf("stateOf(-1, %v) = %v, want %v", errno, got, want)
		}
	}
}

// Guards against an age of a request that does not include the time for which its bytes lay unread.
func TestSinceLastDataIncludesTheTimeBeforeTheRead(t *testing.T) {
	const (
		unreadFor = 50 * time.Millisecond
		clockTick = 10 * time.Millisecond // the longest tick of the kernel's clock
	)
	conn, peer := connectLoopback(t)
	if since, known := SinceLastData(conn); known {
		t.Errorf("SinceLastData before any data: got %v, want an unknown time", since)
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the byte to arrive", func() bool { return Peek(conn) == Readable })
	arrivedAt := time.Now()
	testkit.WaitUntil(t, "the byte to lie unread for a while", func() bool { return time.Since(arrivedAt) > unreadFor })
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if since, known := SinceLastData(conn); !known || since < unreadFor-clockTick {
		t.Errorf("SinceLastData: got %v, known %v; want %v at least", since, known, unreadFor-clockTick)
	}
}

func TestSinceLastDataIsUnknownWithoutASocket(t *testing.T) {
	conn, peer := net.Pipe()
	defer closeIgnoringError(conn)
	defer closeIgnoringError(peer)
	if since, known := SinceLastData(conn); known {
		t.Errorf("SinceLastData of a pipe: got %v, want an unknown time", since)
	}
}

// Guards against a disconnect that stays unseen behind bytes for which no memory is free.
func TestPeerClosedSeesACloseBehindUnreadBytes(t *testing.T) {
	conn, peer := connectLoopback(t)
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the byte to arrive", func() bool { return Peek(conn) == Readable })
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	peerClosed := func() bool {
		closed := false
		if err := raw.Control(func(fd uintptr) { closed = PeerClosed(int(fd)) }); err != nil {
			t.Fatal(err)
		}
		return closed
	}
	if peerClosed() {
		t.Error("PeerClosed of an open connection = true, want false")
	}
	closeIgnoringError(peer)
	testkit.WaitUntil(t, "the close to be seen", peerClosed)
}

func TestUnacknowledgedCountsWhatThePeerHasNotReceived(t *testing.T) {
	server := testkit.NewStalledServer(t)
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the test ends with it
	if bytes, known := Unacknowledged(conn); !known || bytes != 0 {
		t.Errorf("Unacknowledged of a new connection: got %d, %v; want 0, true", bytes, known)
	}
	if _, err := conn.Write(make([]byte, testkit.StalledBody)); err != nil {
		t.Fatal(err)
	}
	if bytes, known := Unacknowledged(conn); !known || bytes == 0 {
		t.Errorf("Unacknowledged after a write that the peer does not read: got %d, %v; want more than 0, true", bytes, known)
	}
	received := make(chan int, 1)
	accepted := server.AwaitWritten(t)
	go func() {
		n, _ := io.ReadFull(accepted, make([]byte, testkit.StalledBody)) // an error shows in n
		received <- n
	}()
	if n := testkit.Receive(t, received, "the peer to read"); n != testkit.StalledBody {
		t.Fatalf("bytes that the peer read: got %d, want %d", n, testkit.StalledBody)
	}
	testkit.WaitUntil(t, "the peer's acknowledgement", func() bool {
		bytes, known := Unacknowledged(conn)
		return known && bytes == 0
	})
	_ = conn.Close()
	if _, known := Unacknowledged(conn); known {
		t.Error("Unacknowledged of a closed connection: got known, want unknown")
	}
}
