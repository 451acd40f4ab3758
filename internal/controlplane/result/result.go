package result

import (
	"fmt"
	"net/http"
)

// Code is the result of a call.
type Code uint32

// The codes, grouped by what the caller has to do.
const (
	Committed        Code = 100 // committed: on the disks of a majority of the members
	AlreadyCommitted Code = 101 // the same call was committed before

	Malformed      Code = 200 // not JSON, truncated, or a value has the wrong type
	UnknownService Code = 201 // a route names a service that is not listed
	DuplicateMatch Code = 202 // two routes have the same host and prefix
	ZeroWeight     Code = 203 // the weights of a route sum to 0
	MissingTimeout Code = 204 // a route's timeout is 0
	VersionTooLow  Code = 205 // the version is not higher than the current one
	InvalidField   Code = 206 // a field is missing or out of range
	DuplicateName  Code = 207 // two items of a list have the same name
	TooLarge       Code = 208 // the body exceeds the size limit
	UnknownPath    Code = 209 // no call has this path
	SharedKey      Code = 210 // two subscribers have the same key

	VersionConflict Code = 300 // another version is current

	Unavailable    Code = 400 // not committed: there is no majority, or the head of the chain is not known
	OutcomeUnknown Code = 401 // it may or may not have been committed
)

// definition is a row of the table of codes.
type definition struct {
	code   Code
	status int // HTTP status
	name   string
	remedy string // what the caller can do, in one sentence
}

// definitions has all codes, ordered by number.
var definitions = []definition{
	{Committed, http.StatusOK, "accepted", "nothing"},
	{AlreadyCommitted, http.StatusOK, "already accepted", "nothing"},
	{Malformed, http.StatusBadRequest, "unreadable", "send valid JSON, whole"},
	{UnknownService, http.StatusBadRequest, "unknown service", "list the service, or name one that is listed"},
	{DuplicateMatch, http.StatusBadRequest, "same place", "give each route its own host and prefix"},
	{ZeroWeight, http.StatusBadRequest, "no weight", "give at least one part of the split a weight above 0"},
	{MissingTimeout, http.StatusBadRequest, "no time-out", "give the route a time-out above 0"},
	{VersionTooLow, http.StatusBadRequest, "version too low", "read the configuration and choose a higher version"},
	{InvalidField, http.StatusBadRequest, "invalid field", "mend the field that the error names"},
	{DuplicateName, http.StatusBadRequest, "same name", "give each item of a list its own name"},
	{TooLarge, http.StatusRequestEntityTooLarge, "too large", "send less at once"},
	{UnknownPath, http.StatusNotFound, "unknown path", "see the pages for the calls that there are"},
	{SharedKey, http.StatusBadRequest, "shared key", "give each subscriber keys of its own"},
	{VersionConflict, http.StatusPreconditionFailed, "version conflict", "read the configuration and build on it"},
	{Unavailable, http.StatusServiceUnavailable, "unavailable", "send the same again, to any control process"},
	{OutcomeUnknown, http.StatusGatewayTimeout, "unclear", "send the same again, to any control process"},
}

func (c Code) definition() definition {
	for _, d := range definitions {
		if d.code == c {
			return d
		}
	}
	return definition{code: c, status: http.StatusInternalServerError, name: fmt.Sprintf("code %d", c)}
}

// Status returns the HTTP status of the code; 500 for an undefined code.
func (c Code) Status() int { return c.definition().status }

// String returns the name of the code.
func (c Code) String() string { return c.definition().name }

// Remedy returns one sentence on what the caller can do; empty for an undefined code.
func (c Code) Remedy() string { return c.definition().remedy }

// Succeeded reports whether the call took effect.
func (c Code) Succeeded() bool { return c == Committed || c == AlreadyCommitted }

// Error is an unsuccessful result with its cause.
type Error struct {
	Code Code
	// Detail says what failed and on which values.
	Detail string
}

var _ error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail) }

// Advice returns what the caller can do about the error.
func (e *Error) Advice() string { return e.Code.Remedy() }

// Errorf returns an Error whose detail is formatted as by fmt.Sprintf.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}
