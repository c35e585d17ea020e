package sockstate

import (
	"io"
	"net"
	"syscall"
	"testing"

	"calicohinge/internal/testkit"
)

// connect returns both ends of a loopback connection.
func connect(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(listener)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(dialed) })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(accepted) })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// closeQuietly closes what the test may have closed already.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestPeekShowsWhatThePeerDid(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(t *testing.T, peer *net.TCPConn)
		want State
	}{
		"nothing":            {func(*testing.T, *net.TCPConn) {}, Quiet},
		"wrote":              {func(t *testing.T, peer *net.TCPConn) { write(t, peer, "x") }, Readable},
		"closed":             {func(t *testing.T, peer *net.TCPConn) { check(t, peer.Close()) }, Closed},
		"closed for writing": {func(t *testing.T, peer *net.TCPConn) { check(t, peer.CloseWrite()) }, Closed},
		"reset": {func(t *testing.T, peer *net.TCPConn) {
			check(t, peer.SetLinger(0))
			check(t, peer.Close())
		}, Closed},
		"wrote, then closed": {func(t *testing.T, peer *net.TCPConn) {
			write(t, peer, "x")
			check(t, peer.Close())
		}, Readable},
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := connect(t)
			c.act(t, peer)
			testkit.Until(t, "the connection to be "+c.want.String(), func() bool { return Peek(local) == c.want })
		})
	}
}

func TestPeekLeavesUnreadBytes(t *testing.T) {
	local, peer := connect(t)
	write(t, peer, "x")
	check(t, peer.CloseWrite())
	testkit.Until(t, "bytes", func() bool { return Peek(local) == Readable })
	text, err := io.ReadAll(local)
	if err != nil || string(text) != "x" {
		t.Errorf("read %q, %v", text, err)
	}
	if state := Peek(local); state != Closed {
		t.Errorf("%v after the end was read", state)
	}
}

// A reader that blocks in the connection must not hold up Peek.
func TestPeekDoesNotWaitForABlockedReader(t *testing.T) {
	local, peer := connect(t)
	raw, err := local.SyscallConn()
	check(t, err)
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
			return false // wait for something to read
		})
	}()
	testkit.Wait(t, blocked, "the reader to block")

	states := make(chan State, 1)
	go func() { states <- Peek(local) }()
	if state := testkit.Wait(t, states, "the state"); state != Quiet {
		t.Errorf("%v, want %v", state, Quiet)
	}
	check(t, peer.Close())
	check(t, testkit.Wait(t, read, "the end of the reader"))
}

func TestPeekOfAConnectionThatIsNoOpenSocketIsClosed(t *testing.T) {
	local, _ := connect(t)
	check(t, local.Close())
	if state := Peek(local); state != Closed {
		t.Errorf("closed here: %v", state)
	}
	pipe, other := net.Pipe()
	defer closeQuietly(pipe)
	defer closeQuietly(other)
	if state := Peek(pipe); state != Closed {
		t.Errorf("a pipe: %v", state)
	}
}

func TestStateNames(t *testing.T) {
	for state, want := range map[State]string{
		Quiet: "quiet", Readable: "readable", Closed: "closed", Closed + 1: "unknown",
	} {
		if got := state.String(); got != want {
			t.Errorf("state %d is named %q, want %q", int(state), got, want)
		}
	}
}

// A receive call that fails for a reason of the system says nothing of the peer: its
// connection must not count as closed.
func TestStateOfFailedReceive(t *testing.T) {
	for errno, want := range map[syscall.Errno]State{
		syscall.EAGAIN: Quiet, syscall.ENOMEM: Quiet, syscall.ENOBUFS: Quiet,
		syscall.ECONNRESET: Closed, syscall.ETIMEDOUT: Closed, syscall.EHOSTUNREACH: Closed,
		syscall.ENOTCONN: Closed, syscall.EBADF: Closed,
	} {
		if got := stateOf(-1, errno); got != want {
			t.Errorf("%v is taken for %v, want %v", errno, got, want)
		}
	}
}
