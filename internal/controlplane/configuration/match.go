package configuration

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// buildIndex builds the tables that match requests to routes and look up services and subscribers.
func (d *Document) buildIndex() {
	d.indexRoutes()
	d.indexServices()
	d.indexSubscribers()
}

func (d *Document) indexSubscribers() { d.subscribers = newSubscriberIndex(d.Subscribers) }

func (d *Document) indexServices() {
	d.services = make(map[string]*Service, len(d.Services))
	for i := range d.Services {
		service := &d.Services[i]
		d.services[service.Name] = service
	}
}

func (d *Document) indexRoutes() {
	d.routesByHost = map[string][]*Route{}
	for i := range d.Routes {
		route := &d.Routes[i]
		host := strings.ToLower(route.Host)
		d.routesByHost[host] = append(d.routesByHost[host], route)
	}
	for _, routes := range d.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// Match returns the route of a request: among the routes of its host, the one with the longest prefix of the path. It
// returns nil if there is none. The host may include a port.
func (d *Document) Match(host, path string) *Route {
	for _, route := range d.routesOf(host) {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func (d *Document) routesOf(host string) []*Route {
	if routes := d.routesByHost[strings.ToLower(host)]; routes != nil {
		return routes
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return nil
	}
	return d.routesByHost[strings.ToLower(name)]
}

// ChooseService picks a service of the route by weight. draw is a random number from [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	r.EachService(func(_ string, weight float64) { total += weight })
	remaining := draw * total
	chosen := ""
	r.EachService(func(service string, weight float64) {
		if weight > 0 && (chosen == "" || remaining >= 0) {
			chosen = service
		}
		remaining -= weight
	})
	return chosen
}
