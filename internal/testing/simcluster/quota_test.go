package simcluster

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/controlplane"
	"marlreel/internal/quota/shard"
	"marlreel/internal/testing/fakesystem"
)

// The quota of the tests' tenant and the cost of each of its requests, in tokens.
const (
	quotaRate, quotaBurst = 4200.0, 8400.0
	quotaCost             = 1020.0
)

// quotaTenant is a tenant with a quota.
const quotaTenant = `{"name":"harbor","access_keys":["` + harborKey + `"],"unit":"token_metering","raw_tokens":2400,"rate_per_s":4200,"burst_size":8400}`

// quotaTraffic records when those requests of a tenant were sent that a backend executed.
type quotaTraffic struct {
	mu      sync.Mutex
	sent    []time.Time // send times of requests that were executed
	refused map[int]int // number of requests that were not executed, by status
	first   time.Time   // when the first executed request after mark was sent
	mark    time.Time
}

// sendFrom sends requests of the tenant to an edge at an interval until a point in time.
func (q *quotaTraffic) sendFrom(c *Cluster, edge *Machine, interval time.Duration, until time.Time) {
	var pending sync.WaitGroup
	for time.Now().Before(until) {
		pending.Go(func() {
			r := chatRequest("m0")
			r.Key = harborKey
			began := time.Now()
			got, err := c.Send(edge, r)
			q.record(c, r.ID, began, got.Status, err)
		})
		c.Sleep(interval)
	}
	pending.Wait()
}

// record records the outcome of a request. It counts as executed only if a backend executed it, whatever its status.
func (q *quotaTraffic) record(c *Cluster, id string, began time.Time, status int, err error) {
	ran := len(c.executionsOf(id)) > 0
	q.mu.Lock()
	defer q.mu.Unlock()
	if !ran {
		if err == nil {
			q.refused[status]++
		}
		return
	}
	q.sent = append(q.sent, began)
	if !q.mark.IsZero() && began.After(q.mark) && (q.first.IsZero() || began.Before(q.first)) {
		q.first = began
	}
}

// markNow starts looking for the next executed request.
func (q *quotaTraffic) markNow() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mark, q.first = time.Now(), time.Time{}
}

// worstWindow returns the highest cost of executed requests that were sent within one window.
func (q *quotaTraffic) worstWindow(window time.Duration) float64 {
	slices.SortFunc(q.sent, time.Time.Compare)
	worst, from := 0, 0
	for to, sent := range q.sent {
		for sent.Sub(q.sent[from]) > window {
			from++
		}
		worst = max(worst, to-from+1)
	}
	return float64(worst) * quotaCost
}

// quotaOwner returns the machine that owns the quota of a tenant.
func (c *Cluster) quotaOwner(t *testing.T, subscriber string) *Machine {
	t.Helper()
	key := shard.LeaseKey(shard.Of(subscriber))
	for _, lease := range c.status(t, c.Controls[0]).Leases {
		if lease.Key == key {
			return c.holderOf(lease)
		}
	}
	t.Fatalf("no edge holds the lease %s", key)
	return nil
}

// quotaBound is the maximum number of tokens in one window according to the requirements.
func quotaBound() float64 {
	bounds := fakesystem.Bounds()
	return (quotaRate*bounds.QuotaWindowS+quotaBurst)*(1+bounds.QuotaExcess) + bounds.QuotaSlack
}

