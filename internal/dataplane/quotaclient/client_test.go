package quotaclient

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp/fasthttputil"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
	"marlreel/internal/quota/ledger"
	"marlreel/internal/quota/shard"
)

var (
	now     = time.Unix(1_700_000_000, 0)
	request = &api.AcquireQuotaRequest{Subscriber: "harbor", Cost: 100}
	granted = &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_GRANTED, Grant: &api.QuotaGrant{Subscriber: "harbor", Number: 1}}
)

// Guards against a proxy that was suspended, and on waking up forwards requests for grants that are too old.
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

// An owner's refusal applies to requests of the same or a higher cost, until the time in the reply, but for at most
// maxLocalRefusal.
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
	refused(0) // the cost is above the bucket's capacity: smaller requests may be granted
	is.Equal(find(100, 0), Decision{})
	refused(40 * time.Millisecond)
	is.Equal(find(100, 30*time.Millisecond), Decision{Verdict: Exceeded, RetryAfter: 10 * time.Millisecond})
	is.Equal(find(99, 30*time.Millisecond), Decision{})
	is.Equal(find(100, 40*time.Millisecond), Decision{})
	refused(time.Second)
	is.Equal(find(101, maxLocalRefusal-1).Verdict, Exceeded)
	is.Equal(find(101, maxLocalRefusal), Decision{})
}

// A grant is refunded once, with a call that is made before the grant exceeds RefundAge.
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

// recordingOwner grants everything and counts the calls and the refunds in them.
type recordingOwner struct {
	api.QuotaOwner
	calls, refunds atomic.Int64
}

func (o *recordingOwner) AcquireQuota(_ context.Context, request *api.AcquireQuotaRequest) (*api.AcquireQuotaReply, error) {
	o.calls.Add(1)
	o.refunds.Add(int64(len(request.Refunds)))
	return granted, nil
}

// resettableConn closes itself and fails at the first write after reset was set.
type resettableConn struct {
	net.Conn
	reset *atomic.Bool
}

func (c resettableConn) Write(p []byte) (int, error) {
	if c.reset.Swap(false) {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// storeWithOwner returns a store in which the shard of the tenant harbor has an owner.
func storeWithOwner() *watch.Store {
	store := watch.New("proxy", time.Now)
	lease := &api.Ownership{Key: shard.LeaseKey(shard.Of("harbor")), Holder: "edge-0/1", Address: "owner", FencingToken: 3}
	store.InstallSnapshot(1, 1, &api.State{Ownerships: []*api.Ownership{lease}})
	return store
}

// Guards against refusals that come too late for the client to retry: a machine without power does not answer connection
// attempts.
func TestSilentOwnerIsGivenUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := New(Config{Store: storeWithOwner(), Metrics: vm.NewSet(), Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		began := time.Now()
		is.Equal(c.Acquire("harbor", 100, began.Add(time.Minute)).Verdict, Unknown)
		is.Equal(time.Since(began), callTimeout)
		time.Sleep(5 * time.Minute) // lets fasthttp's goroutines for idle connections end
	})
}

// Guards against refusals of tenants below their limit because the pooled connection to the owner was reset.
func TestBrokenConnectionToTheOwnerIsMadeAnew(t *testing.T) {
	is := is.New(t)
	listener, owner := fasthttputil.NewInmemoryListener(), new(recordingOwner)
	served := make(chan error, 1)
	go func() { served <- transport.NewServer(nil, api.NewQuotaOwnerServer(owner)).Serve(listener) }()
	var reset atomic.Bool
	c := New(Config{Store: storeWithOwner(), Metrics: vm.NewSet(), Dial: func(context.Context, string) (net.Conn, error) {
		conn, err := listener.Dial()
		return resettableConn{conn, &reset}, err
	}})
	acquire := func() Decision { return c.Acquire("harbor", 100, time.Now().Add(time.Minute)) }
	first := acquire()
	is.Equal(first.Verdict, Granted)
	c.Refund(first)
	reset.Store(true)
	is.Equal(acquire().Verdict, Granted)
	is.True(!reset.Load()) // the connection has been reset
	is.Equal(owner.calls.Load(), int64(2))
	is.Equal(owner.refunds.Load(), int64(1)) // the refund of the broken call was sent again
	is.NoErr(listener.Close())
	is.NoErr(<-served)
}
