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

// errNoInstance is the cause of the *simproto.FormatError for an event that requires an open
// instance when none is selected.
var errNoInstance = errors.New("no open instance is selected")

// adapter passes the events of each batch to the instances and collects their actions in a reply.
// The buffers of the reply are all that the instances share.
type adapter struct {
	instances map[uint16]*policy.Balancer // the open instances by number
	selected  uint16                      // number of the instance that receives the events
	reply     simproto.Reply              // actions of the current batch
	event     simproto.Event              // reused to avoid allocations
}

func newAdapter() *adapter {
	return &adapter{instances: map[uint16]*policy.Balancer{}}
}

// handleBatch passes the events of a batch to the selected instances and replaces the reply with
// their actions. It returns a *simproto.FormatError if an event is malformed or no instance may
// receive it.
func (a *adapter) handleBatch(batch *simproto.Batch) error {
	a.reply.Reset()
	instanceSelected := false // each batch must select its instance again
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
		if !instanceSelected || !a.mayReceive(event.Code) {
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

// mayReceive reports whether the selected instance may receive an event. An instance that is not
// open may receive only the event that opens it.
func (a *adapter) mayReceive(code simproto.EventCode) bool {
	return code == simproto.EventOpen || a.instances[a.selected] != nil
}

// handleEvent passes one event to the selected instance. If the instance panics, the panic is
// reported to the simulator as a fatal action, which ends the simulation.
func (a *adapter) handleEvent(batch *simproto.Batch, event *simproto.Event) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			fmt.Fprintf(os.Stderr, "simadapter: batch %d: panic: %v\n%s", batch.Number, panicValue, debug.Stack())
			a.reply.Fatal(fmt.Sprintf("panic: %v", panicValue))
		}
	}()
	a.dispatch(batch.Now, event)
}

// dispatch calls the method of the selected instance that handles the event.
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
		// Instances use neither probe results nor peer messages. handleBatch handles EventInstance.
	}
}

// updateEndpoints passes an update of the endpoint list, or the failure of a watch, to the instance.
func updateEndpoints(balancer *policy.Balancer, now time.Duration, event *simproto.Event) {
	if event.WatchFailed {
		deadline := now + policy.NotificationDeadline
		balancer.WatchFailed(now, policy.WatchFailure{NotifiedAt: deadline, CallNotifiedAt: deadline})
		return
	}
	balancer.UpdateEndpoints(now, event.Kind, event.Endpoints)
}

// open creates the selected instance, or replaces it if it is already open. Invalid settings are
// reported to the simulator as a fatal action.
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
