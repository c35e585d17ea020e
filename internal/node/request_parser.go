package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/memorybudget"
	"calicohinge/policy"
)

const (
	// maxIDLength is the maximum length of an X-Request-ID in bytes.
	maxIDLength = 128
	// maxNumberBits is the maximum size of an integer in a header field.
	maxNumberBits = 31
	// responseMargin is how long before the client's deadline the final response is due. It allows for the network
	// latency of the request and the response.
	responseMargin = 10 * time.Millisecond
)

// requestParser validates the HTTP requests of clients and converts them into type request.
type requestParser struct {
	cfg        *config.Config
	clock      *clock
	bodyMemory *memorybudget.Budget // memory for bodies that exceed smallBody
}

// parse validates a request and reads its body. checkFraming must have succeeded. The error is a *rejectionError, or
// that of reserveBody or readBody. The caller releases the Memory of the request.
func (p *requestParser) parse(r *http.Request) (*request, error) {
	classIndex, err := p.parseClass(r)
	if err != nil {
		return nil, err
	}
	if !validID(r.Header["X-Request-Id"]) {
		return nil, badRequest("X-Request-ID is missing or malformed")
	}
	tenant, err := p.parseTenant(r)
	if err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return nil, err
	}
	class := &p.cfg.Policy.Classes[classIndex]
	if err := checkClassRules(r, class.Idempotency); err != nil {
		return nil, err
	}
	allowed := min(timeout, class.Deadline)
	memory := memorybudget.NewLease()
	waited, err := p.reserveBody(r, memory, allowed)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		memory.Release()
		return nil, err
	}
	now, age := p.clock.now(), requestAge(r, waited)
	parsed := &request{
		Request:   newUpstreamRequest(r, body, class, memory),
		class:     classIndex,
		tenant:    tenant,
		costHint:  parseCostHint(r),
		arrivedAt: now - age,
		deadline:  now - age + allowed - responseMargin,
	}
	memory.DropOnRelease(parsed.dropData)
	return parsed, nil
}

// requestAge returns the time since the last byte of a request arrived, which has just been read. The client's timeout
// includes this time. Where the system does not tell it, requestAge returns the longest time for which the request may have
// waited until its connection was accepted and until memory for its body was free.
func requestAge(r *http.Request, waitedForMemory time.Duration) time.Duration {
	conn := clientConnection(r)
	if conn == nil {
		return waitedForMemory
	}
	if age, known := conn.RequestAge(); known {
		return age
	}
	return conn.QueueTime() + waitedForMemory
}

// parseClass returns the index of the class named by the first segment of the path.
func (p *requestParser) parseClass(r *http.Request) (int, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := p.cfg.Classes[name]
	if !known {
		return 0, &rejectionError{status: http.StatusNotFound, reason: "unknown class"}
	}
	return class, nil
}

// parseTenant returns the index of the tenant named by X-Tenant-Id, or 0 if no tenants are configured.
func (p *requestParser) parseTenant(r *http.Request) (int, error) {
	if len(p.cfg.Tenants) == 0 {
		return 0, nil
	}
	tenant, known := p.cfg.Tenants[singleValue(r.Header["X-Tenant-Id"])]
	if !known {
		return 0, badRequest("X-Tenant-Id is missing or unknown")
	}
	return tenant, nil
}

// parseTimeout returns the client's timeout from X-Timeout-Ms.
func parseTimeout(r *http.Request) (time.Duration, error) {
	timeout, err := strconv.ParseUint(singleValue(r.Header["X-Timeout-Ms"]), 10, maxNumberBits)
	if err != nil || timeout == 0 {
		return 0, badRequest("X-Timeout-Ms is missing or no whole number of milliseconds")
	}
	return time.Duration(timeout) * time.Millisecond, nil
}

// parseCostHint returns the client's estimate of the work from X-Cost, which is in microseconds. It returns 0 if the
// header field is missing or malformed.
func parseCostHint(r *http.Request) time.Duration {
	hint, _ := strconv.ParseUint(singleValue(r.Header["X-Cost"]), 10, maxNumberBits)
	return time.Duration(hint) * time.Microsecond
}

// checkClassRules checks the method, the Idempotency-Key and the body of a request against the idempotency of its
// class.
func checkClassRules(r *http.Request, idempotency policy.Idempotency) error {
	method := http.MethodPost
	if idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	keys := r.Header["Idempotency-Key"]
	switch {
	case r.Method != method:
		return &rejectionError{
			status: http.StatusMethodNotAllowed, reason: "the class wants " + method, allow: method,
		}
	case idempotency == policy.IdempotentWithKey && singleValue(keys) == "":
		return badRequest("Idempotency-Key is missing")
	case idempotency == policy.NotIdempotent && len(keys) > 0:
		return badRequest("the class takes no Idempotency-Key")
	case idempotency == policy.Idempotent && r.ContentLength != 0:
		return badRequest("the class takes no body")
	}
	return nil
}

// singleValue returns the value of a header field that occurs exactly once, and "" otherwise.
func singleValue(values []string) string {
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// validID reports whether values holds exactly one request ID, of permitted length and characters.
func validID(values []string) bool {
	id := singleValue(values)
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if !isIDCharacter(c) {
			return false
		}
	}
	return true
}

func isIDCharacter(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}
