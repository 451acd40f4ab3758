package tokenbucket

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawLimit(t *rapid.T) Limit {
	return Limit{
		RatePerS: rapid.Float64Range(0.1, 1e5).Draw(t, "rate"), BurstSize: rapid.Float64Range(0, 1e5).Draw(t, "burst"),
		RequestCost: rapid.Float64Range(1, 3000).Draw(t, "request"),
	}
}

func drawRule(t *rapid.T) Rule {
	return Rule{
		Window: time.Duration(rapid.IntRange(1, 30).Draw(t, "window")) * time.Second,
		Excess: rapid.Float64Range(0, 0.5).Draw(t, "excess"), Slack: rapid.Float64Range(0, 20000).Draw(t, "slack"),
	}
}

// For any rule and limit, a bucket grants at most the rule's bound in a window plus the delay allowance.
func TestParametersKeepTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule, limit := drawRule(t), drawLimit(t)
		p := rule.Parameters(limit)
		bound := rule.Bound(limit)
		most := p.Exposure + p.RatePerS*(rule.Window+DelayAllowance).Seconds()
		if p.RatePerS < 0 || p.Capacity < 0 || p.Capacity > p.Exposure || most > bound*(1+1e-9) {
			t.Fatalf("parameters %+v for limit %+v allow %.3f, but the rule allows %.3f", p, limit, most, bound)
		}
		if bound >= limit.RequestCost && p.Capacity < limit.RequestCost*(1-1e-9) {
			t.Fatalf("the capacity in parameters %+v for limit %+v does not cover one request", p, limit)
		}
	})
}

// Guards against refunds and changes of limits after which more than the exposure can be granted: the level plus the
// outstanding costs stay within it in any sequence of operations, and a lower limit clamps the level at once.
func TestLevelAndOutstandingStayWithinTheExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule, now := drawRule(t), time.Duration(0)
		bucket := NewBucket(rule.Parameters(drawLimit(t)), now)
		var taken []float64
		outstanding := 0.0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "wait")) },
			"take": func(t *rapid.T) {
				cost := bucket.Level(now) * rapid.Float64Range(0, 1.1).Draw(t, "part")
				if bucket.Take(now, cost) {
					taken, outstanding = append(taken, cost), outstanding+cost
				}
			},
			"settle": func(t *rapid.T) {
				if len(taken) == 0 {
					return
				}
				if rapid.Bool().Draw(t, "returned") {
					bucket.Return(now, taken[0])
				} else {
					bucket.Lapse(taken[0])
				}
				outstanding -= taken[0]
				taken = taken[1:]
			},
			"configure": func(t *rapid.T) { bucket.Configure(now, rule.Parameters(drawLimit(t))) },
			"": func(t *rapid.T) {
				level, p := bucket.Level(now), bucket.Parameters()
				within := level <= 1e-6 || level+outstanding <= p.Exposure*(1+1e-9)+1e-6
				if level > p.Capacity*(1+1e-9) || !within {
					t.Fatalf("level %.3f, outstanding %.3f, %+v", level, outstanding, p)
				}
			},
		})
	})
}

func TestBucket(t *testing.T) {
	is := is.New(t)
	p := Parameters{RatePerS: 100, Capacity: 50, Exposure: 60}
	b := NewBucket(p, time.Second)
	is.Equal(b.Level(time.Second), 0.0) // a bucket starts empty
	is.True(!b.Take(time.Second, 1))
	wait, ever := b.Wait(time.Second, 20)
	is.True(ever)
	is.Equal(wait, 200*time.Millisecond)
	is.True(b.Take(1200*time.Millisecond, 20))
	is.True(!b.Take(1100*time.Millisecond, 1)) // an earlier time changes nothing
	is.Equal(b.Level(10*time.Second), 40.0)    // the outstanding 20 may be returned
	b.Lapse(20)
	is.Equal(b.Level(11*time.Second), 50.0)
	_, ever = b.Wait(11*time.Second, 51)
	is.True(!ever)
	for _, cost := range []float64{51, -1, math.NaN(), math.Inf(1)} {
		is.True(!b.Take(11*time.Second, cost))
	}
}
