package upstream

import "sync/atomic"

// callState says whether an attempt may still be written.
//
//	transition  from     to       made by
//	start       waiting  started  Pool.Send, right before it writes the first byte
//	revoke      waiting  revoked  Call.Revoke, called by the owner of the attempt
//
// A call changes its state once at most. Where the two transitions race, the first one wins:
// an attempt that was revoked is never written, and one that has started cannot be revoked.
type callState int32

// The states of a call.
const (
	callWaiting callState = iota // for its connection; nothing is written
	callSent                     // its first byte may be written
	callRevoked                  // nothing will be written
)

// atomicCallState is a callState that several goroutines may use. The zero value is
// callWaiting.
type atomicCallState struct{ value atomic.Int32 }

// is reports whether the present state is the given one.
func (s *atomicCallState) is(state callState) bool { return s.value.Load() == int32(state) }

// markSent permits the first byte to be written. It returns false if the call was revoked.
func (s *atomicCallState) markSent() bool { return s.leaveWaiting(callSent) }

// markRevoked prevents the first byte from being written. It returns false if the call has
// started or was revoked before.
func (s *atomicCallState) markRevoked() bool { return s.leaveWaiting(callRevoked) }

// leaveWaiting changes the state from callWaiting to next. It returns false in any other state.
func (s *atomicCallState) leaveWaiting(next callState) bool {
	return s.value.CompareAndSwap(int32(callWaiting), int32(next))
}
