package controlplane

import (
	"maps"
	"slices"
	"time"

	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
)

// ReadReply is called once with the result of a read. The state must not be changed, nor used after the callback has
// returned. It is nil if the code is not result.Committed.
type ReadReply func(code result.Code, machine *state.Machine)

// pendingRead is a read that waits for its confirmation.
type pendingRead struct {
	reply    ReadReply
	deadline time.Duration
}

// ReadAtTail reads the newest state, if this is the tail. It replies once a majority has confirmed that.
func (r *Replica) ReadAtTail(now time.Duration, reply ReadReply) {
	if r.failure != nil || !r.node.CanRead() {
		reply(result.Unavailable, nil)
		return
	}
	r.readAfterConfirmation(now, reply)
}

// ReadAtHead reads the newest state at the head, if this is the head. It replies once a majority has confirmed that.
func (r *Replica) ReadAtHead(now time.Duration, reply ReadReply) {
	if !r.headInService() {
		reply(result.Unavailable, nil)
		return
	}
	r.readAfterConfirmation(now, reply)
}

// readAfterConfirmation replies when a majority has confirmed that this process is still head or tail.
func (r *Replica) readAfterConfirmation(now time.Duration, reply ReadReply) {
	r.lastToken++
	r.pendingReads[r.lastToken] = &pendingRead{reply, now + submissionTimeout}
	r.apply(r.node.ConfirmView(now, r.lastToken))
}

// abortConfirmations aborts everything that waits for a confirmation, in order of submission.
func (r *Replica) abortConfirmations(reason string) {
	r.abortConfirmationsIf(func(time.Duration) bool { return true }, reason)
}

// expireConfirmations aborts what has waited for a confirmation until its deadline.
func (r *Replica) expireConfirmations(now time.Duration) {
	r.abortConfirmationsIf(func(deadline time.Duration) bool { return now >= deadline }, "no majority answers")
}

func (r *Replica) abortConfirmationsIf(expired func(deadline time.Duration) bool, reason string) {
	for _, token := range slices.Sorted(maps.Keys(r.pendingConfirmations)) {
		if b := r.pendingConfirmations[token]; expired(b.deadline) {
			delete(r.pendingConfirmations, token)
			r.node.CancelConfirmation(token)
			b.abort(result.Unavailable, reason)
		}
	}
	for _, token := range slices.Sorted(maps.Keys(r.pendingReads)) {
		if read := r.pendingReads[token]; expired(read.deadline) {
			delete(r.pendingReads, token)
			r.node.CancelConfirmation(token)
			read.reply(result.Unavailable, nil)
		}
	}
}
