// Package lab starts the project's node and small stand-ins for its clients, servers and discovery. All of them use
// loopback addresses and the real clock.
package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Record is the record of a run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

// Linef adds a line with the time since the start of the run in milliseconds.
func (r *Record) Linef(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.1f ", float64(time.Since(r.start).Microseconds())/1000)
	_, _ = fmt.Fprintf(r.out, format+"\n", arguments...)
}

// Close writes the rest of the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Instance is one line of discovery's list.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// List is a whole list of discovery.
type List struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is a discovery service. It answers each call with the whole list; a watch waits for a later generation.
type Discovery struct {
	Addr    string
	mu      sync.Mutex
	list    List
	changed chan struct{}
}

// NewDiscovery starts a discovery service with a list of generation 1.
func NewDiscovery(instances []Instance) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Addr: listener.Addr().String(), changed: make(chan struct{}),
		list: List{Generation: 1, Reset: true, Instances: instances},
	}
	go func() { _ = http.Serve(listener, d) }()
	return d, nil
}

// Set replaces the list, which gets the next generation.
func (d *Discovery) Set(instances []Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = List{Generation: d.list.Generation + 1, Reset: true, Instances: instances}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Current returns the list.
func (d *Discovery) Current() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	changed, newer := d.changed, err != nil || d.list.Generation > after
	d.mu.Unlock()
	if !newer {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	list := d.Current()
	if err == nil && list.Generation <= after {
		list = List{Generation: list.Generation, Instances: []Instance{}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// Node is a process of the project's node.
type Node struct {
	Addr    string
	Command *exec.Cmd
	LogPath string
	exited  chan struct{}
}

// RunCommand returns the command that deploy/balancer.toml names for a node.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml names no run command")
	}
	return string(match[1]), nil
}

// FreeAddr returns a loopback address whose port was free a moment ago.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Config returns the project's example configuration with other addresses and the given list as known.
func Config(root, listen, discovery string, known List) (map[string]any, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "example", "config.json"))
	if err != nil {
		return nil, err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, err
	}
	config["listen"], config["discovery"], config["known"] = listen, discovery, known
	return config, nil
}

// StartNode writes the configuration into dir, starts a node with the command of the deploy file and waits until it
// is ready.
func StartNode(root, dir, name string, config map[string]any) (*Node, error) {
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	node := &Node{
		Addr: config["listen"].(string), LogPath: filepath.Join(dir, name+".log"), exited: make(chan struct{}),
	}
	logFile, err := os.Create(node.LogPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	node.Command = exec.Command("/bin/sh", "-c", run)
	node.Command.Dir = root
	node.Command.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME="+name)
	node.Command.Stdout, node.Command.Stderr = logFile, logFile
	node.Command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := node.Command.Start(); err != nil {
		return nil, err
	}
	go func() { _ = node.Command.Wait(); close(node.exited) }()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + node.Addr + "/health/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			return node, nil
		}
	}
	node.Stop()
	return nil, fmt.Errorf("node %s did not get ready", name)
}

// Exited reports whether the process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process that the run command started.
func (n *Node) Signal(s syscall.Signal) { _ = n.Command.Process.Signal(s) }

// Stop ends the process: SIGTERM, and SIGKILL after 5 s.
func (n *Node) Stop() {
	_ = n.Command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(5 * time.Second):
		_ = syscall.Kill(-n.Command.Process.Pid, syscall.SIGKILL)
		<-n.exited
	}
}

// Log returns the log of the process.
func (n *Node) Log() string {
	text, _ := os.ReadFile(n.LogPath)
	return string(text)
}
