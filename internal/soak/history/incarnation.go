package history

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Incarnation is one process of a node.
type Incarnation struct {
	Name      string
	StartedAt time.Time

	mu           sync.Mutex
	deliveries   []delivery
	reloads      []time.Time // SIGHUPs
	terminatedAt time.Time   // SIGTERM; zero: not yet
	logLines     []string

	pauses lagSeries // that the process has reported
}

// pausePrefix precedes the length of a pause in the log of a process that balancertest.BuildInstrumented has
// built.
const pausePrefix = "paused for "

// delivery is an endpoint list that the discovery service wrote to a node.
type delivery struct {
	generation uint64
	at         time.Time
}

// RecordDelivery records that the list of a generation is written to the node now.
func (i *Incarnation) RecordDelivery(generation uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.deliveries = append(i.deliveries, delivery{generation, time.Now()})
}

// RecordReload records that SIGHUP is sent now.
func (i *Incarnation) RecordReload() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reloads = append(i.reloads, time.Now())
}

// RecordTermination records that SIGTERM is sent now.
func (i *Incarnation) RecordTermination() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.terminatedAt = time.Now()
}

// Terminated reports whether SIGTERM was sent.
func (i *Incarnation) Terminated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.terminatedAt.IsZero()
}

// RecordLogLine records a line of the process's log.
func (i *Incarnation) RecordLogLine(line string) {
	if text, ok := strings.CutPrefix(line, pausePrefix); ok {
		if pause, err := time.ParseDuration(text); err == nil {
			i.pauses.add(pause)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.logLines = append(i.logLines, line)
}

// MaxPauseNear returns the longest time around a time for which the system kept the process from running, as the
// process has reported it.
func (i *Incarnation) MaxPauseNear(at time.Time) time.Duration { return i.pauses.MaxNear(at) }

// LastLines returns the end of the process's log.
func (i *Incarnation) LastLines(count int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return strings.Join(i.logLines[max(0, len(i.logLines)-count):], "\n")
}

// notifications returns the lists that were delivered to the process, and its reloads.
func (i *Incarnation) notifications() ([]delivery, []time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.deliveries), slices.Clone(i.reloads)
}
