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

	mu         sync.Mutex
	deliveries []delivery
	reloads    []time.Time // when SIGHUP was sent
	sigtermAt  time.Time   // when the first SIGTERM was sent; zero if not yet
	logLines   []string

	pauses lagSeries // the pauses that the process reported in its log
}

// pausePrefix is the start of a log line that reports a pause. The rest of the line is the duration of the pause, as
// time.Duration formats it. A process reports its pauses if its program was built by
// balancertest.BuildInstrumented.
const pausePrefix = "paused for "

// delivery is the delivery of an endpoint list to a node.
type delivery struct {
	generation uint64
	at         time.Time // when the discovery service started to write its response
}

// RecordDelivery records that the discovery service is about to write the list of a generation to the process.
func (i *Incarnation) RecordDelivery(generation uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.deliveries = append(i.deliveries, delivery{generation, time.Now()})
}

// RecordReload records that SIGHUP is about to be sent.
func (i *Incarnation) RecordReload() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reloads = append(i.reloads, time.Now())
}

// RecordSIGTERM records that SIGTERM is about to be sent.
func (i *Incarnation) RecordSIGTERM() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sigtermAt = time.Now()
}

// SIGTERMSent reports whether RecordSIGTERM was called.
func (i *Incarnation) SIGTERMSent() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.sigtermAt.IsZero()
}

// RecordLogLine records a line of the process's log. If the line reports a pause, RecordLogLine also records a pause
// that ends now.
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

// MaxPauseNear returns the longest pause around a time that the process reported, or 0 if there is none. During a
// pause, the system does not schedule the process.
func (i *Incarnation) MaxPauseNear(at time.Time) time.Duration { return i.pauses.MaxNear(at) }

// LastLines returns up to count lines from the end of the process's log.
func (i *Incarnation) LastLines(count int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return strings.Join(i.logLines[max(0, len(i.logLines)-count):], "\n")
}

// LastDelivery returns the latest generation that was delivered to the process, or 0 if there is none.
func (i *Incarnation) LastDelivery() uint64 {
	deliveries, _ := i.notifications()
	latest := uint64(0)
	for _, delivery := range deliveries {
		latest = max(latest, delivery.generation)
	}
	return latest
}

// notifications returns the deliveries of endpoint lists to the process and the times of its reloads.
func (i *Incarnation) notifications() ([]delivery, []time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.deliveries), slices.Clone(i.reloads)
}
