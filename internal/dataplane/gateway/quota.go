package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// unknownTokens stands for the tokens of a request that doesn't state them.
const unknownTokens = -1

// parseTokens returns the tokens in a Token-Count value: those of the prompt and those that may be generated.
func parseTokens(value string) float64 {
	prompt, output, found := strings.Cut(value, ",")
	in, badPrompt := strconv.ParseUint(strings.TrimSpace(prompt), 10, 32)
	out, badOutput := strconv.ParseUint(strings.TrimSpace(output), 10, 32)
	if !found || badPrompt != nil || badOutput != nil {
		return unknownTokens
	}
	return float64(in) + float64(out)
}

// countedTokens returns the tokens of a request by all its Token-Count values. Backends get all of them and may use any,
// so the highest counts.
func countedTokens(values [][]byte) float64 {
	tokens := float64(unknownTokens)
	for _, value := range values {
		tokens = max(tokens, parseTokens(string(value)))
	}
	return tokens
}

// acquireQuota takes the request's cost from its tenant's quota. If that isn't allowed, it answers the request.
func (r *clientRequest) acquireQuota(ctx *fasthttp.RequestCtx) (allowed bool) {
	subscriber := r.tenant.subscriber
	if r.gateway.quota == nil || subscriber == nil || !subscriber.Limited() {
		return true
	}
	cost := subscriber.Cost(countedTokens(ctx.Request.Header.PeekAll(headerTokens)))
	decision := r.gateway.quota.Acquire(subscriber, cost, r.deadline)
	if decision.Verdict == QuotaAllowed {
		r.quotaTaken = &decision
		return true
	}
	reason, status := refusedQuotaUnknown, fasthttp.StatusServiceUnavailable
	if decision.Verdict == QuotaExceeded {
		reason, status = refusedOverQuota, fasthttp.StatusTooManyRequests
	}
	r.gateway.refusals.recordTenant(time.Now(), reason, subscriber.Name)
	refuse(ctx, status, decision.RetryAfter)
	return false
}

// refundQuota gives back the cost of a request that no backend can have run. The answer doesn't tell: an idempotent
// request may be rejected after an attempt that has run.
func (r *clientRequest) refundQuota() {
	if r.quotaTaken != nil && r.current.neverRan {
		r.gateway.quota.Refund(r.tenant.subscriber, *r.quotaTaken)
	}
}
