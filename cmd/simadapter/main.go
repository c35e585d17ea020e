// Command simadapter runs instances of policy.Balancer for the simulator. It reads batches of
// events from standard input and answers each batch with a reply of actions on standard
// output. It exits when its input ends, and writes nothing but errors to standard error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"calicohinge/internal/simproto"
)

const (
	// gcPercent trades memory for time: the live heap is small, and the simulator's time
	// measurements include garbage collection.
	gcPercent = 800
	// writeBufferSize is the size of the output buffer in bytes.
	writeBufferSize = 1 << 16
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends. An end within a batch is an error.
func run(in io.Reader, out io.Writer) error {
	adapter := newAdapter()
	reader := simproto.NewReader(in)
	writer := bufio.NewWriterSize(out, writeBufferSize)
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := adapter.handleBatch(batch); err != nil {
			return err
		}
		if err := adapter.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
	}
}
