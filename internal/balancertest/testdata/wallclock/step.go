// BuildInstrumented adds this file to the program under test. It sets the offset of the process's wall clock when
// the process starts and at each SIGUSR1. It reads the offset in seconds from the file that WALL_CLOCK_STEP_FILE
// names.
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
			return // without the file, the offset stays as it is
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
