package testkit

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestPartitionedServiceIsUnreachable(t *testing.T) {
	service := NewPartitionableService(t, func(*http.Request) Response {
		return Response{Status: http.StatusOK, Body: "reachable"}
	})
	client := http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	get := func() string {
		response, err := client.Get("http://" + service.Address)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }() // the body has been read
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err.Error()
		}
		return string(body)
	}
	if got := get(); got != "reachable" {
		t.Fatalf("call before the partition returned %q, want %q", got, "reachable")
	}
	service.Partition(t)
	if _, err := net.DialTimeout("tcp", service.Address, connectTimeout); !IsTimeout(err) {
		t.Errorf("dial during the partition returned error %v, want a timeout", err)
	}
	responses := make(chan string, 1)
	go func() { responses <- get() }() // reuses the connection that was opened before the partition
	service.Heal(t)
	Receive(t, responses, "the result of the call that started during the partition")
	if got := get(); got != "reachable" {
		t.Errorf("call after the partition returned %q, want %q", got, "reachable")
	}
}

// gatedListener delays Accept until gate is closed, like a listener whose goroutine is scheduled late.
type gatedListener struct {
	net.Listener
	called   chan<- struct{} // receives a value when Accept is called
	gate     <-chan struct{} // closed by the test to let Accept continue
	returned chan<- struct{} // receives a value when Accept returns
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	trySignal(l.called)
	<-l.gate
	defer trySignal(l.returned)
	return l.Listener.Accept()
}

// trySignal sends a value to a channel unless the channel is full. The test receives only the first value.
func trySignal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// An Accept that is pending when a partition begins takes a connection from the accept queue later. A client must
// not be able to connect to the service by way of the freed place in the queue.
func TestPendingAcceptDoesNotEndPartition(t *testing.T) {
	listener := Listen(t)
	service := &PartitionableService{
		Address: listener.Addr().String(), listener: listener.(*net.TCPListener), changed: make(chan struct{}),
	}
	called, gate, returned := make(chan struct{}, 1), make(chan struct{}), make(chan struct{}, 1)
	service.serve(t, gatedListener{listener, called, gate, returned})
	Receive(t, called, "the first call of Accept")
	time.AfterFunc(2*connectTimeout, func() { close(gate) })
	service.Partition(t)
	Receive(t, returned, "the return of the pending Accept")
	if _, err := net.DialTimeout("tcp", service.Address, connectTimeout); !IsTimeout(err) {
		t.Errorf("dial after the return of the pending Accept: got error %v, want a timeout", err)
	}
}
