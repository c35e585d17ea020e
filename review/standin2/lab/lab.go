// Package lab runs one case of the review: it starts the project's node with the command of the deploy file, plays
// clients, servers and discovery on loopback addresses, and writes down what was sent, answered and run.
package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0 // the rule held
	Broken    = 1 // the rule was broken
	CannotRun = 2 // the case could not run
)

// timeLimit is how long a case may run.
const timeLimit = 100 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // false: TROUBLE=0, the same run without the disruption
	Dir     string // temporary folder, removed at the end
	root    string // root of the repository
	began   time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*Node
}

// Run runs a case and ends the process with its exit code. The first argument of the process is the root of the
// repository, the second the folder of the case.
func Run(play func(*Case) int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ROOT CASE-FOLDER")
		os.Exit(CannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], play))
}

func run(root, folder string, play func(*Case) int) (code int) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer record.Close()
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, root: root, began: time.Now(), record: record}
	go c.abortOnSignal()
	defer c.stopNodes()
	defer func() {
		if failure := recover(); failure != nil {
			c.Log("cannot run: %v", failure)
			fmt.Println("cannot run:", failure)
			code = CannotRun
		}
	}()
	c.Log("trouble: %v", c.Trouble)
	code = play(c)
	c.Log("exit code %d", code)
	return code
}

// abortOnSignal ends the case and all that it has started when a signal asks for it, or when the case takes too long. A case
// that is killed takes its nodes with it, see StartNode.
func (c *Case) abortOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	c.mu.Lock() // for good: no further node is started
	for _, node := range c.nodes {
		_ = node.cmd.Process.Kill()
	}
	_ = os.RemoveAll(c.Dir)
	os.Exit(CannotRun)
}

// Log writes a line to the record, with the milliseconds since the start.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.1f  %s\n", float64(time.Since(c.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Verdict logs and prints the result and returns the exit code.
func (c *Case) Verdict(broken bool, format string, args ...any) int {
	text, code := "held: ", Held
	if broken {
		text, code = "BROKEN: ", Broken
	}
	text += fmt.Sprintf(format, args...)
	c.Log("%s", text)
	fmt.Println(text)
	return code
}

// Fail ends the case: it could not run.
func Fail(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// Listen opens a listener on a free loopback port.
func Listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail("listen: %v", err)
	}
	return listener
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	listener := Listen()
	defer listener.Close()
	return listener.Addr().String()
}

// Node is a process of the project's node.
type Node struct {
	Addr   string
	cmd    *exec.Cmd
	exited chan struct{}
	c      *Case
}

// runCommand returns the command of the deploy file that starts a node.
func (c *Case) runCommand() string {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	if err != nil {
		Fail("deploy file: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = \"")
		if command, _, closed := strings.Cut(rest, "\""); ok && closed {
			return command
		}
	}
	Fail("the deploy file has no command run")
	return ""
}

// StartNode starts a node with a configuration and waits until it is ready.
func (c *Case) StartNode(name string, config map[string]any) *Node {
	node := &Node{Addr: freeAddress(), exited: make(chan struct{}), c: c}
	config["name"], config["listen"] = name, node.Addr
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		Fail("configuration: %v", err)
	}
	path := filepath.Join(c.Dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		Fail("configuration: %v", err)
	}
	node.cmd = exec.Command("/bin/sh", "-c", c.runCommand())
	node.cmd.Dir = c.root
	node.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "TMPDIR="+c.Dir)
	node.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	stderr, err := node.cmd.StderrPipe()
	if err != nil {
		Fail("standard error: %v", err)
	}
	c.mu.Lock()
	if err = node.cmd.Start(); err == nil {
		c.nodes = append(c.nodes, node)
	}
	c.mu.Unlock()
	if err != nil {
		Fail("start of the node: %v", err)
	}
	go node.follow(name, stderr)
	node.awaitReady()
	c.Log("%s is ready at %s", name, node.Addr)
	return node
}

// follow copies the log of the node to the record and waits for its end.
func (n *Node) follow(name string, stderr io.Reader) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		n.c.Log("%s: %s", name, lines.Text())
	}
	err := n.cmd.Wait()
	n.c.Log("%s ended: %v", name, err)
	close(n.exited)
}

func (n *Node) awaitReady() {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.Addr + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	Fail("the node is not ready after 10 s")
}

// Signal sends a signal to the node.
func (n *Node) Signal(signal syscall.Signal) {
	if err := n.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.c.Log("signal %v: %v", signal, err)
	}
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

// stopNodes ends all nodes.
func (c *Case) stopNodes() {
	for _, node := range c.nodes {
		node.Signal(syscall.SIGTERM)
	}
	for _, node := range c.nodes {
		select {
		case <-node.exited:
		case <-time.After(5 * time.Second):
			node.Signal(syscall.SIGKILL)
			<-node.exited
		}
	}
}

// CPUSeconds returns the processor time that the node has used, or a negative number if the system does not tell.
func (n *Node) CPUSeconds() float64 {
	const ticksPerSecond = 100
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	var user, system int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return -1
	}
	return float64(user+system) / ticksPerSecond
}

// AnonymousKB returns the resident anonymous memory of the node in kB, or 0 if the system does not tell.
func (n *Node) AnonymousKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid)) // fails once the process has ended
	for line := range strings.Lines(string(text)) {
		var kB int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kB); err == nil {
			return kB
		}
	}
	return 0
}
