package placement

import (
	"math"
	"time"
)

const (
	// binSpan is over what time requests are counted before a trend takes them in.
	binSpan = 250 * time.Millisecond
	// trendMemory is how long a rise or a fall goes on, about.
	trendMemory = 6 * time.Second
	// leastRate is the rate, in requests a second, below which counts are no surer.
	leastRate = 0.05
	// unknownSpan is for how long after a planner's start the first requests for a model say nothing of a rise,
	// and unknownRate the deviation of rates that are not known.
	unknownSpan = 2 * time.Second
	unknownRate = 100.0
	// doubt is how many deviations of a slope are taken off it.
	doubt = 1.0
	// mostBins is after how many bins without a look a trend starts anew.
	mostBins = 240
)

// trend follows how many requests a second are asked of one model, and how fast that changes: a Kalman filter of
// a local linear trend (Harvey, 1989). Counts of requests that come independently have their mean as their
// variance: so the filter believes the first requests for a model that nobody asked for at once, and takes the
// same number more or fewer, of one that is asked for often, for chance.
type trend struct {
	level, slope float64       // requests a second, and that a second
	p11, p12     float64       // variances of both
	p22          float64       //
	count        float64       // requests in the bin that is open
	bin          time.Duration // when that began
}

// newTrend makes the trend of a model that nobody has asked for since a time. Where that is just now, nothing is
// known of its rate.
func newTrend(now, since time.Duration, slopes float64) *trend {
	t := &trend{bin: now.Truncate(binSpan), p22: slopes * slopes}
	if now-since < unknownSpan {
		t.p11 = unknownRate * unknownRate
	}
	return t
}

// add counts requests.
func (t *trend) add(now time.Duration, count, slopes float64) {
	t.advance(now, slopes)
	t.count += count
}

// advance closes the bins that are over. slopes is how fast rates change in this deployment, in requests a
// second a second (a standard deviation).
func (t *trend) advance(now time.Duration, slopes float64) {
	if now-t.bin > mostBins*binSpan {
		*t = trend{bin: now.Truncate(binSpan), p22: slopes * slopes}
		return
	}
	for now >= t.bin+binSpan {
		t.close(slopes)
		t.bin += binSpan
	}
}

// close takes a bin in.
func (t *trend) close(slopes float64) {
	span := binSpan.Seconds()
	keep := math.Exp(-span / trendMemory.Seconds())
	// What the state becomes within the bin.
	t.level += t.slope * span
	t.slope *= keep
	p11 := t.p11 + 2*span*t.p12 + span*span*t.p22
	p12 := keep * (t.p12 + span*t.p22)
	p22 := keep*keep*t.p22 + (1-keep*keep)*slopes*slopes
	// What its count says.
	rate := t.count / span
	noise := max(t.level, rate/2, leastRate) / span
	gain1, gain2 := p11/(p11+noise), p12/(p11+noise)
	off := rate - t.level
	t.level = max(0, t.level+gain1*off)
	t.slope += gain2 * off
	t.p11, t.p12, t.p22 = (1-gain1)*p11, (1-gain1)*p12, p22-gain2*p12
	t.count = 0
}

// at foretells the rate at a time from now. Of the slope only what is surely there counts: most models rise and
// fall by chance alone.
func (t *trend) at(ahead time.Duration) float64 {
	sure := max(0, math.Abs(t.slope)-doubt*math.Sqrt(max(0, t.p22)))
	memory := trendMemory.Seconds()
	return max(0, t.level+math.Copysign(sure, t.slope)*memory*(1-math.Exp(-ahead.Seconds()/memory)))
}
