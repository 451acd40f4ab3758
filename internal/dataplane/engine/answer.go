package engine

import "time"

// Verdict is what a call's final answer means.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota // Reply is a backend's answer
	Rejected                   // not executed: a retry is harmless
	Overloaded                 // the same: too many calls are open here
	Failed                     // it may have been executed
	TimedOut                   // the same: the call's time ran out
	Stopped                    // the same: this process ends
	DuplicateID                // the call's request ID is that of another one, and it was not accepted
	ClientGone                 // nobody's: its client was found to have disconnected
)

// Answer is the one final answer to a call.
type Answer struct {
	Verdict    Verdict
	Reply      any           // Served, or Failed for a backend's own message: AttemptEnd.Reply
	Streaming  bool          // Served: the rest is still to come, and the front reports its end by HandleStreamEnd
	RetryAfter time.Duration // Rejected, Overloaded: when to retry; 0 is not said
}

// Front takes answers: the side that a call came from.
type Front interface {
	// HandleAnswer takes a call's one final answer, on the engine's goroutine. It must not block, nor call the engine
	// back.
	HandleAnswer(c *Call, a Answer)
}
