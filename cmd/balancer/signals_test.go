package main

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

// signalSelf sends this process a signal, as the program runs inside of it.
func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// After SIGTERM the program completes the requests that it has and exits without an error.
func TestActiveRequestsGetAResponseAfterSIGTERM(t *testing.T) {
	respond := make(chan struct{})
	server := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-respond
		testkit.OK(w, r)
	})
	addr := testkit.FreeAddr(t)
	t.Setenv("BALANCER_CONFIG", newConfigFile(t, addr, server.Address()).Path)
	exited := make(chan error, 1)
	go func() { exited <- run() }()
	balancertest.AwaitReady(t, addr)
	responses := make(chan string, 1)
	go func() { responses <- post(addr) }()
	testkit.Wait(t, server.Requests, "the request")
	signalSelf(t, syscall.SIGTERM)
	close(respond)
	if body := testkit.Wait(t, responses, "a response"); body != "done" {
		t.Errorf("response %q", body)
	}
	awaitExit(t, exited)
}

// configText returns a configuration with an address of the discovery service.
func configText(discovery string) []byte {
	return []byte(`{"listen": "127.0.0.1:0", "discovery": "` + discovery + `", "settings": ` + baseSettings + `}`)
}

// startNamedDiscovery serves an empty list and sends its name for each call that gets it. It returns its address.
func startNamedDiscovery(t *testing.T, name string, calls chan<- string) string {
	t.Helper()
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done() // nothing new
			return
		}
		calls <- name
		_, _ = io.WriteString(w, `{"generation": 1, "reset": true, "instances": []}`) // the node may have abandoned the call
	})
}

// SIGHUP changes the address of the discovery service to the one in the file, each time. A file
// that cannot be used changes nothing. The file takes precedence over the environment, which
// cannot change while the program runs.
func TestSIGHUPChangesDiscoveryAddressAndSurvivesBadFiles(t *testing.T) {
	calls := make(chan string, 1000)
	expectCall := func(name string) {
		t.Helper()
		if got := testkit.Wait(t, calls, "a call to "+name); got != name {
			t.Fatalf("%s is called, want %s", got, name)
		}
	}
	first := startNamedDiscovery(t, "first", calls)
	file := balancertest.NewConfigFile(t, configText(first))
	t.Setenv("BALANCER_CONFIG", file.Path)
	t.Setenv("BALANCER_DISCOVERY", first)
	exited := make(chan error, 1)
	go func() { exited <- run() }()
	expectCall("first")
	for _, name := range []string{"second", "third"} {
		file.Replace(t, configText(startNamedDiscovery(t, name, calls)))
		signalSelf(t, syscall.SIGHUP)
		expectCall(name)
	}
	logged := captureLog(t)
	for _, text := range [][]byte{[]byte(`{"listen"`), configText("nowhere"), nil} {
		file.Replace(t, text)
		signalSelf(t, syscall.SIGHUP)
		line := testkit.Wait(t, logged, "a log line")
		for strings.Contains(line, "endpoint list updated") { // that of the third address
			line = testkit.Wait(t, logged, "a log line")
		}
		if !strings.Contains(line, "keeping the old one") {
			t.Errorf("logged %q", line)
		}
	}
	file.Replace(t, configText(startNamedDiscovery(t, "fourth", calls)))
	signalSelf(t, syscall.SIGHUP)
	expectCall("fourth")
	signalSelf(t, syscall.SIGTERM)
	awaitExit(t, exited)
}

// lineWriter sends each line that is written to a channel.
type lineWriter chan<- string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// captureLog returns the lines that are logged from now on, to the end of the test.
func captureLog(t *testing.T) <-chan string {
	t.Helper()
	logged, previous := make(chan string, 100), slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(lineWriter(logged), nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return logged
}
