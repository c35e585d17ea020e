// Package wireformat tests that the external formats of the programs stay unchanged: calls to discovery and its
// endpoint lists, requests to servers, responses to clients, configuration keys with their error messages, and
// simulator frames. The tests run the programs and compare their output with fixed texts. They use no other
// package of this module, so that a change of code elsewhere cannot change the expected texts.
package wireformat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// waitTimeout limits each wait, so that a failing test ends. A passing test does not wait that long.
const waitTimeout = 20 * time.Second

// buildProgram builds the program in cmd/name and returns the path of the executable.
func buildProgram(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	build := exec.CommandContext(t.Context(), "go", "build", "-ldflags=-linkmode=external", "-o", path, "../../cmd/"+name)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build of cmd/%s: %v\n%s", name, err, output)
	}
	return path
}

// scriptedServer is a TCP server that records the bytes of each request and writes the next of a list of prepared
// responses. It stands in for discovery or for a server of the load balancer.
type scriptedServer struct {
	address  string
	requests chan string
}

// startScriptedServer starts a server that sends the given responses in order. Requests after the last response
// stay unanswered.
func startScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // also ends the accepting goroutine
	server := &scriptedServer{address: listener.Addr().String(), requests: make(chan string, 100)}
	pending := make(chan string, len(responses))
	for _, response := range responses {
		pending <- response
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn, pending)
		}
	}()
	return server
}

// serve reads requests from a connection and writes the responses until the client closes the connection.
func (s *scriptedServer) serve(conn net.Conn, pending <-chan string) {
	defer func() { _ = conn.Close() }() // the connection is no longer used
	reader := bufio.NewReader(conn)
	for {
		request, err := readMessage(reader)
		if err != nil {
			return
		}
		s.requests <- request
		select {
		case response := <-pending:
			_, _ = io.WriteString(conn, response) // if this fails, the test notices the missing response
		default: // no response is left; the connection stays open
		}
	}
}

// nextRequest waits for the next request and returns it, with the server's own address replaced by ADDRESS.
func (s *scriptedServer) nextRequest(t *testing.T) string {
	t.Helper()
	select {
	case request := <-s.requests:
		return strings.ReplaceAll(request, s.address, "ADDRESS")
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for a request")
		return ""
	}
}

var contentLength = regexp.MustCompile(`(?i)\r\nContent-Length: (\d+)\r\n`)

// readMessage returns the bytes of one HTTP message: the start line, the headers and, if there is a Content-Length,
// the body.
func readMessage(reader *bufio.Reader) (string, error) {
	var message strings.Builder
	for !strings.HasSuffix(message.String(), "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		message.WriteString(line)
	}
	if match := contentLength.FindStringSubmatch(message.String()); match != nil {
		size, err := strconv.Atoi(match[1])
		if err != nil {
			return "", err
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(reader, body); err != nil {
			return "", err
		}
		message.Write(body)
	}
	return message.String(), nil
}

// okResponse returns a response with status 200 and the given body.
func okResponse(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// writeConfig writes a configuration file in JSON and returns its path.
func writeConfig(t *testing.T, config map[string]any) string {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startNode runs a node until the end of the test. It returns the address at which the node serves, which it takes
// from the node's log.
func startNode(t *testing.T, program string, config map[string]any) string {
	t.Helper()
	config["listen"] = "127.0.0.1:0"
	cmd := exec.CommandContext(t.Context(), program)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+writeConfig(t, config))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	serving := make(chan string, 1)
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			if _, address, ok := strings.Cut(lines.Text(), " addr="); ok && strings.Contains(lines.Text(), " serving ") {
				serving <- address
			}
		}
		_ = cmd.Wait() // an error is expected: the node is killed at the end of the test
	}()
	t.Cleanup(func() { <-exited })
	select {
	case address := <-serving:
		return address
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for the node to serve")
		return ""
	}
}

// sendRequest sends a request over a new connection and returns the bytes of the response, with the value of the
// Date header replaced by DATE.
func sendRequest(t *testing.T, address, request string) string {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response has already been read
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := readMessage(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(`\r\nDate: [^\r]*`).ReplaceAllString(response, "\r\nDate: DATE")
}

// waitUntilReady sends health checks until the node reports that it is ready.
func waitUntilReady(t *testing.T, address string) {
	t.Helper()
	const healthCheck = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"
	deadline := time.Now().Add(waitTimeout)
	for !strings.HasPrefix(sendRequest(t, address, healthCheck), "HTTP/1.1 200 ") {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the node to become ready")
		}
	}
}

// checkEqual reports a test error that quotes both texts if they differ.
func checkEqual(t *testing.T, name, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s:\n got %q\nwant %q", name, got, want)
	}
}

const settings = `{"Zones": ["a", "b"], "Accounts": [{"Name": "acme", "QuotaPerS": 1000}], "RegistryMode": "MODE",
	"Limits": {"MaxAttempts": 2, "RetryAfter": true, "MaxRetryAfterMs": 700}, "Classes": [
	{"Name": "read", "Effect": "pure", "DeadlineMs": 8000},
	{"Name": "order", "Effect": "token", "DedupScope": "all", "KeyTtlMs": 6000, "DeadlineMs": 8000},
	{"Name": "notify", "Effect": "side_effect", "DeadlineMs": 8000}]}`

