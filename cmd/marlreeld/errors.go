package main

import "fmt"

// UsageError is a call that can't be carried out as it is.
type UsageError struct{ Reason string }

var _ error = (*UsageError)(nil)

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// Advice is what can be done about it.
func (e *UsageError) Advice() string { return "marlreeld -h says more" }

// InvalidConfigurationError is a configuration with violations. They have been printed.
type InvalidConfigurationError struct{ Violations int }

var _ error = (*InvalidConfigurationError)(nil)

// Error implements error.
func (e *InvalidConfigurationError) Error() string {
	return fmt.Sprintf("the configuration has %d faults", e.Violations)
}

// Advice is what can be done about it.
func (e *InvalidConfigurationError) Advice() string {
	return "mend what is listed; docs/CODES.md explains the codes"
}

// NoRouteError says that no route matches a request.
type NoRouteError struct{ Host, Path string }

var _ error = (*NoRouteError)(nil)

// Error implements error.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route takes %s%s: it is answered with 404", e.Host, e.Path)
}

// Advice is what can be done about it.
func (e *NoRouteError) Advice() string {
	return "a route is taken by its host and by the longest path_prefix that begins the path"
}
