package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// binSpan is over what time requests are counted before a filter is updated with them.
	binSpan = 250 * time.Millisecond
	// slopeMemory is the time constant with which a rise or a fall of a rate dies out.
	slopeMemory = 6 * time.Second
	// minRate is the rate, in requests a second, below which counts are no surer.
	minRate = 0.05
	// unknownSpan is for how long after a planner's start the first requests for a model say nothing of a rise,
	// and unknownRate the deviation of rates that are not known, in requests a second.
	unknownSpan = 2 * time.Second
	unknownRate = 100.0
	// slopeConfidence is how many standard deviations of a slope are taken off it.
	slopeConfidence = 1.0
	// maxBins is after how many bins without an update a filter starts anew.
	maxBins = 240
	// riseLoads is in what time a model comes to be requested as the busy models are, in load times.
	riseLoads = 2.0
	// routingDelay is how long it takes, beside the load itself, until proxies send requests to a new replica.
	routingDelay = 700 * time.Millisecond
	// unloadForecast is for when the value of what is loaded already is forecast: about the time of an unload.
	unloadForecast = 500 * time.Millisecond
)

// rateFilter follows how many requests a second come for one model, and how fast that changes: a Kalman filter of a
// local linear trend with a damped slope (Harvey, 1989). Counts of requests that come independently have their mean as
// their variance: so the filter believes the first requests for a model that nobody requested at once, and takes the
// same number more or fewer, of one that is requested often, for chance.
type rateFilter struct {
	rate          float64       // requests a second
	slope         float64       // of the rate, requests a second a second
	rateVariance  float64       // the covariance matrix of both
	covariance    float64       //
	slopeVariance float64       //
	binCount      float64       // requests in the open bin
	binStart      time.Duration // when that began
}

// newRateFilter makes the filter of a model that nobody has requested since a time. Where that is just now, nothing is
// known of its rate.
func newRateFilter(now, since time.Duration, slopeDeviation float64) *rateFilter {
	f := &rateFilter{binStart: now.Truncate(binSpan), slopeVariance: slopeDeviation * slopeDeviation}
	if now-since < unknownSpan {
		f.rateVariance = unknownRate * unknownRate
	}
	return f
}

// observe counts requests.
func (f *rateFilter) observe(now time.Duration, requests, slopeDeviation float64) {
	f.advanceTo(now, slopeDeviation)
	f.binCount += requests
}

// advanceTo closes the bins that are over. slopeDeviation is how fast rates change in this deployment, in requests a
// second a second (a standard deviation).
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

// closeBin is one prediction and one update of the Kalman filter with the count of the open bin.
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

// forecast is the rate at a time from now. Of the slope only what is significant counts: most models rise and fall by
// chance alone.
func (f *rateFilter) forecast(ahead time.Duration) float64 {
	significant := max(0, math.Abs(f.slope)-slopeConfidence*math.Sqrt(max(0, f.slopeVariance)))
	memory := slopeMemory.Seconds()
	return max(0, f.rate+math.Copysign(significant, f.slope)*memory*(1-math.Exp(-ahead.Seconds()/memory)))
}

// filterOf is the filter of a model.
func (p *Planner) filterOf(now time.Duration, model string) *rateFilter {
	f := p.filters[model]
	if f == nil {
		f = newRateFilter(now, p.startedAt, p.slopeDeviation)
		p.filters[model] = f
	}
	return f
}

// modelDemand is the present and forecast demand for one model with its adapters.
type modelDemand struct {
	requestRate      float64            // requests a second
	recentRate       float64            // the same, over the last seconds alone
	workRate         float64            // ms of backends' time a second, forecast for when a load would be done
	unloadWorkRate   float64            // the same, for when an unload would be done
	missLoss         float64            // utility that a request loses that comes while no backend has the model loaded
	workPerRequestMS float64            // of a backend's time
	waiting          int                // requests that wait for it
	adapterRate      float64            // requests a second for adapters of it
	zoneRates        map[string]float64 // requests a second by the zone that they come from
}

// forecastDemand gives the demand for all models that there is any for.
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

// minWorkMS is the least work that a request is taken to need.
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

// estimateSlopeDeviation is how fast request rates change, as a standard deviation, in requests a second a second: a
// model may come to be requested as the others are within some load times.
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
