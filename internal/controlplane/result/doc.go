// Package result has the numbered result codes of control's interfaces, and the error that carries one. It is the
// only place where a code gets its number, name, HTTP status and remedy; docs/CODES.md is generated from it.
//
// Codes are grouped by what the caller has to do, as HTTP and gRPC group theirs: 1xx nothing, 2xx mend the call,
// 3xx read and try on top of the newer version, 4xx send the same again. They never change their meaning, and the
// package never decides which one a call gets.
package result
