package testkit

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestPartitionedMachineIsUnreachable(t *testing.T) {
	machine := NewMachine(t, func(*http.Request) Response { return Response{Status: http.StatusOK, Body: "reachable"} })
	client := http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	get := func() string {
		response, err := client.Get("http://" + machine.Address)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }() // it has been read
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err.Error()
		}
		return string(body)
	}
	if got := get(); got != "reachable" {
		t.Fatalf("response %q", got)
	}
	machine.Partition(t)
	if _, err := net.DialTimeout("tcp", machine.Address, connectTimeout); !IsTimeout(err) {
		t.Errorf("dial during the partition: %v, want a timeout", err)
	}
	responses := make(chan string, 1)
	go func() { responses <- get() }() // on the connection from before
	machine.Heal(t)
	Wait(t, responses, "the end of the call during the partition")
	if got := get(); got != "reachable" {
		t.Errorf("response %q after the partition", got)
	}
}

// gatedListener begins its first Accept when the gate opens, like one whose goroutine is scheduled late.
type gatedListener struct {
	net.Listener
	called   chan<- struct{}
	gate     <-chan struct{}
	returned chan<- struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	trySignal(l.called)
	<-l.gate
	defer trySignal(l.returned)
	return l.Listener.Accept()
}

// trySignal sends to a channel, unless that is full: only the first call counts.
func trySignal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func TestPendingAcceptDoesNotEndPartition(t *testing.T) {
	listener := Listen(t)
	machine := &Machine{
		Address: listener.Addr().String(), listener: listener.(*net.TCPListener), changed: make(chan struct{}),
	}
	called, gate, returned := make(chan struct{}, 1), make(chan struct{}), make(chan struct{}, 1)
	machine.serve(t, gatedListener{listener, called, gate, returned})
	Wait(t, called, "the Accept")
	time.AfterFunc(2*connectTimeout, func() { close(gate) })
	machine.Partition(t)
	Wait(t, returned, "the return of the pending Accept")
	if _, err := net.DialTimeout("tcp", machine.Address, connectTimeout); !IsTimeout(err) {
		t.Errorf("dial after the pending Accept: %v, want a timeout", err)
	}
}
