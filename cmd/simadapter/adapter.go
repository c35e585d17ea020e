package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/simproto"
	"calicohinge/policy"
)

// errNoInstance is the cause of a *simproto.FormatError for an event when no open instance is
// selected.
var errNoInstance = errors.New("the selected instance is not open")

// adapter passes the events of batches to the instances and collects their actions. The
// instances share nothing but the buffers of the reply.
type adapter struct {
	instances map[uint16]*policy.Balancer // by number; only those that are open
	selected  uint16                      // the instance that the events concern
	reply     simproto.Reply              // the actions of the current batch
	event     simproto.Event              // reused, so that decoding need not allocate
}

func newAdapter() *adapter {
	return &adapter{instances: map[uint16]*policy.Balancer{}}
}

// handleBatch passes on the events of a batch and replaces the reply. It returns a
// *simproto.FormatError if an event is malformed or no instance can get it.
func (a *adapter) handleBatch(batch *simproto.Batch) error {
	a.reply.Reset()
	instanceSelected := false // a selection does not last beyond its batch
	for i := range batch.Count {
		event := &a.event
		if err := batch.Event(i, event); err != nil {
			return err
		}
		if event.Code == simproto.EventInstance {
			a.selectInstance(event.Instance)
			instanceSelected = true
			continue
		}
		if !instanceSelected || !a.accepts(event.Code) {
			return &simproto.FormatError{
				Batch: batch.Number, Record: i, Err: fmt.Errorf("event %q: %w", event.Code, errNoInstance),
			}
		}
		a.handleEvent(batch, event)
	}
	return nil
}

func (a *adapter) selectInstance(instance uint16) {
	a.selected = instance
	a.reply.SelectInstance(instance)
}

// accepts reports whether the selected instance may get an event. An instance that is not open
// may only be opened.
func (a *adapter) accepts(code simproto.EventCode) bool {
	return code == simproto.EventOpen || a.instances[a.selected] != nil
}

// handleEvent passes one event to the selected instance. A panic of the decision module is
// reported as fatal, which ends the simulation.
func (a *adapter) handleEvent(batch *simproto.Batch, event *simproto.Event) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			fmt.Fprintf(os.Stderr, "simadapter: batch %d: panic: %v\n%s", batch.Number, panicValue, debug.Stack())
			a.reply.Fatal(fmt.Sprintf("panic: %v", panicValue))
		}
	}()
	a.dispatch(batch.Now, event)
}

// dispatch calls the method of the selected instance that handles an event.
func (a *adapter) dispatch(now time.Duration, event *simproto.Event) {
	balancer := a.instances[a.selected]
	switch event.Code {
	case simproto.EventOpen:
		a.open(event)
	case simproto.EventStop:
		delete(a.instances, a.selected)
	case simproto.EventEndpoints:
		updateEndpoints(balancer, now, event)
	case simproto.EventRequest:
		balancer.Request(now, event.Request)
	case simproto.EventStreamStarted:
		balancer.StreamStarted(now, event.Outcome.ID, event.Outcome.Attempt)
	case simproto.EventOutcome:
		balancer.Outcome(now, event.Outcome)
	case simproto.EventClientDisconnected:
		balancer.ClientDisconnected(now, event.Outcome.ID)
	case simproto.EventTimer:
		balancer.Timer(now, event.Token)
	case simproto.EventProbeResult, simproto.EventPeerMessage, simproto.EventInstance:
		// The instances use no probe results or peer messages; handleBatch selects instances.
	}
}

// updateEndpoints passes on an update of the endpoint list or the failure of a watch.
func updateEndpoints(balancer *policy.Balancer, now time.Duration, event *simproto.Event) {
	if event.WatchFailed {
		balancer.WatchFailed(now, now+policy.NotificationDeadline)
		return
	}
	balancer.UpdateEndpoints(now, event.Kind, event.Endpoints)
}

// open starts the selected instance anew. Settings that cannot be used are reported as fatal.
func (a *adapter) open(event *simproto.Event) {
	settings, err := config.ParseSettings(event.Settings)
	if err != nil {
		a.reply.Fatal(err.Error())
		return
	}
	balancer, err := policy.New(settings, event.Seed, &a.reply)
	if err != nil {
		a.reply.Fatal(err.Error())
		return
	}
	a.instances[a.selected] = balancer
}
