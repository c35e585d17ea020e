// Package wireformat compares with fixed texts what the programs exchange with other systems: calls to discovery
// and the lists that it sends, requests to servers, responses to clients, the keys of the settings and the frames
// of the simulator. Its tests run the programs and use no other package of this module.
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

// waitTimeout ends a test that fails. It never delays one that passes.
const waitTimeout = 20 * time.Second

// buildProgram builds a program of this module and returns its path.
func buildProgram(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	build := exec.CommandContext(t.Context(), "go", "build", "-ldflags=-linkmode=external", "-o", path, "../../cmd/"+name)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return path
}

// scriptedServer is a service that records the bytes of each request and responds with the next text of a list.
type scriptedServer struct {
	address  string
	requests chan string
}

// startScriptedServer starts a service. After the last of the responses it leaves requests without a response.
func startScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // ends the goroutine that accepts
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

// serve reads requests from a connection until it ends.
func (s *scriptedServer) serve(conn net.Conn, pending <-chan string) {
	defer func() { _ = conn.Close() }() // the test is over
	reader := bufio.NewReader(conn)
	for {
		request, err := readMessage(reader)
		if err != nil {
			return
		}
		s.requests <- request
		select {
		case response := <-pending:
			_, _ = io.WriteString(conn, response) // the test sees what is missing
		default: // the connection stays open without a response
		}
	}
}

// nextRequest returns the next request, with the service's own address replaced.
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

// readMessage reads the bytes of one HTTP message: its head, and its body if it has a Content-Length.
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

// okResponse returns a response of status 200 with a body.
func okResponse(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// writeConfig writes a configuration file and returns its path.
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

// startNode runs a node until the end of the test and returns the address at which it serves.
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
		_ = cmd.Wait() // it is killed at the end of the test
	}()
	t.Cleanup(func() { <-exited })
	select {
	case address := <-serving:
		return address
	case <-time.After(waitTimeout):
		t.Fatal("the node does not serve")
		return ""
	}
}

// sendRequest sends a request over a connection of its own and returns the bytes of the response, with the value of
// its Date replaced.
func sendRequest(t *testing.T, address, request string) string {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response has been read
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

// waitUntilReady waits until the node reports that it is ready.
func waitUntilReady(t *testing.T, address string) {
	t.Helper()
	const healthCheck = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n"
	deadline := time.Now().Add(waitTimeout)
	for !strings.HasPrefix(sendRequest(t, address, healthCheck), "HTTP/1.1 200 ") {
		if time.Now().After(deadline) {
			t.Fatal("the node does not become ready")
		}
	}
}

// checkEqual checks that two texts are equal. It quotes both if they differ.
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

// endpointListJSON returns an endpoint list in the form in which discovery sends it. The indentation
// is arbitrary.
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

// The node asks for the complete list, then for changes since its generation, in both modes. Only the server
// that is Ready gets a request, at the address of the list.
func TestCallsToDiscoveryKeepTheirBytes(t *testing.T) {
	program := buildProgram(t, "balancer")
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			server := startScriptedServer(t, okResponse("ok"))
			discovery := startScriptedServer(t, okResponse(endpointListJSON(7, true, server.address)), okResponse(`{"generation":9,"reset":false,"instances":[]}`))
			address := startNode(t, program, map[string]any{
				"discovery": discovery.address, "settings": json.RawMessage(strings.Replace(settings, "MODE", mode, 1)),
			})
			const headers = " HTTP/1.1\r\nHost: ADDRESS\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n"
			checkEqual(t, "first call", discovery.nextRequest(t), "GET /registry/instances"+headers)
			checkEqual(t, "second call", discovery.nextRequest(t), "GET /registry/instances?after=7&wait_ms=3000"+headers)
			checkEqual(t, "third call", discovery.nextRequest(t), "GET /registry/instances?after=9&wait_ms=3000"+headers)
			waitUntilReady(t, address)
			sendRequest(t, address, "GET /read HTTP/1.1\r\nHost: n\r\nX-Request-ID: r1\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n\r\n")
			if !strings.HasPrefix(server.nextRequest(t), "GET /read HTTP/1.1\r\n") {
				t.Error("the server that is ready got another request")
			}
		})
	}
}

// The node gets its endpoint list from the configuration, in the form in which discovery sends it.
func TestRequestsAndResponsesKeepTheirBytes(t *testing.T) {
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
		checkEqual(t, c.name+", request to the server", timeout.ReplaceAllString(server.nextRequest(t), "X-Timeout-Ms: LEFT\r\n"), c.forwarded)
	}
	for _, c := range localRequests() {
		checkEqual(t, c.name, sendRequest(t, address, c.request), c.response)
	}
}

// A value that a key of the configuration cannot have is rejected with the name of the key. An unknown key is
// ignored.
func TestKeysOfTheConfigurationKeepTheirNames(t *testing.T) {
	program := buildProgram(t, "balancer")
	for _, c := range invalidValues() {
		path := writeConfig(t, c.configuration(t))
		cmd := exec.CommandContext(t.Context(), program)
		cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
		output, err := cmd.CombinedOutput()
		if err == nil {
			t.Errorf("%s %s is accepted", c.key, c.value)
		}
		checkEqual(t, c.key+" "+c.value, strings.ReplaceAll(string(output), path, "FILE"), c.message+"\n")
	}
}

// configuration returns a configuration in which the value replaces a valid one.
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

// The batches hold each kind of event. At most one server is ready at any time, so that the replies do not
// depend on chance.
func TestFramesOfTheSimulatorKeepTheirBytes(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), buildProgram(t, "simadapter"))
	cmd.Stdin = bytes.NewReader(simulatorInput(t))
	var output, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &stderr
	if err := cmd.Run(); err != nil {
		t.Fatalf("%v: %s", err, stderr.Bytes())
	}
	checkEqual(t, "replies", formatReplies(output.Bytes()), simulatorReplies)
}
