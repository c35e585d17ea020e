// BuildInstrumented adds this file to the program under test. It reports on standard error how long the system kept
// the process from running, so that checks of the node's timing can allow for that time.
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

// reportPauses repeats a short sleep and reports by how much the sleep overruns. A sleep also overruns while the
// process itself keeps the processors busy, so the processor time that the process used meanwhile is subtracted.
func reportPauses() {
	for {
		start, startCPUTime := time.Now(), cpuTime()
		time.Sleep(pauseCheckInterval)
		delay := time.Since(start) - pauseCheckInterval
		if pause := delay - (cpuTime() - startCPUTime); pause > minReportedPause {
			fmt.Fprintf(os.Stderr, "paused for %v\n", pause)
		}
	}
}

// cpuTime returns the processor time that the process has used, in user and system mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
