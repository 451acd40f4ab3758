package configuration

import (
	"cmp"
	"fmt"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"marlreel/internal/controlplane/result"
)

const (
	// maxNameLength bounds the names of routes, services and subscribers, in bytes.
	maxNameLength = 256
	// maxListedViolations bounds how many violations one error lists.
	maxListedViolations = 20
)

// Validate decodes a complete configuration and returns all its violations. The document is nil if it can't be decoded.
func Validate(data []byte) (*Document, []*result.Error) {
	document, err := Decode(data)
	if err != nil {
		return nil, []*result.Error{err}
	}
	always := func(string) bool { return true }
	return document, document.validate(scope{touches: always, isNew: always})
}

// combine joins all violations into one error; nil if there are none.
func combine(violations []*result.Error) *result.Error {
	if len(violations) == 0 {
		return nil
	}
	texts := make([]string, 0, len(violations))
	for _, violation := range violations[:min(len(violations), maxListedViolations)] {
		texts = append(texts, violation.Detail)
	}
	if more := len(violations) - maxListedViolations; more > 0 {
		texts = append(texts, fmt.Sprintf("and %d more", more))
	}
	return result.Errorf(violations[0].Code, "%s", strings.Join(texts, "; "))
}

// scope selects the parts of a document that have to be validated.
type scope struct {
	// touches reports whether the list with a key differs from that of the previous document.
	touches func(key string) bool
	// isNew reports whether an item's own fields have to be checked.
	isNew func(name string) bool
}

// validate returns the violations of a document within a scope. Relations between items of one list, or of two lists,
// are checked if one of these lists was touched.
func (d *Document) validate(s scope) []*result.Error {
	var violations []*result.Error
	if d.Version == 0 {
		violations = append(violations, result.Errorf(result.InvalidField, "config_version: must be 1 or more"))
	}
	if s.touches(servicesKey) {
		violations = append(violations, d.validateServices(s.isNew)...)
	}
	if s.touches(servicesKey) || s.touches(routesKey) {
		violations = append(violations, d.validateRoutes(s.isNew)...)
	}
	if s.touches(subscribersKey) {
		violations = append(violations, d.validateSubscribers(s.isNew)...)
	}
	return violations
}

func (d *Document) validateServices(isNew func(name string) bool) []*result.Error {
	var violations []*result.Error
	if len(d.services) != len(d.Services) {
		violations = append(violations, result.Errorf(result.DuplicateName, "service_list: two services have the same name"))
	}
	for i := range d.Services {
		service := &d.Services[i]
		if !isNew(service.Name) {
			continue
		}
		if err := service.validate(); err != nil {
			violations = append(violations, err)
		}
	}
	return violations
}

func (d *Document) validateRoutes(isNew func(name string) bool) []*result.Error {
	var violations []*result.Error
	type match struct{ host, prefix string }
	names := make(map[string]bool, len(d.Routes))
	routeByMatch := make(map[match]string, len(d.Routes)) // route names
	for i := range d.Routes {
		route := &d.Routes[i]
		violation := d.validateTargets(route)
		if isNew(route.Name) {
			violation = cmp.Or(route.validate(), violation)
		}
		if violation != nil {
			violations = append(violations, violation)
		}
		at := match{route.Host, route.PathPrefix}
		if other, taken := routeByMatch[at]; taken {
			violations = append(violations, result.Errorf(result.DuplicateMatch, "route %s: route %s has %s%s too", route.Name, other, at.host, at.prefix))
		}
		if names[route.Name] {
			violations = append(violations, result.Errorf(result.DuplicateName, "route_list: two routes are named %s", route.Name))
		}
		names[route.Name] = true
		routeByMatch[at] = route.Name
	}
	return violations
}

// validate checks the service's own fields.
func (s *Service) validate() *result.Error {
	err := validation.ValidateStruct(s,
		validation.Field(&s.Name, validation.Required, validation.Length(1, maxNameLength)),
		validation.Field(&s.ConnLimit, validation.Min(0)),
		validation.Field(&s.WarmupS, validation.Min(0.0)),
		validation.Field(&s.WarmupRequestsPerS, validation.Min(0.0)))
	if err != nil {
		return result.Errorf(result.InvalidField, "service %s: %v", s.Name, err)
	}
	return nil
}

// validate checks the route's own fields.
func (r *Route) validate() *result.Error {
	if r.TimeoutMS <= 0 {
		return result.Errorf(result.MissingTimeout, "route %s: timeout_ms is %v", r.Name, r.TimeoutMS)
	}
	err := validation.ValidateStruct(r,
		validation.Field(&r.Name, validation.Required, validation.Length(1, maxNameLength)),
		validation.Field(&r.Host, validation.Required),
		validation.Field(&r.PathPrefix, validation.Required, validation.By(validatePrefix)),
		validation.Field(&r.TargetLatencyMS, validation.Min(0.0)),
		validation.Field(&r.MaxAttempts, validation.Min(0)))
	if err != nil {
		return result.Errorf(result.InvalidField, "route %s: %v", r.Name, err)
	}
	return nil
}

// validateTargets checks the services and weights of a route.
func (d *Document) validateTargets(r *Route) *result.Error {
	sum := 0.0
	unknown := ""
	noService := r.Service == "" && len(r.Split) == 0
	hasNegative := false
	r.EachService(func(service string, weight float64) {
		if d.services[service] == nil {
			unknown = service
		}
		if weight < 0 {
			hasNegative = true
		}
		sum += weight
	})
	switch {
	case noService || unknown != "":
		return result.Errorf(result.UnknownService, "route %s: there is no service %q", r.Name, unknown)
	case hasNegative:
		return result.Errorf(result.InvalidField, "route %s: a weight is below 0", r.Name)
	case sum == 0:
		return result.Errorf(result.ZeroWeight, "route %s: its weights sum to 0", r.Name)
	}
	return nil
}

func validatePrefix(value any) error {
	prefix, _ := value.(string)
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		return validation.NewError("prefix", "must begin and end with a slash")
	}
	return nil
}
