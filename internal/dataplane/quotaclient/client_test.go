package quotaclient

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/quota/ledger"
	"marlreel/internal/quota/shard"
)

var (
	now     = time.Unix(1_700_000_000, 0)
	request = &api.AcquireQuotaRequest{Subscriber: "harbor", Cost: 100}
	granted = &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_GRANTED, Grant: &api.QuotaGrant{Subscriber: "harbor", Number: 1}}
)

// Guards against a proxy that was stopped, and sends requests for grants of long ago.
func TestLateGrantIsNotTaken(t *testing.T) {
	is := is.New(t)
	c := New(Config{Metrics: vm.NewSet()})
	end := now.Add(callTimeout)
	decision, decided := c.decide(request, granted, now, end, end)
	is.True(decided)
	is.Equal(decision, Decision{Verdict: Granted, Grant: granted.Grant, At: now})
	_, decided = c.decide(request, granted, now, end.Add(1), end)
	is.True(!decided)
}

// idleConnectionLifetime is after what time fasthttp's goroutine for idle connections has ended, on a simulated clock.
const idleConnectionLifetime = 5 * time.Minute

// Guards against refusals that come too late for another attempt: an owner without power delays them by one call.
func TestSilentOwnerDelaysARefusalByOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := watch.New("proxy", time.Now)
		key := shard.LeaseKey(shard.Of("harbor"))
		store.InstallSnapshot(1, 1, &api.State{Ownerships: []*api.Ownership{{Key: key, Holder: "edge-1/1", Address: "10.0.0.1:1", FencingToken: 1}}})
		silent := func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, began := New(Config{Store: store, Dial: silent, Metrics: vm.NewSet()}), time.Now()
		is.Equal(c.Acquire("harbor", 100, began.Add(time.Second)), Decision{Verdict: Unknown, RetryAfter: unknownRetryAfter})
		is.Equal(time.Since(began), callTimeout)
		time.Sleep(idleConnectionLifetime)
	})
}

// An owner's refusal counts for as much or more, until when it says, and for maxLocalRefusal at most.
func TestRefusalCountsForAWhile(t *testing.T) {
	is := is.New(t)
	c := New(Config{Metrics: vm.NewSet()})
	refused := func(after time.Duration) {
		reply := &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_EXCEEDED, RetryAfterMs: uint32(after.Milliseconds())}
		_, decided := c.decide(request, reply, now, now, now)
		is.True(decided)
	}
	find := func(cost float64, after time.Duration) Decision {
		return c.refusals.find("harbor", cost, now.Add(after))
	}
	refused(0) // it costs more than can be saved up: smaller requests may pass
	is.Equal(find(100, 0), Decision{})
	refused(40 * time.Millisecond)
	is.Equal(find(100, 30*time.Millisecond), Decision{Verdict: Exceeded, RetryAfter: 10 * time.Millisecond})
	is.Equal(find(99, 30*time.Millisecond), Decision{})
	is.Equal(find(100, 40*time.Millisecond), Decision{})
	refused(time.Second)
	is.Equal(find(101, maxLocalRefusal-1).Verdict, Exceeded)
	is.Equal(find(101, maxLocalRefusal), Decision{})
}

// A grant goes back once, with a call that is made while it counts.
func TestRefundsGoBackOnce(t *testing.T) {
	is := is.New(t)
	q, number := newRefundQueue(), shard.Of("harbor")
	old, fresh := &api.QuotaGrant{Subscriber: "harbor", Number: 1}, &api.QuotaGrant{Subscriber: "harbor", Number: 2}
	q.add(old, now)
	q.add(fresh, now.Add(1))
	is.Equal(q.take((number+1)%shard.Count, now), nil)
	is.Equal(q.take(number, now.Add(ledger.RefundAge+1)), []*api.QuotaGrant{fresh})
	is.Equal(q.take(number, now), nil)
	for range 2 * maxRefunds {
		q.add(fresh, now)
	}
	is.Equal(len(q.take(number, now)), maxRefunds)
}
