package simproto

import (
	"fmt"

	"calicohinge/policy"
)

// EventCode is the protocol's code for the kind of an event record.
type EventCode uint8

// The kinds of event.
const (
	EventOpen               EventCode = 1  // an instance starts, with no state
	EventEndpoints          EventCode = 2  // the endpoint list was updated, or a watch of it has failed
	EventRequest            EventCode = 3  // a client's request has arrived
	EventStreamStarted      EventCode = 4  // the response to an attempt of a streaming class has started
	EventOutcome            EventCode = 5  // an attempt has ended
	EventClientDisconnected EventCode = 6  // a client has disconnected, or its final response is overdue
	EventTimer              EventCode = 7  // a timer has fired
	EventProbeResult        EventCode = 8  // a health check has ended
	EventPeerMessage        EventCode = 9  // another instance has sent a message
	EventStop               EventCode = 10 // the instance has stopped
	EventInstance           EventCode = 11 // selects the instance of the events that follow
)

// String returns the name of the kind of event, or its number if the code is unknown.
func (c EventCode) String() string {
	names := [...]string{
		EventOpen:               "open",
		EventEndpoints:          "endpoints",
		EventRequest:            "request",
		EventStreamStarted:      "stream started",
		EventOutcome:            "outcome",
		EventClientDisconnected: "client disconnected",
		EventTimer:              "timer",
		EventProbeResult:        "probe result",
		EventPeerMessage:        "peer message",
		EventStop:               "stop",
		EventInstance:           "instance",
	}
	if int(c) >= len(names) || names[c] == "" {
		return fmt.Sprintf("event code %d", uint8(c))
	}
	return names[c]
}

// Event is a decoded event record. A field is valid only for the codes that its comment names.
type Event struct {
	Code     EventCode
	Instance uint16 // EventInstance: number of the selected instance
	Seed     uint64 // EventOpen: seed of the instance's random choices
	Settings []byte // EventOpen: JSON, valid until the next Reader.Read
	// EventEndpoints: the update, valid until the next event is decoded into this Event. If
	// WatchFailed is set, there is no update: a watch of the endpoint list has failed.
	Kind        policy.UpdateKind
	WatchFailed bool
	Endpoints   []policy.Endpoint
	Request     policy.Request // EventRequest
	// EventOutcome sets the whole Outcome, EventStreamStarted only ID, Attempt and Server, and
	// EventClientDisconnected only ID.
	Outcome policy.Outcome
	Token   uint64 // EventTimer: the token passed to Reply.SetTimer
}
