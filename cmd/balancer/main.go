// Command balancer is one node of the load balancer. It reads its configuration
// from the file that BALANCER_CONFIG names and serves until SIGTERM or SIGINT,
// which begin a graceful shutdown. SIGHUP rereads the file and moves the node to
// the discovery address it gives. It exits with status 1 and one line on standard
// error if it cannot start or serve.
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
	// gcPercent lets the heap grow to five times what is live between collections. The
	// live heap is small, and the processor time of collections is what is scarce.
	gcPercent = 400
	// heapShare is the part of the granted memory at which the runtime collects more
	// often instead, as a fraction. The rest is for stacks and socket buffers.
	heapShareNumerator, heapShareDenominator = 7, 10
	// maxLogDelay is how long the end of the process may be held up by log lines that are
	// not written yet. It is short beside the margin of a shutdown.
	maxLogDelay = 20 * time.Millisecond
	// maxErrorDelay is the same for a process that ends with an error.
	maxErrorDelay = time.Second
)

func main() {
	// A reader of standard error that is slow or gone must not block or end the process.
	signal.Ignore(syscall.SIGPIPE)
	stderr := asyncwriter.New(os.Stderr)
	log.SetOutput(stderr)
	err := run()
	if err == nil {
		stderr.Close(maxLogDelay)
		return
	}
	_, _ = fmt.Fprintln(stderr, "balancer:", err) // never fails
	stderr.Close(maxErrorDelay)
	os.Exit(1)
}

// run serves until a signal ends it.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	applyLimits(cfg.Limits)
	server, err := node.Listen(cfg)
	if err != nil {
		return err
	}
	go reloadOnHangup(ctx, hangups, server)
	return server.Run(ctx)
}

// reloadOnHangup rereads the configuration file at each signal, until the context
// ends. Only the address of discovery may change while a node runs; a file that
// cannot be read changes nothing.
func reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, server *node.Node) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		address, err := config.ReloadDiscovery(os.Getenv)
		if err != nil {
			slog.Error("configuration reload failed, keeping the old one", "err", err)
			continue
		}
		server.SetDiscoveryAddress(address)
	}
}

// applyLimits keeps the runtime inside what the machine grants.
func applyLimits(limits config.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	}
	if limits.MemoryMB > 0 {
		const bytesPerMB = 1 << 20
		granted := int64(limits.MemoryMB) * bytesPerMB
		debug.SetMemoryLimit(granted * heapShareNumerator / heapShareDenominator)
	}
	debug.SetGCPercent(gcPercent)
}
