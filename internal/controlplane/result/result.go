// Package result holds the numbered result codes of the system's interfaces. The
// table in docs/CODES.md is made from them.
package result

import (
	"fmt"
	"net/http"
)

// Code says how a call ended. Codes never change their meaning.
type Code uint32

// The codes, by what has to be done about them.
const (
	Committed        Code = 100 // done, and on more than half of the disks
	AlreadyCommitted Code = 101 // the same call was done before

	Malformed      Code = 200 // not JSON, cut short, or of a wrong type
	UnknownService Code = 201 // a route names a service that is not there
	DuplicateMatch Code = 202 // two routes have the same host and prefix
	ZeroWeight     Code = 203 // the weights of a route sum to nothing
	MissingTimeout Code = 204 // a route's time-out is 0
	VersionTooLow  Code = 205 // the version is not higher than the current one
	InvalidField   Code = 206 // a field is missing or out of its range
	DuplicateName  Code = 207 // two items of a list have the same name
	TooLarge       Code = 208 // more than what is taken
	UnknownPath    Code = 209 // there is no such call

	VersionConflict Code = 300 // another version is current

	Unavailable    Code = 400 // not taken: there is no majority, or it is not known where
	OutcomeUnknown Code = 401 // it may or may not have been taken
)

// Meaning is what a code says and what can be done.
type Meaning struct {
	Code   Code
	Status int // of HTTP
	Name   string
	Advice string // what can be done
}

// Meanings is the table of all codes.
var Meanings = []Meaning{
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
	{VersionConflict, http.StatusPreconditionFailed, "version conflict", "read the configuration and build on it"},
	{Unavailable, http.StatusServiceUnavailable, "unavailable", "send the same again, to any control process"},
	{OutcomeUnknown, http.StatusGatewayTimeout, "unclear", "send the same again, to any control process"},
}

func (c Code) meaning() Meaning {
	for _, m := range Meanings {
		if m.Code == c {
			return m
		}
	}
	return Meaning{Code: c, Status: http.StatusInternalServerError, Name: fmt.Sprintf("code %d", c)}
}

// Status is the HTTP status that goes with a code.
func (c Code) Status() int { return c.meaning().Status }

// String implements fmt.Stringer.
func (c Code) String() string { return c.meaning().Name }

// Remedy is what can be done about a code.
func (c Code) Remedy() string { return c.meaning().Advice }

// Succeeded tells whether a call has had its effect.
func (c Code) Succeeded() bool { return c == Committed || c == AlreadyCommitted }

// Error is a code with what it is about.
type Error struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail) }

// Advice is what can be done about the error.
func (e *Error) Advice() string { return e.Code.meaning().Advice }

// Errorf makes an Error.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}
