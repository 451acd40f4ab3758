// Package httpproxy speaks HTTP/1.1 with clients and with backends, as a reverse proxy does: requests in and answers out
// on the one side, attempts, health checks and the connections for them on the other. It decides nothing: which backend,
// whether to retry and what to reject comes from the engine (internal/dataplane/engine).
//
// The Front owns clients' connections, the Carrier the pool of connections to backends; each request, attempt and
// streaming answer has a goroutine of its own, which ends with it.
//
// How an attempt ends, and whether that proves that it never ran:
//
//	outcome                                               result          never ran
//	200 with a body                                       OK              no
//	503 or 504 with X-Unprocessed: 1                      Rejected        yes
//	no connection came up                                 ConnectFailed   yes
//	it breaks before the last byte is written             NotSent         yes
//	the permit was revoked before the first byte          NotSent         yes
//	another 4xx than 408 and 429                          Unprocessable   no
//	any other status                                      Error           no
//	it breaks, or can't be read, after the last byte      Reset           no
//	nothing until its deadline                            Timeout         no
//
// Errors of SetDeadline and its kin are left alone throughout: they say that the connection is closed, which the read or
// write behind them meets.
package httpproxy
