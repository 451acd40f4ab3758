package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/quota/tokenbucket"
)

// rule gives a tenant with a limit of 100 per second a capacity of at least 60.
var rule = tokenbucket.Rule{Window: 8 * time.Second, Excess: 0.1, Slack: 10}

func limits(unit string) map[string]tokenbucket.Limit {
	return map[string]tokenbucket.Limit{"harbor": {RatePerS: 100, BurstSize: 10, Unit: unit, RequestCost: 1}, "free": {}}
}

// lease returns a lease that starts at 1 s and does not expire during a test.
func lease(token uint64) Lease {
	return Lease{FencingToken: token, Since: time.Second, Expiry: time.Hour}
}

func newTestLedger() *Ledger {
	l := New(rule)
	l.Configure(time.Second, 1, limits(""))
	return l
}

func TestVerdicts(t *testing.T) {
	expired := lease(7)
	expired.Expiry = 3 * time.Second
	for name, c := range map[string]struct {
		lease   Lease
		request Request
		want    Verdict
	}{
		"within the quota":                   {lease(7), Request{"harbor", 50, 1}, Granted},
		"above the quota":                    {lease(7), Request{"harbor", 70, 1}, Exceeded},
		"the lease has just expired":         {expired, Request{"harbor", 1, 1}, NotOwner},
		"an earlier lease":                   {lease(6), Request{"harbor", 1, 1}, NotOwner},
		"no limit":                           {lease(7), Request{"free", 1e9, 1}, Granted},
		"no limit in an older configuration": {lease(7), Request{"free", 1, 2}, SubscriberUnknown},
		"no such tenant":                     {lease(7), Request{"pier", 1, 1}, SubscriberUnknown},
		"a limit in an older configuration":  {lease(7), Request{"harbor", 1, 2}, Granted},
		"a cost above the bucket's capacity": {lease(7), Request{"harbor", 1e6, 1}, Exceeded},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLedger()
			l.Acquire(2*time.Second, lease(7), Request{"harbor", 0, 1})
			l.Acquire(2*time.Second, lease(7), Request{"free", 0, 1})
			is.Equal(l.Acquire(3*time.Second, c.lease, c.request).Verdict, c.want)
		})
	}
}

// Guards against a refund that counts more than once: the same call may arrive twice.
func TestRefundCountsOnce(t *testing.T) {
	is := is.New(t)
	l, at := newTestLedger(), 3*time.Second
	grant := l.Acquire(at, lease(7), Request{"harbor", 15, 1})
	l.Acquire(at, lease(7), Request{"harbor", 45, 1}) // the bucket is nearly empty
	level := func() float64 { return l.Statuses(at, func(int) bool { return true })[0].Level }
	left := level()
	l.Refund(at, 6, "harbor", grant.Grant) // of an earlier owner
	l.Refund(at, 7, "free", grant.Grant)
	is.Equal(level(), left)
	for range 3 {
		l.Refund(at, 7, "harbor", grant.Grant)
		is.Equal(level(), left+15)
	}
}

// Guards against refunds that come so late that they would add to a later window.
func TestRefundLapses(t *testing.T) {
	is := is.New(t)
	l, at := newTestLedger(), 3*time.Second
	grant := l.Acquire(at, lease(7), Request{"harbor", 40, 1})
	at += RefundAge + 1
	l.Refund(at, 7, "harbor", grant.Grant)
	is.Equal(l.Statuses(at, func(int) bool { return true })[0].Granted, 40.0)
}

// Guards against a tenant that gets a full bucket when its unit changes, or when it is removed and added again.
func TestTenantsStartEmpty(t *testing.T) {
	is := is.New(t)
	l, at := newTestLedger(), 3*time.Second
	is.Equal(l.Acquire(at, lease(7), Request{"harbor", 50, 1}).Verdict, Granted)
	l.Configure(at, 2, limits(otherUnit))
	is.Equal(l.Acquire(at, lease(7), Request{"harbor", 1, 2}).Verdict, Exceeded)
	at += time.Second
	l.Configure(at, 3, map[string]tokenbucket.Limit{})
	l.Configure(at, 4, limits(""))
	is.Equal(l.Acquire(at, lease(7), Request{"harbor", 1, 4}), Answer{Verdict: Exceeded, RetryAfter: 9876544 * time.Nanosecond})
}

// otherUnit is a unit other than requests.
const otherUnit = "token_metering"
