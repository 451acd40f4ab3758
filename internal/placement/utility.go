package placement

import "time"

// weights are what the planner weighs against each other. Utility is counted in requests: 1 is that of a request that
// is answered within its latency target. Losses, gains and costs are amounts of utility.
type weights struct {
	horizon            float64       // seconds for which the utility of a placement is counted
	missLoss           float64       // utility that a request loses that comes while no backend has its model loaded
	missInTargetLoss   float64       // the same where a load can be done within the latency target
	loadMargin         float64       // load times by which the target must exceed a load for a load to be surely in time
	overloadLoss       float64       // utility that a request loses whose replicas are overloaded
	waitingModelGain   float64       // utility that each request gains that waits for a model, once that is loaded
	maxUtilization     float64       // share of its time that a backend may work on one model without overload
	storeLoadCost      float64       // utility that a load from the store costs
	localLoadCost      float64       // utility that a load from the backend's own disk costs
	evictionCost       float64       // utility that an order to unload costs, beside what the model loses
	crossZoneLoss      float64       // utility that a request loses that is sent to another zone
	runningCost        float64       // utility for each request a second at a replica that is unloaded: it has to end first
	busyCost           float64       // utility that it costs to bring a full load of work to a backend without idle time
	evictionHysteresis float64       // factor by which the gain must exceed the value of the models that are evicted
	newAdapterShare    float64       // share of the requests for adapters that need one that is not loaded
	minLoadedTime      time.Duration // for which a model stays that was just loaded
	reservationTTL     time.Duration // for which freed memory stays reserved for a model

	adapterWork        float64 // ms a second of one adapter's work for which a backend should have it loaded
	minAdapterRate     float64 // requests a second from which on an adapter is loaded where no request waits
	adapterReplicas    int     // backends that should have an adapter loaded that is in demand
	waitingAdapterRate float64 // requests a second that a request counts for that waits for an adapter
}

// defaultWeights are those that the service runs with. They were found with the emulator.
func defaultWeights() weights {
	return weights{
		horizon:            8,
		missLoss:           1,
		missInTargetLoss:   0.35, // the load may come too late, and costs something
		loadMargin:         0.25,
		overloadLoss:       0.7,
		waitingModelGain:   2,
		maxUtilization:     0.7,
		storeLoadCost:      0.25,
		localLoadCost:      0.1,
		evictionCost:       0.03,
		crossZoneLoss:      0.03,
		runningCost:        0.5,
		busyCost:           2,
		evictionHysteresis: 1.3,
		newAdapterShare:    0.2,
		minLoadedTime:      3 * time.Second,
		reservationTTL:     2 * time.Second,

		adapterWork:        300,
		minAdapterRate:     0.03,
		adapterReplicas:    2,
		waitingAdapterRate: 2,
	}
}

// missLoss is the utility that a request for a model loses that comes while no backend has it loaded: little where a
// load is done within the latency target.
func (p *Planner) missLoss(model string) float64 {
	w := &p.weights
	target := p.profileOf(model).latencyTargetS
	needed := (p.service.Models[model].LoadTime + routingDelay).Seconds()
	if target <= 0 || needed <= 0 {
		return w.missLoss
	}
	margin := (target - needed) / (w.loadMargin * needed)
	return w.missLoss - (w.missLoss-w.missInTargetLoss)*min(max(margin, 0), 1)
}

// loss is the utility that a model loses a second with a number of replicas, where it needs so much of backends' time
// (ms a second).
func (w *weights) loss(d *modelDemand, replicas int, workRate float64) float64 {
	rate := max(d.requestRate, workRate/d.workPerRequestMS)
	if replicas <= 0 {
		return d.missLoss * rate
	}
	if workRate <= 0 {
		return 0
	}
	return w.overloadLoss * rate * max(0, 1-float64(replicas)*w.maxUtilization*1000/workRate)
}

// gain is the utility of one more replica.
func (w *weights) gain(d *modelDemand, replicas int) float64 {
	gain := w.horizon * (w.loss(d, replicas, d.workRate) - w.loss(d, replicas+1, d.workRate))
	if replicas == 0 {
		gain += w.waitingModelGain * float64(d.waiting)
	}
	return gain
}

// retentionValue is the utility of keeping one of the replicas; 0 where there is no demand (nil).
func (w *weights) retentionValue(d *modelDemand, replicas int) float64 {
	if d == nil {
		return 0
	}
	workRate := max(d.workRate, d.unloadWorkRate)
	value := w.horizon*(w.loss(d, replicas-1, workRate)-w.loss(d, replicas, workRate)) + w.runningCost*d.requestRate/float64(max(1, replicas))
	if replicas <= 1 {
		value += w.waitingModelGain * float64(d.waiting)
	}
	return value
}

// utilization is the share, 1 at most, of the time that a backend may work on one model that each of so many replicas
// needs.
func (w *weights) utilization(d *modelDemand, replicas int) float64 {
	return min(1, d.workRate/float64(max(1, replicas))/(w.maxUtilization*1000))
}

// zoneAffinity is the utility of a replica in a zone by the requests of that zone that need not be sent to another
// one: 0 where more than so many replicas are in that zone.
func (p *Planner) zoneAffinity(zone, model string, d *modelDemand, maxReplicas int) float64 {
	if d == nil || p.snapshot.zoneReplicas[zoneModel{zone, model}] > maxReplicas {
		return 0
	}
	return p.weights.crossZoneLoss * p.weights.horizon * d.zoneRates[zone]
}

// maxZoneAffinity is the greatest zone affinity that one more replica could have.
func (p *Planner) maxZoneAffinity(model string, d *modelDemand) float64 {
	greatest := 0.0
	for zone := range d.zoneRates {
		greatest = max(greatest, p.zoneAffinity(zone, model, d, 0))
	}
	return greatest
}
