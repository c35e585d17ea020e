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
	log          []string

	pauses lagSeries // that the process has reported
}

// pauseReport precedes the length of a pause in the log of a process that balancertest.BuildInstrumented has
// built.
const pauseReport = "paused for "

// delivery is an endpoint list that the discovery service wrote to a node.
type delivery struct {
	generation uint64
	at         time.Time
}

// ListDelivered records that the list of a generation is written to the node now.
func (i *Incarnation) ListDelivered(generation uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.deliveries = append(i.deliveries, delivery{generation, time.Now()})
}

// Reloads records that SIGHUP is sent now.
func (i *Incarnation) Reloads() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reloads = append(i.reloads, time.Now())
}

// Terminates records that SIGTERM is sent now.
func (i *Incarnation) Terminates() {
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

// Logged records a line of the process's log.
func (i *Incarnation) Logged(line string) {
	if text, ok := strings.CutPrefix(line, pauseReport); ok {
		if pause, err := time.ParseDuration(text); err == nil {
			i.pauses.add(pause)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.log = append(i.log, line)
}

// PauseAround returns the longest time around a time for which the system kept the process from running, as the
// process has reported it.
func (i *Incarnation) PauseAround(at time.Time) time.Duration { return i.pauses.Around(at) }

// LastLines returns the end of the process's log.
func (i *Incarnation) LastLines(count int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return strings.Join(i.log[max(0, len(i.log)-count):], "\n")
}

// notifications returns the lists that were delivered to the process, and its reloads.
func (i *Incarnation) notifications() ([]delivery, []time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.deliveries), slices.Clone(i.reloads)
}
