package gateway

import (
	"cmp"
	"fmt"
	"slices"

	"marlreel/internal/balancer"
	"marlreel/internal/controlplane/configuration"
)

// lateValueRatio is the share of its value that a late answer earns. The configuration has no key for it. With a lower
// ratio, requests that are going to be late would be rejected.
const lateValueRatio = 0.6

// classKey identifies the class of a route by all that decisions on its requests depend on.
type classKey struct {
	class              string
	idempotent         bool
	targetLatencyMS    float64
	attempts, priority int
}

func classKeyOf(r *configuration.Route) classKey {
	return classKey{r.Class, r.Idempotent(), r.TargetLatencyMS, r.AttemptLimit(), r.Priority}
}

// className returns the name of a route's class.
func className(r *configuration.Route) string {
	k := classKeyOf(r)
	return fmt.Sprintf("%s %v %v %d %d", k.class, k.idempotent, k.targetLatencyMS, k.attempts, k.priority)
}

// classOf returns the class of a route's requests.
func classOf(r *configuration.Route) balancer.Class {
	target := r.TargetLatency()
	if target <= 0 {
		target = r.Timeout()
	}
	class := balancer.Class{
		Name: className(r), LatencyTarget: target, ClientTimeout: maxRequestTimeout, LateValueRatio: lateValueRatio, Value: 1,
		Generates: r.Streaming(), MaxRuns: r.AttemptLimit(),
	}
	if r.Idempotent() {
		class.Effect = balancer.Safe
	}
	return class
}

// classesOf returns the classes of all routes that may use a service, sorted by name.
func classesOf(document *configuration.Document, name string) []balancer.Class {
	found := map[classKey]*configuration.Route{}
	for i := range document.Routes {
		route := &document.Routes[i]
		route.EachService(func(service string, _ float64) {
			if service == name {
				found[classKeyOf(route)] = route
			}
		})
	}
	classes := make([]balancer.Class, 0, len(found))
	for _, route := range found {
		classes = append(classes, classOf(route))
	}
	slices.SortFunc(classes, func(a, b balancer.Class) int { return cmp.Compare(a.Name, b.Name) })
	return classes
}
