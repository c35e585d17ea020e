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

// Process is a node that runs as a process of its own.
type Process struct {
	PID        int
	Addr       <-chan string // receives the address at which it serves; closed when it exits
	Exited     <-chan error  // receives the result of exec.Cmd.Wait
	ConfigFile ConfigFile
}

// Options are what a process may be started with beside its configuration.
type Options struct {
	Environment []string
	Logged      func(line string) // called for each line that the process logs; may be nil
}

// Start starts a command with a configuration. The process listens at a free port unless the configuration
// has an address. It is killed at the end of the test.
func Start(tb testing.TB, config map[string]any, command ...string) Process {
	tb.Helper()
	return StartWith(tb, Options{}, config, command...)
}

// StartWith is Start with options.
func StartWith(tb testing.TB, options Options, config map[string]any, command ...string) Process {
	tb.Helper()
	if config["listen"] == nil {
		config["listen"] = "127.0.0.1:0"
	}
	text, err := json.Marshal(config)
	if err != nil {
		tb.Fatal(err)
	}
	configFile := NewConfigFile(tb, text)
	cmd := exec.CommandContext(tb.Context(), command[0], command[1:]...)
	cmd.Env = append([]string{configFile.Environment()}, options.Environment...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	addr, exited, stopped := make(chan string, 1), make(chan error, 1), make(chan struct{})
	go func() {
		defer close(stopped)
		defer close(addr)
		readLog(stderr, options.Logged, addr)
		exited <- cmd.Wait()
	}()
	tb.Cleanup(func() { <-stopped }) // the end of the context has killed the process
	return Process{PID: cmd.Process.Pid, Addr: addr, Exited: exited, ConfigFile: configFile}
}

// readLog reads a process's log to its end and sends the address at which the process serves.
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

// servingAddr finds the address in the line that a node logs once it serves.
func servingAddr(line string) (string, bool) {
	if !strings.Contains(line, " serving ") {
		return "", false
	}
	_, addr, ok := strings.Cut(line, " addr=")
	return addr, ok
}

// Signal sends a process a signal. The process may have exited by then.
func Signal(tb testing.TB, pid int, signal syscall.Signal) {
	tb.Helper()
	if err := syscall.Kill(pid, signal); err != nil && !errors.Is(err, syscall.ESRCH) {
		tb.Error(err)
	}
}
