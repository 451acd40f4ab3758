// Package eventstream finds the ends of events in a stream of server-sent events (WHATWG HTML, 9.2). A proxy needs them
// for two decisions: how much of a stream that is still being received may be forwarded, and whether a stream whose
// connection was closed had ended or was cut off.
//
// A line ends with LF, CR or CR LF. An event ends with an empty line, and a client discards the part of an event that
// no empty line follows. Comment lines (":") between events belong to no event. A stream may begin with a byte order
// mark.
//
// The package does no I/O and knows no clock.
package eventstream
