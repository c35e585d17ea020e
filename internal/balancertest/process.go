package balancertest

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// Process is a node that runs as a separate process.
type Process struct {
	PID        int
	Addr       <-chan string // receives the node's address once it serves; closed when the process exits
	Exited     <-chan error  // receives the result of exec.Cmd.Wait
	ConfigFile ConfigFile
}

// Options are the optional parameters of StartWithOptions.
type Options struct {
	Env       []string          // variables besides BALANCER_CONFIG, as "name=value"; no others are set
	OnLogLine func(line string) // called for each line that the process writes to standard error; may be nil
}

// Start starts a command as a process with the given configuration. If the configuration has no "listen" address,
// Start adds one with a free port of the loopback interface. The process is killed at the end of the test.
func Start(tb testing.TB, config map[string]any, command ...string) Process {
	tb.Helper()
	return StartWithOptions(tb, Options{}, config, command...)
}

// StartWithOptions starts a process like Start, with options.
func StartWithOptions(tb testing.TB, options Options, config map[string]any, command ...string) Process {
	tb.Helper()
	if config["listen"] == nil {
		config["listen"] = "127.0.0.1:0"
	}
	text, err := json.Marshal(config)
	if err != nil {
		tb.Fatalf("encode the configuration %v: %v", config, err)
	}
	configFile := NewConfigFile(tb, text)
	cmd := exec.CommandContext(tb.Context(), command[0], command[1:]...)
	cmd.Env = append([]string{configFile.Env()}, options.Env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		tb.Fatalf("open the standard error of %v: %v", cmd, err)
	}
	if err := cmd.Start(); err != nil {
		tb.Fatalf("start %v: %v", cmd, err)
	}
	addr, exited, stopped := make(chan string, 1), make(chan error, 1), make(chan struct{})
	go func() {
		defer close(stopped)
		defer close(addr)
		readLog(stderr, options.OnLogLine, addr)
		exited <- cmd.Wait()
	}()
	tb.Cleanup(func() { <-stopped }) // tb.Context is cancelled before cleanups run, which kills the process
	return Process{PID: cmd.Process.Pid, Addr: addr, Exited: exited, ConfigFile: configFile}
}

// readLog reads the log of a process to its end. It calls onLine, if not nil, for each line, and sends the node's
// address to addr when the node logs that it serves.
func readLog(stderr io.Reader, onLine func(line string), addr chan<- string) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		if onLine != nil {
			onLine(lines.Text())
		}
		if servedAddr, ok := servingAddr(lines.Text()); ok {
			addr <- servedAddr
		}
	}
}

// servingAddr returns the address from the "serving" line of a node's log. It reports false for all other lines.
func servingAddr(line string) (string, bool) {
	if !strings.Contains(line, " serving ") {
		return "", false
	}
	_, addr, ok := strings.Cut(line, " addr=")
	return addr, ok
}

// Signal sends a signal to a process. A process that has already exited is not an error.
func Signal(tb testing.TB, pid int, signal syscall.Signal) {
	tb.Helper()
	if err := syscall.Kill(pid, signal); err != nil && !errors.Is(err, syscall.ESRCH) {
		tb.Errorf("send signal %v to process %d: %v", signal, pid, err)
	}
}
