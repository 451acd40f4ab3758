package placement

import "math"

// profileMemory is the decay constant of the means of a request profile, in requests.
const profileMemory = 200

// requestProfile describes a model's requests by means in which older requests decay as new ones come.
type requestProfile struct {
	workMS, requests float64 // decayed sums
	latencyTargetS   float64 // mean latency target in seconds; 0: not known
}

// profileOf returns the profile of a model's requests, creating it if needed.
func (p *Planner) profileOf(model string) *requestProfile {
	profile := p.profiles[model]
	if profile == nil {
		profile = &requestProfile{}
		p.profiles[model] = profile
	}
	return profile
}

// record adds a number of requests with their total work.
func (r *requestProfile) record(workMS, requests float64) {
	keep := math.Exp(-requests / profileMemory)
	r.workMS, r.requests = r.workMS*keep+workMS, r.requests*keep+requests
}

// meanWorkMS returns the mean work of a request; 0 before the first one.
func (r *requestProfile) meanWorkMS() float64 {
	if r.requests <= 0 {
		return 0
	}
	return r.workMS / r.requests
}
