package tokenbucket

import "time"

const (
	// DelayAllowance is how long a request may have been under way when it is granted. What a client has sent in a window
	// is granted within the window and that time, so the bound has to hold for both together.
	DelayAllowance = 250 * time.Millisecond
	// minExposure is the least exposure, as time in which the rate fills it, and that of one request is too: where the
	// rule leaves less, the rate yields.
	minExposure = 50 * time.Millisecond
)

// Rule is the users' bound: in any Window a tenant may send (rate x window + burst) x (1 + Excess) + Slack.
type Rule struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Limit is what the configuration says of a tenant. Its figures are requests or tokens, by the unit.
type Limit struct {
	RatePerS  float64 // 0: not limited
	BurstSize float64
	Unit      string
	// RequestCost is what a request counts that doesn't say otherwise: the capacity has room for it.
	RequestCost float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.RatePerS > 0 }

// Bound is the most that the rule allows in one window.
func (r Rule) Bound(limit Limit) float64 {
	return (limit.RatePerS*r.Window.Seconds()+limit.BurstSize)*(1+r.Excess) + r.Slack
}

// Parameters are those of a bucket.
type Parameters struct {
	RatePerS float64
	// Capacity is the highest level.
	Capacity float64
	// Exposure bounds the level and what is outstanding together; it is not below Capacity.
	Exposure float64
}

// Parameters returns those of a tenant's bucket: the rate times window and delay allowance, and the exposure, are the
// rule's bound. The rate is that of a whole window with its burst, so that a tenant that always sends more than it may
// gets what its limit allows in each window. The excess and the slack bear the capacity and what is outstanding.
func (r Rule) Parameters(limit Limit) Parameters {
	bound, span := r.Bound(limit), (r.Window + DelayAllowance).Seconds()
	reserved := max(limit.RatePerS*minExposure.Seconds(), limit.RequestCost)
	rate := max(0, min(limit.RatePerS+limit.BurstSize/r.Window.Seconds(), (bound-reserved)/span))
	exposure := bound - rate*span
	return Parameters{RatePerS: rate, Capacity: exposure, Exposure: exposure}
}
