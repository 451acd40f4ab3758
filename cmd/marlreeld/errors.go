package main

import "fmt"

// UsageError reports arguments or a file that a command can't use.
type UsageError struct{ Reason string }

var _ error = (*UsageError)(nil)

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// Advice tells the operator what to do.
func (e *UsageError) Advice() string { return "run marlreeld -h for help" }

// InvalidConfigurationError reports a configuration with violations, which have already been printed.
type InvalidConfigurationError struct{ Violations int }

var _ error = (*InvalidConfigurationError)(nil)

// Error implements error.
func (e *InvalidConfigurationError) Error() string {
	return fmt.Sprintf("the configuration has %d faults", e.Violations)
}

// Advice tells the operator what to do.
func (e *InvalidConfigurationError) Advice() string {
	return "fix the listed violations; docs/CODES.md explains the codes"
}

// NoRouteError reports that no route matches a request.
type NoRouteError struct{ Host, Path string }

var _ error = (*NoRouteError)(nil)

// Error implements error.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route takes %s%s: it is answered with 404", e.Host, e.Path)
}

// Advice tells the operator what to do.
func (e *NoRouteError) Advice() string {
	return "a route matches by its host and by the longest path_prefix that the path starts with"
}
