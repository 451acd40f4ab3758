package placement

import "time"

// weights are the parameters of the planner's utility function. Utility is counted in requests: a request that is
// answered within its latency target has a utility of 1. Losses, gains and costs are amounts of utility.
type weights struct {
	horizon            float64       // seconds over which the utility of a placement is counted
	missLoss           float64       // utility that a request loses if it comes while no backend has its model loaded
	missInTargetLoss   float64       // the same if a load can complete within the latency target
	loadMargin         float64       // load times by which the target must exceed the load time for a load to be safely in time
	overloadLoss       float64       // utility that a request loses if the replicas of its model are overloaded
	waitingModelGain   float64       // utility that each waiting request gains once its model is loaded
	maxUtilization     float64       // share of a backend's time that it can spend on one model without overload
	storeLoadCost      float64       // utility that a load from the store costs
	localLoadCost      float64       // utility that a load from the backend's own disk costs
	evictionCost       float64       // utility that an order to unload costs, beyond the model's own loss
	crossZoneLoss      float64       // utility that a request loses if it is sent to another zone
	runningCost        float64       // utility that an unload costs for each request a second at the replica: those in flight must end
	busyCost           float64       // utility that adding a full load of work to a fully used backend costs
	evictionHysteresis float64       // factor by which the gain must exceed the value of the evicted models
	newAdapterShare    float64       // share of the requests for adapters whose adapter is not loaded
	minLoadedTime      time.Duration // during which a newly loaded model is not evicted
	reservationTTL     time.Duration // during which freed memory stays reserved for a model

	adapterWork        float64 // ms of one adapter's work a second for each replica of it
	minAdapterRate     float64 // requests a second from which an adapter without waiting requests is loaded
	adapterReplicas    int     // least number of backends that should have an adapter in demand loaded
	waitingAdapterRate float64 // requests a second that each request waiting for an adapter counts as
}

// defaultWeights returns the weights used in production. They were found with the emulator.
func defaultWeights() weights {
	return weights{
		horizon:            8,
		missLoss:           1,
		missInTargetLoss:   0.35, // above 0: the load may still be late, and has a cost
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

// missLoss returns the utility that a request loses if it comes while no backend has its model loaded: less if a load
// completes within the latency target.
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

// loss returns the utility that a model loses a second with a number of replicas. workRate is the backends' time that it
// needs, in ms a second.
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

// gain returns the utility of one more replica.
func (w *weights) gain(d *modelDemand, replicas int) float64 {
	gain := w.horizon * (w.loss(d, replicas, d.workRate) - w.loss(d, replicas+1, d.workRate))
	if replicas == 0 {
		gain += w.waitingModelGain * float64(d.waiting)
	}
	return gain
}

// retentionValue returns the utility of keeping one of the replicas; 0 without demand (nil).
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

// utilization returns the load of each of a number of replicas, at most 1, as a share of the time that a backend can
// spend on one model (maxUtilization).
func (w *weights) utilization(d *modelDemand, replicas int) float64 {
	return min(1, d.workRate/float64(max(1, replicas))/(w.maxUtilization*1000))
}

// zoneAffinity returns the utility of a replica in a zone that comes from serving the zone's requests locally. It is 0
// if the zone has more than maxReplicas replicas.
func (p *Planner) zoneAffinity(zone, model string, d *modelDemand, maxReplicas int) float64 {
	if d == nil || p.snapshot.zoneReplicas[zoneModel{zone, model}] > maxReplicas {
		return 0
	}
	return p.weights.crossZoneLoss * p.weights.horizon * d.zoneRates[zone]
}

// maxZoneAffinity returns the greatest zone affinity that one more replica could have.
func (p *Planner) maxZoneAffinity(model string, d *modelDemand) float64 {
	greatest := 0.0
	for zone := range d.zoneRates {
		greatest = max(greatest, p.zoneAffinity(zone, model, d, 0))
	}
	return greatest
}
