package node

import (
	"errors"
	"net/http"
	"time"

	"calicohinge/internal/downstream"
	"calicohinge/internal/memorybudget"
	"calicohinge/policy"
)

// forward parses a request, forwards it and writes its final response. It rejects a request for which no memory is
// free. The error is that of requestParser.parse or submit.
func (h *handler) forward(w http.ResponseWriter, r *http.Request) error {
	parsed, err := h.parser.parse(r)
	if errors.Is(err, memorybudget.ErrExhausted) {
		h.rejectForCapacity(w, clientConnection(r))
		return nil
	}
	if err != nil {
		return err
	}
	defer parsed.Memory.Release()
	conn := clientConnection(r)
	if conn == nil {
		parsed.client = contextConn{r.Context().Done()}
		return h.submit(w, r, parsed)
	}
	parsed.client = conn
	h.loop.delays.read.observe(h.loop.clock.now() - parsed.arrivedAt)
	conn.MarkRequestRead()
	if conn.OverLimit() {
		h.rejectForCapacity(w, conn)
		return nil
	}
	return h.submit(w, r, parsed)
}

// rejectForCapacity rejects a request for which the node has no capacity: its connection exceeds the limit of client
// connections, or no memory is free for its body.
func (h *handler) rejectForCapacity(w http.ResponseWriter, conn *downstream.Conn) {
	if conn != nil {
		conn.KeepPlace()
	}
	w.Header().Set("Connection", "close")
	h.writeFinal(w, response{
		status: http.StatusServiceUnavailable, retryAfter: h.cfg.Policy.Limits.MaxRetryAfter,
	})
}

// submit passes a request to the loop, waits for its final response and writes it. The error is a *rejectionError if
// the X-Request-ID is in use, or errClientDisconnected.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, parsed *request) error {
	id := parsed.Header.Get("X-Request-Id")
	if !h.addID(id, parsed) {
		return &rejectionError{status: http.StatusConflict, reason: "the X-Request-ID is in use"}
	}
	h.lastRequestAt.Store(int64(h.loop.clock.now()))
	controller := http.NewResponseController(w)
	// net/http keeps reading from the connection to detect a disconnect, and would mistake the expiry of
	// the request's read deadline for a disconnect. The error is ignored: a broken connection is detected elsewhere.
	_ = controller.SetReadDeadline(time.Time{})
	final, err := h.loop.submit(r.Context(), parsed)
	h.keepAbandonedID(id, parsed, final, err)
	h.ids.remove(id)
	if err != nil {
		return err
	}
	final.writeUntil = h.loop.clock.toTime(parsed.deadline)
	if conn := clientConnection(r); conn != nil && final.forwarded {
		conn.MarkForwarded()
	}
	h.writeFinal(w, final)
	if final.forwarded && h.mustExecuteOnce(parsed) {
		flushErr := controller.Flush()
		h.keepAbandonedID(id, parsed, final, flushErr)
	}
	return nil
}

// addID adds the X-Request-ID of a request to those in use. It returns false if it is in use already.
func (h *handler) addID(id string, parsed *request) bool {
	if h.mustExecuteOnce(parsed) {
		return h.ids.addOnce(id, h.loop.clock.now())
	}
	return h.ids.add(id)
}

// keepAbandonedID keeps the X-Request-ID of a request in use that must not be executed twice, if a server may have
// executed it and the response failed or has not reached its client, as far as the node knows.
func (h *handler) keepAbandonedID(id string, parsed *request, final response, err error) {
	if !final.forwarded || !h.mustExecuteOnce(parsed) {
		return
	}
	if err != nil || final.status != http.StatusOK || parsed.client.ClientDisconnected() {
		h.ids.abandon(id, h.loop.clock.now())
	}
}

// mustExecuteOnce reports whether a request must not be executed more than once.
func (h *handler) mustExecuteOnce(parsed *request) bool {
	return h.cfg.Policy.Classes[parsed.class].Idempotency == policy.NotIdempotent
}
