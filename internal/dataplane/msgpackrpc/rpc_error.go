package msgpackrpc

import "time"

// The codes of errors that are this proxy's own. Of the first three the client may retry: the call has not run.
const (
	codeRefused    = "refused"     // rejected by load shedding, a limit or a quota
	codeOverloaded = "overloaded"  // too many calls are pending
	codeDraining   = "draining"    // another connection reaches a process that serves
	codeFailed     = "failed"      // the call may have run
	codeOutOfTime  = "out-of-time" // the call may have run
	codeBadRequest = "bad-request" // the call is at fault
	codeNoMethod   = "no-method"   // the call is at fault
	codeInUse      = "in-use"      // the call is at fault: its id is another's
)

// callError is an error of this proxy's own, as a client gets it: a map.
type callError struct {
	Code, Message string
	Retry         bool // a retry is harmless
	After         time.Duration
}

// encode encodes the error; retry_after is in seconds, and left out where it is 0.
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
