// Command balancer is one node of the load balancer. It reads its configuration
// from the file that BALANCER_CONFIG names and serves until SIGTERM or SIGINT,
// which begin a graceful shutdown. SIGHUP rereads the file and changes the address
// of the discovery service to the one that it gives. The program exits with status 1
// and one line on standard error if it cannot start or serve.
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
	// gcPercent lets the heap grow to five times the live heap between collections: the
	// live heap is small, and processor time is scarce.
	gcPercent = 400
	// memoryLimitNumerator and memoryLimitDenominator give the share of the granted memory at
	// which the runtime collects more often. The rest is for stacks and socket buffers.
	memoryLimitNumerator, memoryLimitDenominator = 7, 10
	// logFlushTimeout bounds the wait for unwritten log lines at the exit. It is short
	// beside the margin of a shutdown.
	logFlushTimeout = 20 * time.Millisecond
	// errorFlushTimeout is the same for a process that exits with an error.
	errorFlushTimeout = time.Second
	// bytesPerMB is the unit of the configured memory.
	bytesPerMB = 1 << 20
)

func main() {
	// A reader of standard error that is slow or has exited must not block or end the process.
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

// run starts the node and serves until SIGTERM or SIGINT.
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

// reloadOnSIGHUP rereads the configuration file at each signal, until the context
// ends. Only the address of the discovery service may change while a node runs. A file
// that cannot be read changes nothing.
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

// applyLimits sets the runtime to the cores and the memory that the machine grants.
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
