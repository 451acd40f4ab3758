package placement

import "math"

// profileMemory is how many requests the mean of a request profile is taken over.
const profileMemory = 200

// requestProfile is what a model's requests are like: means in which old requests decay as new ones come.
type requestProfile struct {
	workMS, requests float64 // decayed sums
	latencyTargetS   float64 // seconds within which they are to be answered; 0 is not known
}

// profileOf is the profile of a model's requests.
func (p *Planner) profileOf(model string) *requestProfile {
	profile := p.profiles[model]
	if profile == nil {
		profile = &requestProfile{}
		p.profiles[model] = profile
	}
	return profile
}

// record adds requests with their work.
func (r *requestProfile) record(workMS, requests float64) {
	keep := math.Exp(-requests / profileMemory)
	r.workMS, r.requests = r.workMS*keep+workMS, r.requests*keep+requests
}

// meanWorkMS is the mean work of a request; 0 where none has come.
func (r *requestProfile) meanWorkMS() float64 {
	if r.requests <= 0 {
		return 0
	}
	return r.workMS / r.requests
}
