package msgpackrpc

import "time"

// The codes of the proxy's own errors. After the first three the client may retry: the call has not run.
const (
	codeRefused    = "refused"     // rejected by load shedding, a limit or a quota
	codeOverloaded = "overloaded"  // too many calls are pending
	codeDraining   = "draining"    // this process is shutting down; a new connection reaches another one
	codeFailed     = "failed"      // the call may have run
	codeOutOfTime  = "out-of-time" // the call may have run
	codeBadRequest = "bad-request" // the call is invalid
	codeNoMethod   = "no-method"   // the call is invalid
	codeInUse      = "in-use"      // the call is invalid: another one has its ID
)

// callError is one of the proxy's own errors, which is encoded as a map.
type callError struct {
	Code, Message string
	Retry         bool // a retry is safe
	After         time.Duration
}

// encode encodes the error; retry_after is in seconds, and left out if it is 0.
func (e *callError) encode() []byte {
	n := 3
	if e.After > 0 {
		n++
	}
	b := appendString(appendString(appendMap(nil, n), "code"), e.Code)
	b = appendString(appendString(b, "message"), e.Message)
	b = appendBool(appendString(b, "retry"), e.Retry)
	if e.After > 0 {
		b = appendFloat(appendString(b, "retry_after"), e.After.Seconds())
	}
	return b
}
