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

// decode decodes a record into event. Its errors do not name the batch or the record.
func (b *Batch) decode(rec record, event *Event) error {
	const timerTokenOffset = 1
	event.Code = EventCode(rec[codeOffset])
	switch event.Code {
	case EventInstance:
		event.Instance = rec.uint16(instanceOffset)
	case EventOpen:
		return b.decodeOpen(rec, event)
	case EventEndpoints:
		return b.decodeEndpoints(rec, event)
	case EventRequest, EventStreamStarted, EventOutcome, EventClientDisconnected:
		return decodeRequestEvent(rec, event)
	case EventTimer:
		event.Token = rec.uint64(timerTokenOffset)
	case EventPeerMessage:
		return b.checkPeerMessage(rec)
	case EventProbeResult, EventStop: // nothing to decode
	default:
		return fmt.Errorf("unknown %v", event.Code)
	}
	return nil
}

func (b *Batch) decodeOpen(rec record, event *Event) error {
	const (
		seedOffset     = 1
		settingsOffset = 9
	)
	settings, ok := b.tailItems(rec, settingsOffset, 1)
	if !ok {
		return fmt.Errorf("settings at offset %d must lie within the tail of %d bytes",
			rec.uint32(settingsOffset), len(b.tail))
	}
	event.Seed = rec.uint64(seedOffset)
	event.Settings = settings
	return nil
}

// checkPeerMessage returns an error if the message lies outside the tail. It does not decode the
// message, because instances ignore messages from their peers.
func (b *Batch) checkPeerMessage(rec record) error {
	const messageOffset = 5
	if _, ok := b.tailItems(rec, messageOffset, 1); !ok {
		return fmt.Errorf("message at offset %d must lie within the tail of %d bytes",
			rec.uint32(messageOffset), len(b.tail))
	}
	return nil
}

// tailItems returns the items in the tail that a record refers to. The reference consists of
// the byte offset of the first item in the tail and the number of items. tailItems returns
// false if an item lies outside the tail.
func (b *Batch) tailItems(rec record, referenceOffset, itemSize int) ([]byte, bool) {
	start, count := uint64(rec.uint32(referenceOffset)), uint64(rec.uint32(referenceOffset+tailOffsetSize))
	end := start + count*uint64(itemSize)
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[start:end], true
}
