package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// binSpan is the time over which requests are counted for one update of a filter.
	binSpan = 250 * time.Millisecond
	// slopeMemory is the time constant with which the slope of a rate is damped.
	slopeMemory = 6 * time.Second
	// minRate is the least rate, in requests a second, from which the noise of a count is computed.
	minRate = 0.05
	// unknownSpan is the time after a planner's start in which the first requests for a model are no sign of a rise,
	// and unknownRate the standard deviation of a rate that is not known, in requests a second.
	unknownSpan = 2 * time.Second
	unknownRate = 100.0
	// slopeConfidence is how many standard deviations are subtracted from a slope.
	slopeConfidence = 1.0
	// maxBins is the number of bins without an update after which a filter is reset.
	maxBins = 240
	// riseLoads is the assumed time, in load times, in which a model's rate rises to that of the busy models.
	riseLoads = 2.0
	// routingDelay is the time, beyond the load itself, until proxies send requests to a new replica.
	routingDelay = 700 * time.Millisecond
	// unloadForecast is how far ahead the demand for loaded models is forecast: about the duration of an unload.
	unloadForecast = 500 * time.Millisecond
)

// rateFilter estimates the request rate of one model and its slope: a Kalman filter of a local linear trend with a
// damped slope (Harvey, 1989). The variance of a count of independent requests equals its mean (Poisson). The filter
// therefore reacts at once to the first requests for an idle model, and treats a change by the same number in the
// requests for a busy model as noise.
type rateFilter struct {
	rate          float64       // requests a second
	slope         float64       // of the rate, requests a second a second
	rateVariance  float64       // covariance matrix of rate and slope
	covariance    float64       //
	slopeVariance float64       //
	binCount      float64       // requests in the open bin
	binStart      time.Duration // when the open bin began
}

// newRateFilter returns the filter of a model without requests since a time. Less than unknownSpan after that time, the
// rate counts as unknown.
func newRateFilter(now, since time.Duration, slopeDeviation float64) *rateFilter {
	f := &rateFilter{binStart: now.Truncate(binSpan), slopeVariance: slopeDeviation * slopeDeviation}
	if now-since < unknownSpan {
		f.rateVariance = unknownRate * unknownRate
	}
	return f
}

// observe adds requests to the open bin.
func (f *rateFilter) observe(now time.Duration, requests, slopeDeviation float64) {
	f.advanceTo(now, slopeDeviation)
	f.binCount += requests
}

// advanceTo closes the bins that ended by now. slopeDeviation is the standard deviation of the slopes of request rates
// in this deployment, in requests a second a second.
func (f *rateFilter) advanceTo(now time.Duration, slopeDeviation float64) {
	if now-f.binStart > maxBins*binSpan {
		*f = rateFilter{binStart: now.Truncate(binSpan), slopeVariance: slopeDeviation * slopeDeviation}
		return
	}
	for now >= f.binStart+binSpan {
		f.closeBin(slopeDeviation)
		f.binStart += binSpan
	}
}

// closeBin does one prediction and one update of the Kalman filter with the count of the open bin.
func (f *rateFilter) closeBin(slopeDeviation float64) {
	span := binSpan.Seconds()
	damping := math.Exp(-span / slopeMemory.Seconds())
	// Predict the state at the end of the bin.
	f.rate += f.slope * span
	f.slope *= damping
	rateVariance := f.rateVariance + 2*span*f.covariance + span*span*f.slopeVariance
	covariance := damping * (f.covariance + span*f.slopeVariance)
	slopeVariance := damping*damping*f.slopeVariance + (1-damping*damping)*slopeDeviation*slopeDeviation
	// Update it with the count.
	measured := f.binCount / span
	noise := max(f.rate, measured/2, minRate) / span
	rateGain, slopeGain := rateVariance/(rateVariance+noise), covariance/(rateVariance+noise)
	innovation := measured - f.rate
	f.rate = max(0, f.rate+rateGain*innovation)
	f.slope += slopeGain * innovation
	f.rateVariance, f.covariance = (1-rateGain)*rateVariance, (1-rateGain)*covariance
	f.slopeVariance = slopeVariance - slopeGain*covariance
	f.binCount = 0
}

