package policy

import (
	"testing"
	"time"
)

// Guards against one tenant's surplus taking the capacity of the others.
func TestRequestOverQuotaWaitsBehindOthers(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{QuotaPerS: 2}, {QuotaPerS: 100}}
	settings.OverQuotaFraction = 0.05
	h := newHarness(t, settings, 1)
	requestOf := func(tenant int) RequestID {
		h.lastID++
		h.balancer.Request(h.now, Request{ID: h.lastID, Tenant: tenant, Timeout: 2 * time.Second})
		return h.lastID
	}
	requestOf(0)
	requestOf(0)
	over, within := requestOf(0), requestOf(1)
	for i := RequestID(1); i < within; i++ {
		if i != over && len(h.sendsOf(i)) > h.outcomesGiven[i] {
			h.endAttempt(i, OK, 10*ms)
		}
	}
	if len(h.sendsOf(over)) != 0 || len(h.sendsOf(within)) != 1 {
		t.Fatal("a request over its tenant's quota was sent first")
	}
}

// Guards against counting every retry of a rejected client: in a retry storm all of a tenant's requests would
// be over its quota and lose most of their weight.
func TestRejectedRequestReturnsItsQuotaToken(t *testing.T) {
	for _, rejected := range []bool{true, false} {
		settings := testSettings()
		settings.Nodes = 80
		settings.Tenants = []Tenant{{QuotaPerS: 800}}
		settings.OverQuotaFraction = 0.2
		h := newHarness(t, settings, 20)
		for range 30 {
			if rejected {
				h.openAllBreakers()
			}
			id := h.request(0)
			if _, was := h.host.rejected[id]; was != rejected {
				t.Fatalf("rejected %v, want %v", was, rejected)
			}
			if !rejected {
				h.endAttempt(id, OK, 0)
			}
		}
		if within := h.balancer.quotas.buckets[0].Take(h.now); within != rejected {
			t.Errorf("after 30 requests, rejected %v: within the quota %v", rejected, within)
		}
	}
}
