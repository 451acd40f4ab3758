package configuration

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// index makes the tables by which requests are matched.
func (d *Document) index() {
	d.services, d.hosts = map[string]*Service{}, map[string][]*Route{}
	for i := range d.Services {
		d.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		host := strings.ToLower(route.Host)
		d.hosts[host] = append(d.hosts[host], route)
	}
	for _, routes := range d.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// Match finds the route of a request, or nil: of its host's, the one with the longest
// prefix that begins the path.
func (d *Document) Match(host, path string) *Route {
	routes := d.hosts[strings.ToLower(host)]
	if routes == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = d.hosts[strings.ToLower(name)]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// ChooseService picks a service of the route by weight; draw is from 0 up to 1.
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	r.Services(func(_ string, weight float64) { total += weight })
	left, chosen := draw*total, ""
	r.Services(func(service string, weight float64) {
		if weight > 0 && (chosen == "" || left >= 0) {
			chosen = service
		}
		left -= weight
	})
	return chosen
}
