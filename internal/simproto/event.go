package simproto

import (
	"fmt"

	"calicohinge/policy"
)

// EventCode is the code of an event record.
type EventCode uint8

// The events.
const (
	EventOpen               EventCode = 1  // an instance starts without state
	EventEndpoints          EventCode = 2  // an update of the endpoint list, or a failed watch
	EventRequest            EventCode = 3  // a client's request has arrived
	EventStreamStarted      EventCode = 4  // the response to an attempt of a streaming class has started
	EventOutcome            EventCode = 5  // an attempt has ended
	EventClientDisconnected EventCode = 6  // a client has disconnected, or its final response is overdue
	EventTimer              EventCode = 7  // a timer has expired
	EventProbeResult        EventCode = 8  // a health check has ended
	EventPeerMessage        EventCode = 9  // a message of another instance
	EventStop               EventCode = 10 // the instance has been terminated
	EventInstance           EventCode = 11 // selects the instance of the events that follow
)

// String returns the name of the event, or its code if it has none.
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

// Event is one record of a batch. Only the fields that name its code are valid.
type Event struct {
	Code     EventCode
	Instance uint16 // EventInstance
	Seed     uint64 // EventOpen
	Settings []byte // EventOpen: JSON, valid until the next Reader.Read
	// EventEndpoints: the update, valid until the next event is decoded into this Event. If
	// WatchFailed is set, a watch of the endpoint list has failed and there is no update.
	Kind        policy.UpdateKind
	WatchFailed bool
	Endpoints   []policy.Endpoint
	Request     policy.Request // EventRequest
	// Outcome is complete for EventOutcome. EventStreamStarted gives ID, Attempt and Server,
	// EventClientDisconnected the ID only.
	Outcome policy.Outcome
	Token   uint64 // EventTimer: as given to Reply.SetTimer
}
