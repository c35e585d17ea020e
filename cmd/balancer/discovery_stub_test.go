package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
)

// queueLength is how many calls may wait at an overbooked discovery.
const queueLength = 1 << 16

// outage says how a discovery service is away until back is closed: its address refuses
// connections, or it answers calls with status 503.
type outage struct {
	back    <-chan struct{}
	refuses bool
}

// overbookedDiscovery serves a list once it is back. It takes calls for the complete list
// one after the other, each for timePerCall, those that were given up included.
type overbookedDiscovery struct {
	tb          testing.TB
	list        endpoint.List
	outage      outage
	timePerCall time.Duration
	queue       chan chan struct{} // one for each call, closed when it has had its time
}

// startDiscovery starts one and returns its address.
func startDiscovery(tb testing.TB, list endpoint.List, outage outage, timePerCall time.Duration) (addr string) {
	tb.Helper()
	stub := &overbookedDiscovery{
		tb: tb, list: list, outage: outage, timePerCall: timePerCall, queue: make(chan chan struct{}, queueLength),
	}
	go stub.work()
	server := &http.Server{Handler: stub}
	tb.Cleanup(func() { _ = server.Close() }) // the test is over
	addr, listen := bindAddr(tb)
	serve := func() {
		listener, err := listen()
		if err != nil {
			tb.Error(err)
			return
		}
		go func() { _ = server.Serve(listener) }() // ends with the server's Close
	}
	if outage.refuses {
		go stub.afterOutage(serve)
	} else {
		serve()
	}
	return addr
}

// afterOutage serves once the outage is over.
func (d *overbookedDiscovery) afterOutage(serve func()) {
	select {
	case <-d.outage.back:
		serve()
	case <-d.tb.Context().Done():
	}
}

// work takes the calls for the complete list in turn.
func (d *overbookedDiscovery) work() {
	for {
		select {
		case finished := <-d.queue:
			time.Sleep(d.timePerCall) // what is under test
			close(finished)
		case <-d.tb.Context().Done():
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (d *overbookedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-d.outage.back:
	default:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("after") == fmt.Sprint(d.list.Generation) {
		d.serveNoChange(w, r)
		return
	}
	finished := make(chan struct{})
	d.queue <- finished
	select {
	case <-finished:
		_ = json.NewEncoder(w).Encode(d.list) // the call may have been given up
	case <-d.tb.Context().Done():
	}
}

// serveNoChange holds a watch for as long as it asks and tells of no change.
func (d *overbookedDiscovery) serveNoChange(w http.ResponseWriter, r *http.Request) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
	if err != nil {
		d.tb.Error(err)
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	_, _ = fmt.Fprintf(w, `{"generation": %d, "instances": []}`, d.list.Generation) // the node may have ended
}

// bindAddr returns an address that refuses connections until listen is called.
func bindAddr(tb testing.TB) (addr string, listen func() (net.Listener, error)) {
	tb.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "discovery")
	closeAtEnd(tb, file)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		tb.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		tb.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port), func() (net.Listener, error) {
		if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
			return nil, err
		}
		return net.FileListener(file)
	}
}

// closeAtEnd closes something at the end of the test, by when nobody uses it.
func closeAtEnd(tb testing.TB, closer io.Closer) {
	tb.Helper()
	tb.Cleanup(func() { _ = closer.Close() })
}