// Guards against a tenant that gets its full quota from each proxy, or again from each new owner: it floods all proxies
// while one owner after another is killed.
func TestFloodThroughAllProxiesStaysWithinTheQuota(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.putSubscribers(t, quotaTenant)
		c.Sleep(5 * time.Second) // until leases are granted and token buckets are full
		traffic := &quotaTraffic{refused: map[int]int{}}
		const duration = 45 * time.Second // includes the time of the kills
		until := time.Now().Add(duration)
		var senders sync.WaitGroup
		for _, edge := range c.Edges {
			senders.Go(func() { traffic.sendFrom(c, edge, 400*time.Millisecond, until) })
		}
		for range 3 {
			c.Sleep(3 * time.Second)
			owner := c.quotaOwner(t, "harbor")
			traffic.markNow()
			killed := time.Now()
			var ended sync.WaitGroup
			ended.Go(owner.Kill)
			c.Sleep(4 * time.Second)
			ended.Wait()
			owner.Start()
			traffic.mu.Lock()
			is.True(!traffic.first.IsZero()) // the next owner grants tokens
			t.Logf("after the owner was killed the next request was served after %v", traffic.first.Sub(killed))
			traffic.mu.Unlock()
		}
		senders.Wait()
		window := time.Duration(fakesystem.Bounds().QuotaWindowS * float64(time.Second))
		worst, ran := traffic.worstWindow(window), float64(len(traffic.sent))*quotaCost
		mean := ran / duration.Seconds()
		t.Logf("executed: %.0f tokens in the worst window, at most %.0f allowed, %.0f per second on average; refused by status: %v", worst, quotaBound(), mean, traffic.refused)
		is.True(worst <= quotaBound())
		is.True(traffic.refused[429] > 0)
		is.True(mean > quotaRate/2) // the tenant still gets more than half of its quota
	})
}

// Guards against refused requests of a tenant that stays within its quota, spread over any number of proxies.
func TestTenantWithinItsQuotaIsNotRefused(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.putSubscribers(t, quotaTenant)
		c.Sleep(5 * time.Second)
		traffic := &quotaTraffic{refused: map[int]int{}}
		until := time.Now().Add(20 * time.Second)
		var senders sync.WaitGroup
		for _, edge := range c.Edges {
			senders.Go(func() { traffic.sendFrom(c, edge, 3*time.Second, until) }) // 4 requests per second in total
		}
		senders.Wait()
		is.Equal(len(traffic.refused), 0)
		is.True(len(traffic.sent) > 70)
	})
}

// Guards against two separate counts of one tenant's quota: the tenant's name alone determines its shard, and each shard is
// leased to one edge.
func TestQuotaShardsAreLeased(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.putSubscribers(t, quotaTenant)
		held := 0
		for _, lease := range c.status(t, c.Controls[0]).Leases {
			if number, found := strings.CutPrefix(lease.Key, "quota/"); found {
				_, err := strconv.Atoi(number)
				is.NoErr(err)
				is.True(c.holderOf(lease) != nil)
				held++
			}
		}
		is.Equal(held, shard.Count)
	})
}

// The operator sees a tenant's quota regardless of which agent counts it, and which owners don't respond.
func TestOperatorSeesQuotas(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.putSubscribers(t, quotaTenant)
		c.Sleep(5 * time.Second)
		r := chatRequest("m0")
		r.Key = harborKey
		is.Equal(c.send(t, c.Edges[0], r).Status, 200)
		owner := c.quotaOwner(t, "harbor")
		report := func() (report controlplane.QuotaReport) {
			status, body, err := c.callControl(c.Controls[1], "GET", "/marlreel/quotas", "", "")
			is.NoErr(err)
			is.Equal(status, 200)
			is.True(!strings.Contains(body, harborKey))
			is.NoErr(json.Unmarshal([]byte(body), &report))
			return report
		}
		seen := report()
		is.Equal(len(seen.Unresponsive), 0)
		is.Equal(len(seen.Quotas), 1)
		quota := seen.Quotas[0]
		is.Equal(quota.Subscriber, "harbor")
		is.Equal(quota.Owner, owner.Name)
		is.Equal(quota.Granted, quotaCost)
		is.Equal(quota.RatePerS, quotaRate)
		c.isolate(owner) // its leases have not expired yet
		is.True(slices.Contains(report().Unresponsive, shard.LeaseKey(shard.Of("harbor"))))
	})
}
