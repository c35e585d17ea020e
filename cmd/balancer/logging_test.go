package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

// Writes to the log pipe fail if its reader has exited, and block if the reader has stopped reading. In both cases the
// process must still serve requests, and exit without an error after SIGTERM.
func TestNodeServesWhenItsLogPipeIsClosedOrFull(t *testing.T) {
	program := balancertest.Build(t)
	for name, breakPipe := range map[string]func(t *testing.T, reader, writer *os.File){
		"closed": func(t *testing.T, reader, _ *os.File) { t.Helper(); closeFile(t, reader) },
		"full":   func(t *testing.T, _, writer *os.File) { t.Helper(); fillPipe(t, writer) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = reader.Close() }() // breakPipe may have closed the reader already
			breakPipe(t, reader, writer)
			testServingWithLogPipe(t, program, writer)
		})
	}
}

// testServingWithLogPipe starts a process that logs to a pipe, sends it a request and shuts it down.
func testServingWithLogPipe(t *testing.T, program string, log *os.File) {
	t.Helper()
	server := testkit.NewRecordingServer(t, testkit.OK)
	addr := testkit.FreeAddr(t)
	command := exec.CommandContext(t.Context(), program)
	command.Env = []string{newConfigFile(t, addr, server.Address()).Env()}
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	closeFile(t, log)
	balancertest.AwaitReady(t, addr)
	if body := post(addr); body != "done" {
		t.Errorf("response with a broken log pipe is %q, want %q", body, "done")
	}
	balancertest.Signal(t, command.Process.Pid, syscall.SIGTERM)
	if err := command.Wait(); err != nil {
		t.Errorf("exit of the process after SIGTERM: got %v, want status 0", err)
	}
}

func closeFile(t *testing.T, file *os.File) {
	t.Helper()
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// fillPipe writes to a pipe until it is full. Afterwards the descriptor is in blocking mode, so that further writes
// to the pipe block.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	fd := int(writer.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	for err := error(nil); err == nil; {
		_, err = syscall.Write(fd, make([]byte, 1))
	}
	if err := syscall.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
}
