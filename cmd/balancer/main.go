// Command balancer runs one node of the load balancer. It reads its configuration
// from the file named by BALANCER_CONFIG and serves until SIGTERM or SIGINT starts
// a graceful shutdown. On SIGHUP it rereads the file and switches to the address of
// the discovery service given there. If it cannot start or serve, it writes one line
// to standard error and exits with status 1.
package main

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"calicohinge/internal/asyncwriter"
	"calicohinge/internal/config"
	"calicohinge/internal/node"
)

const (
	// gcPercent lets the heap grow to five times the live heap between garbage
	// collections. The live heap is small, whereas CPU time is scarce.
	gcPercent = 400
	// memoryLimitNumerator and memoryLimitDenominator give the Go runtime's soft memory
	// limit as a fraction of the configured memory. Above the limit, garbage collections
	// become more frequent. The rest is left for stacks and socket buffers.
	memoryLimitNumerator, memoryLimitDenominator = 7, 10
	// logFlushTimeout limits how long a regular exit waits for queued log lines to be
	// written. It is short compared with the time that remains after a shutdown before the
	// platform kills the process.
	logFlushTimeout = 20 * time.Millisecond
	// errorFlushTimeout is the same limit for an exit with an error.
	errorFlushTimeout = time.Second
	// bytesPerMB converts the configured memory to bytes.
	bytesPerMB = 1 << 20
)

func main() {
	// The process must neither block nor be killed when the reader of standard error is slow or
	// has exited.
	signal.Ignore(syscall.SIGPIPE)
	stderr := asyncwriter.New(os.Stderr)
	log.SetOutput(stderr)
	err := run()
	if err == nil {
		stderr.Close(logFlushTimeout)
		return
	}
	_, _ = fmt.Fprintln(stderr, "balancer:", err) // never fails
	stderr.Close(errorFlushTimeout)
	os.Exit(1)
}

// run starts the node and serves requests. SIGTERM or SIGINT starts a graceful
// shutdown, after which run returns.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	applyLimits(cfg.Limits)
	balancer, err := node.Listen(cfg)
	if err != nil {
		return err
	}
	go reloadOnSIGHUP(ctx, sighup, balancer)
	return balancer.Run(ctx)
}

// reloadOnSIGHUP rereads the configuration file on each SIGHUP until the context is
// done. Only the address of the discovery service can change while a node runs; other
// changes in the file have no effect until a restart. If the configuration cannot be
// read or is invalid, the node keeps its current address.
func reloadOnSIGHUP(ctx context.Context, sighup <-chan os.Signal, balancer *node.Node) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		address, err := config.ReloadDiscovery(os.Getenv)
		if err != nil {
			slog.Error("configuration reload failed, keeping the old one", "err", err)
			continue
		}
		balancer.SetDiscoveryAddress(address)
	}
}

// applyLimits configures the Go runtime for the configured cores and memory.
func applyLimits(limits config.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	}
	if limits.MemoryMB > 0 {
		memoryBytes := int64(limits.MemoryMB) * bytesPerMB
		debug.SetMemoryLimit(memoryBytes * memoryLimitNumerator / memoryLimitDenominator)
	}
	debug.SetGCPercent(gcPercent)
}
