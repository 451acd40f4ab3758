package engine

import "time"

// Verdict is what a call's final answer means.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota // Reply is a backend's answer
	Rejected                   // not executed: a retry is harmless
	Overloaded                 // not executed: this process has too many open calls
	Failed                     // it may have been executed
	TimedOut                   // it may have been executed: the call timed out
	Stopped                    // it may have been executed: this process stops
	DuplicateID                // not accepted: another call has the same request ID
	ClientGone                 // the client was found to have disconnected, so nothing is sent to it
)

// Answer is the one final answer to a call.
type Answer struct {
	Verdict    Verdict
	Reply      any           // AttemptEnd.Reply, with Served, or with Failed if a backend declined the request
	Streaming  bool          // with Served: the rest follows, and the front reports its end with HandleStreamEnd
	RetryAfter time.Duration // with Rejected and Overloaded: when to retry; 0 if not specified
}

// Front is where calls come from and their answers go to.
type Front interface {
	// HandleAnswer takes the final answer of a call, on the engine's goroutine. It must neither block nor call the
	// engine.
	HandleAnswer(c *Call, a Answer)
}
