// This file is built into the program under test only, by BuildInstrumented. It reports on standard error how long
// the system kept the process from running: the check of a rule allows for that time.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	pauseCheckInterval = 5 * time.Millisecond
	minReportedPause   = 50 * time.Millisecond // shorter pauses are not reported
)

func init() { go reportPauses() }

func reportPauses() {
	for {
		start, startCPUTime := time.Now(), cpuTime()
		time.Sleep(pauseCheckInterval)
		delay := time.Since(start) - pauseCheckInterval
		// While the process itself is busy, it is not paused.
		if pause := delay - (cpuTime() - startCPUTime); pause > minReportedPause {
			fmt.Fprintf(os.Stderr, "paused for %v\n", pause)
		}
	}
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
