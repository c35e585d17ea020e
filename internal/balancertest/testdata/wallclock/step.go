// This file is built into the program under test only, by BuildInstrumented. It steps the wall clock of
// the process: at its start, and at each SIGUSR1.
package main

import (
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

func init() {
	applyOffset := func() {
		text, err := os.ReadFile(os.Getenv("WALL_CLOCK_STEP_FILE"))
		if err != nil {
			return // no step
		}
		if seconds, err := strconv.ParseInt(string(text), 10, 64); err == nil {
			time.SetWallClockOffset(seconds)
		}
	}
	applyOffset()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			applyOffset()
		}
	}()
}
