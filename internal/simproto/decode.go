package simproto

import "fmt"

// Event decodes record i of the batch into event. It returns a *FormatError if the record is
// malformed.
func (b *Batch) Event(i int, event *Event) error {
	if err := b.decode(record(b.records[i*eventSize:(i+1)*eventSize]), event); err != nil {
		return &FormatError{Batch: b.Number, Record: i, Err: err}
	}
	return nil
}

// decode decodes a record into event. Its errors have no position in the input.
func (b *Batch) decode(rec record, event *Event) error {
	const timerTokenAt = 1
	event.Code = EventCode(rec[codeAt])
	switch event.Code {
	case EventInstance:
		event.Instance = rec.uint16(instanceAt)
	case EventOpen:
		return b.decodeOpen(rec, event)
	case EventEndpoints:
		return b.decodeEndpoints(rec, event)
	case EventRequest, EventStreamStarted, EventOutcome, EventClientDisconnected:
		return decodeRequestEvent(rec, event)
	case EventTimer:
		event.Token = rec.uint64(timerTokenAt)
	case EventPeerMessage:
		return b.checkPeerMessage(rec)
	case EventProbeResult, EventStop: // Event has no field for them
	default:
		return fmt.Errorf("unknown %v", event.Code)
	}
	return nil
}

func (b *Batch) decodeOpen(rec record, event *Event) error {
	const (
		seedAt     = 1
		settingsAt = 9
	)
	settings, ok := b.tailItems(rec, settingsAt, 1)
	if !ok {
		return fmt.Errorf("settings outside the tail: offset %d", rec.uint32(settingsAt))
	}
	event.Seed = rec.uint64(seedAt)
	event.Settings = settings
	return nil
}

// checkPeerMessage checks that the message is in the frame. It does not decode the message:
// the instances use none.
func (b *Batch) checkPeerMessage(rec record) error {
	const messageAt = 5
	if _, ok := b.tailItems(rec, messageAt, 1); !ok {
		return fmt.Errorf("message outside the tail: offset %d", rec.uint32(messageAt))
	}
	return nil
}

// tailItems returns the items in the tail to which a record refers. The reference is the
// offset of the first item, in bytes, and the number of items. It returns false if they are
// not all in the tail.
func (b *Batch) tailItems(rec record, referenceAt, itemSize int) ([]byte, bool) {
	offset, count := uint64(rec.uint32(referenceAt)), uint64(rec.uint32(referenceAt+offsetSize))
	end := offset + count*uint64(itemSize)
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}