// endpointListJSON returns an endpoint list in the format of discovery. Its first server has the given address and
// is the only ready server. The list also contains unknown keys and an unknown lifecycle, which the node must accept.
func endpointListJSON(generation int, reset bool, server string) string {
	return `{
  "generation": ` + strconv.Itoa(generation) + `,
  "reset": ` + strconv.FormatBool(reset) + `,
  "instances": [
    {"instanceId": "s-1", "hostPort": "` + server + `", "zone": "a", "cell": 2, "lifecycle": "Ready", "weight": 1.5,
     "startedAtMs": 1.5e12, "novel": [1]},
    {"instanceId": "s-2", "hostPort": "127.0.0.1:1", "zone": "b", "cell": 0, "lifecycle": "Terminating", "weight": 1,
     "startedAtMs": 0},
    {"instanceId": "s-3", "hostPort": "127.0.0.1:1", "zone": "b", "cell": 0, "lifecycle": "Gone", "weight": 1,
     "startedAtMs": 0},
    {"instanceId": "s-4", "hostPort": "127.0.0.1:1", "zone": "b", "cell": 0, "lifecycle": "Novel", "weight": 1}
  ],
  "novel": {}
}
`
}

// In both modes, the node first requests a snapshot and then the changes since its generation. It sends client
// requests only to the server whose lifecycle is Ready, at the address in the list.
func TestDiscoveryCallsKeepWireFormat(t *testing.T) {
	program := buildProgram(t, "balancer")
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			server := startScriptedServer(t, okResponse("ok"))
			discovery := startScriptedServer(t,
				okResponse(endpointListJSON(7, true, server.address)),
				okResponse(`{"generation":9,"reset":false,"instances":[]}`))
			address := startNode(t, program, map[string]any{
				"discovery": discovery.address, "settings": json.RawMessage(strings.Replace(settings, "MODE", mode, 1)),
			})
			const headers = " HTTP/1.1\r\nHost: ADDRESS\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n"
			checkEqual(t, "first call", discovery.nextRequest(t), "GET /registry/instances"+headers)
			checkEqual(t, "second call", discovery.nextRequest(t), "GET /registry/instances?after=7&wait_ms=3000"+headers)
			checkEqual(t, "third call", discovery.nextRequest(t), "GET /registry/instances?after=9&wait_ms=3000"+headers)
			waitUntilReady(t, address)
			sendRequest(t, address, "GET /read HTTP/1.1\r\nHost: n\r\nX-Request-ID: r1\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n\r\n")
			if got := server.nextRequest(t); !strings.HasPrefix(got, "GET /read HTTP/1.1\r\n") {
				t.Errorf("request at the ready server: got %q, want GET /read", got)
			}
		})
	}
}

// The node takes its endpoint list from the configuration, in which the list has the same format as from discovery.
func TestRequestsAndResponsesKeepWireFormat(t *testing.T) {
	program := buildProgram(t, "balancer")
	const response = "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Server: s-1\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok"
	server := startScriptedServer(t, response, response, response)
	address := startNode(t, program, map[string]any{
		"discovery": "127.0.0.1:1", "settings": json.RawMessage(strings.Replace(settings, "MODE", "pushed", 1)),
		"known": json.RawMessage(endpointListJSON(7, true, server.address)),
	})
	waitUntilReady(t, address)
	timeout := regexp.MustCompile(`X-Timeout-Ms: 7\d\d\d\r\n`)
	for _, c := range forwardedRequests() {
		got := sendRequest(t, address, c.request)
		checkEqual(t, c.name+", response", got, forwardedResponse)
		forwarded := timeout.ReplaceAllString(server.nextRequest(t), "X-Timeout-Ms: LEFT\r\n")
		checkEqual(t, c.name+", request to the server", forwarded, c.forwarded)
	}
	for _, c := range localRequests() {
		checkEqual(t, c.name, sendRequest(t, address, c.request), c.response)
	}
}

// An invalid value of a known key is rejected with an error that names the key, which shows that the node still
// reads this key. An unknown key is ignored.
func TestConfigurationKeysAndErrorsKeepText(t *testing.T) {
	program := buildProgram(t, "balancer")
	for _, c := range invalidValues() {
		path := writeConfig(t, c.configuration(t))
		cmd := exec.CommandContext(t.Context(), program)
		cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
		output, err := cmd.CombinedOutput()
		if err == nil {
			t.Errorf("balancer with the configuration value %s %s exited with status 0, want an error", c.key, c.value)
		}
		checkEqual(t, c.key+" "+c.value, strings.ReplaceAll(string(output), path, "FILE"), c.message+"\n")
	}
}

// configuration returns a configuration that is valid except for v.
func (v invalidValue) configuration(t *testing.T) map[string]any {
	t.Helper()
	values := map[string]any{}
	if err := json.Unmarshal([]byte(`{"Zones": ["a"], "Classes": [{"Name": "read", "Effect": "pure", "DeadlineMs": 8000}]}`), &values); err != nil {
		t.Fatal(err)
	}
	config := map[string]any{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "unknown": 1, "settings": values}
	if v.key != "" {
		config[v.key] = json.RawMessage(v.value)
		return config
	}
	if err := json.Unmarshal([]byte(v.value), &values); err != nil {
		t.Fatal(err)
	}
	return config
}

// The batches contain every kind of event except stream started. At most one server is ready at any time, so that no
// random choice affects the replies.
func TestSimulatorFramesKeepWireFormat(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), buildProgram(t, "simadapter"))
	cmd.Stdin = bytes.NewReader(simulatorInput(t))
	var output, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &stderr
	if err := cmd.Run(); err != nil {
		t.Fatalf("simadapter: %v\n%s", err, stderr.Bytes())
	}
	checkEqual(t, "replies", formatReplies(output.Bytes()), simulatorReplies)
}
