// Package result defines the numbered result codes of control's interfaces, and the error type that carries one. It is
// the only place that defines a code's number, name, HTTP status and remedy; docs/CODES.md is generated from it.
//
// Codes are grouped by what the caller has to do, as in HTTP and gRPC: 1xx nothing, 2xx correct the call, 3xx read the
// newer version and retry on top of it, 4xx retry the same call. The meaning of a code never changes. Which code a call
// gets is decided by the packages that use this one.
package result
