package tokenbucket

import "time"

const (
	// DelayAllowance is the longest time from the sending of a request to its grant. The requests that a client sends in
	// a window are granted within the window plus this time, so the bound has to hold for both together.
	DelayAllowance = 250 * time.Millisecond
	// minExposure is the minimum exposure, given as the time in which the limit's rate fills it; the exposure must also
	// cover the cost of one request. If the rule leaves less, the bucket's rate is lowered.
	minExposure = 50 * time.Millisecond
)

// Rule is the bound promised to users: in any Window a tenant may send (rate x window + burst) x (1 + Excess) + Slack.
type Rule struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Limit is the limit of a tenant in the configuration. Its numbers are requests or tokens, depending on Unit.
type Limit struct {
	RatePerS  float64 // 0: not limited
	BurstSize float64
	Unit      string
	// RequestCost is the cost of a request that does not declare one. The exposure is chosen to cover it.
	RequestCost float64
}

// Limited reports whether the tenant has a limit.
func (l Limit) Limited() bool { return l.RatePerS > 0 }

// Bound returns the highest total cost that the rule allows in one window.
func (r Rule) Bound(limit Limit) float64 {
	return (limit.RatePerS*r.Window.Seconds()+limit.BurstSize)*(1+r.Excess) + r.Slack
}

// Parameters are the parameters of a bucket.
type Parameters struct {
	RatePerS float64
	// Capacity is the highest level.
	Capacity float64
	// Exposure bounds the sum of the level and the outstanding costs. It is at least Capacity.
	Exposure float64
}

// Parameters returns the parameters of a tenant's bucket. The rate times (window + delay allowance) plus the exposure
// equals the rule's bound. The rate spreads the burst over a window, so that a tenant that always sends too much gets all
// that its limit allows in each window. The rule's excess and slack make room for the capacity and the outstanding costs.
func (r Rule) Parameters(limit Limit) Parameters {
	bound, span := r.Bound(limit), (r.Window + DelayAllowance).Seconds()
	reserved := max(limit.RatePerS*minExposure.Seconds(), limit.RequestCost)
	rate := max(0, min(limit.RatePerS+limit.BurstSize/r.Window.Seconds(), (bound-reserved)/span))
	exposure := bound - rate*span
	return Parameters{RatePerS: rate, Capacity: exposure, Exposure: exposure}
}
