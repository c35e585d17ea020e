package lab

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// TempDir makes a temporary folder and sees to the end of the run: on SIGTERM or SIGINT, or after the limit, it removes
// the folder and exits with 2. The nodes end with this process, whatever ends it (see StartNode).
func TempDir(limit time.Duration) (string, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return "", err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		reason := "out of time"
		select {
		case s := <-signals:
			reason = s.String()
		case <-time.After(limit):
		}
		fmt.Println("not run:", reason)
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	return dir, nil
}
