package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

// The reader of the log has exited, or reads no more. The process serves requests and exits without an error.
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
			defer func() { _ = reader.Close() }() // unless the case has closed it
			breakPipe(t, reader, writer)
			testServingWithLogPipe(t, program, writer)
		})
	}
}

// testServingWithLogPipe starts a process that logs to a pipe, makes a request and shuts the process down.
func testServingWithLogPipe(t *testing.T, program string, log *os.File) {
	t.Helper()
	server := testkit.NewBackend(t, testkit.OK)
	addr := testkit.FreeAddr(t)
	command := exec.CommandContext(t.Context(), program)
	command.Env = []string{newConfigFile(t, addr, server.Address()).Environment()}
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	closeFile(t, log)
	balancertest.AwaitReady(t, addr)
	if body := post(addr); body != "done" {
		t.Errorf("response %q", body)
	}
	balancertest.Signal(t, command.Process.Pid, syscall.SIGTERM)
	if err := command.Wait(); err != nil {
		t.Errorf("exited with %v", err)
	}
}

func closeFile(t *testing.T, file *os.File) {
	t.Helper()
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// fillPipe writes to a pipe until it holds no more. The descriptor is left in blocking mode.
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
