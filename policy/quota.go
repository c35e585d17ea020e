package policy

// The tenants' quotas.

import (
	"time"

	"calicohinge/internal/tokenbucket"
)

// tenantQuotas holds this node's share of each tenant's quota.
type tenantQuotas struct {
	buckets           []tokenbucket.Bucket // one bucket per tenant, in the order of Settings.Tenants
	overQuotaFraction float64              // Settings.OverQuotaFraction
}

func newTenantQuotas(settings *Settings) tenantQuotas {
	quotas := tenantQuotas{overQuotaFraction: settings.OverQuotaFraction}
	for _, tenant := range settings.Tenants {
		quotas.buckets = append(quotas.buckets, tokenbucket.New(tenant.QuotaPerS/float64(settings.Nodes)))
	}
	return quotas
}

// charge takes a token from the tenant's quota. If no token is left, it multiplies the request's weight by
// overQuotaFraction.
func (q *tenantQuotas) charge(now time.Duration, request *request) {
	if request.Tenant < 0 || request.Tenant >= len(q.buckets) {
		return
	}
	if bucket := &q.buckets[request.Tenant]; bucket.Take(now) {
		request.quota = bucket
	} else {
		request.weight *= q.overQuotaFraction
	}
}

// refund returns the token of a request that completes unserved, because its client retries the request.
// Otherwise such requests would exhaust the share of a quota that an undersampled node has, which is small.
func (q *tenantQuotas) refund(request *request) {
	if request.quota != nil {
		request.quota.Return()
	}
}