// forecast returns the expected rate after the given time. Only the significant part of the slope counts, because most
// rises and falls of a rate are noise.
func (f *rateFilter) forecast(ahead time.Duration) float64 {
	significant := max(0, math.Abs(f.slope)-slopeConfidence*math.Sqrt(max(0, f.slopeVariance)))
	memory := slopeMemory.Seconds()
	return max(0, f.rate+math.Copysign(significant, f.slope)*memory*(1-math.Exp(-ahead.Seconds()/memory)))
}

// filterOf returns the filter of a model, creating it if needed.
func (p *Planner) filterOf(now time.Duration, model string) *rateFilter {
	f := p.filters[model]
	if f == nil {
		f = newRateFilter(now, p.startedAt, p.slopeDeviation)
		p.filters[model] = f
	}
	return f
}

// modelDemand is the present and forecast demand for one model and its adapters.
type modelDemand struct {
	requestRate      float64            // requests a second
	recentRate       float64            // the same, over recentSpan only
	workRate         float64            // ms of backends' time a second, forecast for the end of a load that starts now
	unloadWorkRate   float64            // the same, for the end of an unload that starts now
	missLoss         float64            // utility that a request loses if it comes while no backend has the model loaded
	workPerRequestMS float64            // of a backend's time
	waiting          int                // requests that wait for the model or its adapters
	adapterRate      float64            // requests a second for its adapters
	zoneRates        map[string]float64 // requests a second by zone of origin
}

// forecastDemand returns the demand for all models that have a demand record.
func (p *Planner) forecastDemand(now time.Duration) map[string]*modelDemand {
	demands := map[string]*modelDemand{}
	for _, key := range p.demandKeys() {
		d := demands[key.Model]
		if d == nil {
			d = &modelDemand{zoneRates: map[string]float64{}}
			demands[key.Model] = d
		}
		d.addRecord(now, p.startedAt, key, p.demands[key])
	}
	for name, d := range demands {
		filter := p.filterOf(now, name)
		filter.advanceTo(now, p.slopeDeviation)
		work := p.profileOf(name).meanWorkMS()
		d.workPerRequestMS = max(work, minWorkMS)
		d.missLoss = p.missLoss(name)
		d.workRate = work * filter.forecast(p.service.Models[name].LoadTime+routingDelay)
		d.unloadWorkRate = work * filter.forecast(unloadForecast)
	}
	p.slopeDeviation = p.estimateSlopeDeviation(demands)
	return demands
}

// minWorkMS is the least work that a request is assumed to need.
const minWorkMS = 1

// addRecord adds the recorded demand for the model itself or for one of its adapters.
func (d *modelDemand) addRecord(now, since time.Duration, key Key, record *demandRecord) {
	d.requestRate += record.rate(now, since)
	d.recentRate += record.recentRequests.ratePerSecond(now, recentSpan, since)
	if key.Adapter != "" {
		d.adapterRate += record.rate(now, since)
	}
	d.waiting += record.waitingRequests(now)
	for zone, requests := range record.zoneRequests {
		d.zoneRates[zone] += requests.ratePerSecond(now, recentSpan, since)
	}
}

// estimateSlopeDeviation estimates the standard deviation of the slopes of request rates, in requests a second a second.
// It assumes that a model's rate can rise to the mean rate of the others, weighted by rate, within riseLoads load times.
func (p *Planner) estimateSlopeDeviation(demands map[string]*modelDemand) float64 {
	sum, squares := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		recent := demands[name].recentRate
		sum += recent
		squares += recent * recent
	}
	loadTimes, count := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(p.service.Models)) {
		loadTimes += p.service.Models[name].LoadTime.Seconds()
		count++
	}
	if sum <= 0 || loadTimes <= 0 {
		return minRate
	}
	return max(minRate, squares/sum/(riseLoads*loadTimes/count))
}
