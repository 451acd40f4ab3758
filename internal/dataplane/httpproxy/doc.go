// Package httpproxy is the HTTP/1.1 side of the reverse proxy. It receives clients' requests and sends the answers; it
// sends attempts and health checks to backends and manages the connections for them. It decides nothing: the engine
// (internal/dataplane/engine) chooses the backend, and decides on retries and on which requests to reject.
//
// The Front owns the client connections and the Carrier the pool of backend connections. Each request, attempt and
// streaming answer runs on its own goroutine, which ends with it.
//
// A request may run from the moment at which so much of it has been written that a backend can begin: its dialect's
// ExecutionStart, the last byte of the head or of the whole request. The permit is claimed right before that byte.
//
// The outcomes of an attempt, and whether each proves that the backend never ran the request (the answers as the platform's
// dialect judges them; docs/design/attempt-ends.md has both dialects and all ends):
//
//	outcome                                               result          never ran
//	200 with a body                                       OK              no
//	503 or 504 with X-Unprocessed: 1                      Rejected        yes
//	no connection could be established                    ConnectFailed   yes
//	the connection breaks before the request may run      NotSent         yes
//	the permit was revoked before the request may run     NotSent         yes
//	a 4xx other than 408 and 429                          Unprocessable   no
//	any other status                                      Error           no
//	it breaks, or the answer is malformed, after that     Reset           no
//	no answer until the deadline                          Timeout         no
//	the client's upload broke off after that              Cancelled       no
//
// A body without a length ends with its connection. If it is a stream of events and stops inside one, it has broken off
// (eventBodyReader); of any other body that is unknown, and the close is its end. docs/design/answer-ends.md lists what a
// client sees of each end.
//
// A surplus answer is one that no request asked for, such as a second answer to an earlier request. The next request on
// the connection must not receive it.
//
// Errors of SetDeadline and its variants are ignored throughout: they mean that the connection is closed, which the read
// or write that follows reports as well.
package httpproxy
