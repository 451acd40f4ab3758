// Package actionable defines the interface of the errors that operators see. Each has its own type for errors.As, wraps
// its cause, and gives one sentence of advice. The types are defined in the packages that return them; docs/ERRORS.md
// lists them and is generated from their source (internal/actionable/errorspage). The package holds no state, logs
// nothing and defines no errors itself.
package actionable
