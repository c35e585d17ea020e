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

// signalSelf sends a signal to the test process, in which run is called.
func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// A request that is at a server when SIGTERM arrives must still get its response, and run must return without an error.
func TestActiveRequestsGetAResponseAfterSIGTERM(t *testing.T) {
	respond := make(chan struct{})
	server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, r *http.Request) {
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
	testkit.Receive(t, server.Requests, "the request at the server")
	signalSelf(t, syscall.SIGTERM)
	close(respond)
	if body := testkit.Receive(t, responses, "the response"); body != "done" {
		t.Errorf("response to the request that was active at SIGTERM is %q, want %q", body, "done")
	}
	awaitExit(t, exited)
}

// configText returns a configuration with the given address of the discovery service.
func configText(discovery string) []byte {
	return []byte(`{"listen": "127.0.0.1:0", "discovery": "` + discovery + `", "settings": ` + baseSettings + `}`)
}

// startNamedDiscovery starts a discovery service with an empty endpoint list and returns its address. For each call
// that gets the list, the service sends its name to the channel.
func startNamedDiscovery(t *testing.T, name string, calls chan<- string) string {
	t.Helper()
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done() // a watch: the list never changes
			return
		}
		calls <- name
		// The error is ignored: the node may have abandoned the call.
		_, _ = io.WriteString(w, `{"generation": 1, "reset": true, "instances": []}`)
	})
}

// Each SIGHUP must make the node use the discovery address in the configuration file. If the file is invalid, the
// node must log the error and keep the old address. On SIGHUP the file takes precedence over BALANCER_DISCOVERY, since
// the environment cannot change while the program runs.
func TestSIGHUPChangesDiscoveryAddressAndSurvivesBadFiles(t *testing.T) {
	calls := make(chan string, 1000)
	expectCall := func(name string) {
		t.Helper()
		if got := testkit.Receive(t, calls, "a call to "+name); got != name {
			t.Fatalf("the node called the discovery service named %q, want %q", got, name)
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
		line := testkit.Receive(t, logged, "a log line after SIGHUP with an invalid file")
		for strings.Contains(line, "endpoint list updated") { // logged for the list of the third discovery service
			line = testkit.Receive(t, logged, "a log line after SIGHUP with an invalid file")
		}
		if !strings.Contains(line, "keeping the old one") {
			t.Errorf("SIGHUP with the configuration %q logged %q, want a line with %q", text, line, "keeping the old one")
		}
	}
	file.Replace(t, configText(startNamedDiscovery(t, "fourth", calls)))
	signalSelf(t, syscall.SIGHUP)
	expectCall("fourth")
	signalSelf(t, syscall.SIGTERM)
	awaitExit(t, exited)
}

// lineWriter is an io.Writer that sends each log line to a channel.
type lineWriter chan<- string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// captureLog redirects the default logger until the end of the test and returns the lines that are logged.
func captureLog(t *testing.T) <-chan string {
	t.Helper()
	logged, previous := make(chan string, 100), slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(lineWriter(logged), nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return logged
}
