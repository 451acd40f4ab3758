package controlplane

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

const (
	// maxQueuedSubmissions bounds the operations that are queued at the head; more are rejected.
	maxQueuedSubmissions = 1024
	// maxBatchSize bounds the operations in one entry.
	maxBatchSize = 64
	// submissionTimeout bounds the time until an operation or a read is replied to. It is a little above
	// operationTimeout, so that callers on other processes have given up by then. Lowering it below that reports
	// operations as unknown that are about to be committed; raising it keeps operations that no caller waits for.
	submissionTimeout = 900 * time.Millisecond
)

// Reply is called once with the result of a submission.
type Reply func(code result.Code, detail string)

// submission is an operation that waits for its result.
type submission struct {
	operation *api.Operation
	reply     Reply
	deadline  time.Duration // it must be proposed before this time
	view      uint64        // it may be proposed in this view only; 0 for any
	code      result.Code   // the result, once its batch has been evaluated
	detail    string
}

// batch is a set of submissions that share one log entry, or one confirmation if none of them has an effect.
type batch struct {
	submissions []*submission
	hash        uint64 // of the entry; 0 if there is none
	deadline    time.Duration
}

// reply passes each submission its own result.
func (b *batch) reply() {
	for _, s := range b.submissions {
		s.reply(s.code, s.detail)
	}
}

// abort passes all submissions the same result.
func (b *batch) abort(code result.Code, detail string) {
	for _, s := range b.submissions {
		s.reply(code, detail)
	}
}

// Submit queues an operation, which is rejected unless it is proposed before the deadline: after that its caller has been
// answered and may have switched to another process. Only the head of a chain in service accepts operations. The result
// is Unavailable if the operation was not executed, and OutcomeUnknown if it may have been.
func (r *Replica) Submit(now time.Duration, operation *api.Operation, deadline time.Duration, reply Reply) {
	r.submit(now, &submission{operation: operation, reply: reply, deadline: deadline})
}

// SubmitInView is Submit for an operation that the head of a view has decided on knowledge of its own, such as the
// renewals of leases. It may be proposed in that view only.
func (r *Replica) SubmitInView(now time.Duration, operation *api.Operation, view uint64, deadline time.Duration, reply Reply) {
	r.submit(now, &submission{operation: operation, reply: reply, deadline: deadline, view: view})
}

func (r *Replica) submit(now time.Duration, s *submission) {
	reply := s.reply
	if now >= s.deadline {
		reply(result.Unavailable, "it has come too late")
		return
	}
	if !r.headInService() || len(r.queue) >= maxQueuedSubmissions {
		reply(result.Unavailable, "this process is not the head of a chain in service")
		return
	}
	s.deadline = min(s.deadline, now+submissionTimeout)
	r.queue = append(r.queue, s)
	r.proposeQueued(now)
}

// proposeQueued proposes the next batch of the queue, unless one is in flight.
func (r *Replica) proposeQueued(now time.Duration) {
	if r.failure != nil || r.inFlight != nil || !r.node.CanPropose() {
		return
	}
	r.rejectOverdue(now)
	if len(r.queue) == 0 {
		return
	}
	b := r.dequeueBatch(now)
	operations := r.evaluate(b)
	if len(operations) == 0 {
		// Nothing changes, but another head may have committed entries unknown here: confirm that this is still the head.
		r.lastToken++
		r.pendingConfirmations[r.lastToken] = b
		r.apply(r.node.ConfirmView(now, r.lastToken))
		r.proposeQueued(now)
		return
	}
	entry, out := r.node.Propose(now, operations)
	b.hash = entry.Hash
	r.inFlight = b
	r.apply(out)
}

// dequeueBatch removes the oldest submissions from the queue and returns them as a batch.
func (r *Replica) dequeueBatch(now time.Duration) *batch {
	size := min(len(r.queue), maxBatchSize)
	b := &batch{submissions: append([]*submission(nil), r.queue[:size]...), deadline: now + submissionTimeout}
	r.queue = append([]*submission(nil), r.queue[size:]...)
	return b
}

// evaluate executes a batch's operations in order on a copy of the state, records the result of each, and returns those
// that have an effect.
func (r *Replica) evaluate(b *batch) []*api.Operation {
	scratch := r.machine.Clone()
	var operations []*api.Operation
	for _, s := range b.submissions {
		changed, failure := scratch.Execute(s.operation)
		switch {
		case failure != nil:
			s.code, s.detail = failure.Code, failure.Detail
		case changed:
			s.code = result.Committed
			operations = append(operations, s.operation)
		default:
			s.code = result.AlreadyCommitted
		}
	}
	return operations
}

// onCommitted replies to the submissions of a committed entry.
func (r *Replica) onCommitted(entry *api.Entry) {
	if r.inFlight != nil && r.inFlight.hash == entry.Hash {
		r.inFlight.reply()
		r.inFlight = nil
	}
}

// abortInFlight replies that the outcome of the batch in flight is unknown, and forgets the batch.
func (r *Replica) abortInFlight(reason string) {
	r.inFlight.abort(result.OutcomeUnknown, reason)
	r.inFlight = nil
}

// expireInFlight replies that the outcome is unknown if the batch in flight has timed out. The entry stays in flight:
// nothing else may be proposed until it is committed.
func (r *Replica) expireInFlight(now time.Duration) {
	if r.inFlight == nil || now < r.inFlight.deadline {
		return
	}
	r.inFlight.abort(result.OutcomeUnknown, "the chain has not acknowledged it in time")
	r.inFlight.submissions = nil
}

// rejectQueued rejects all operations that have not been proposed.
func (r *Replica) rejectQueued(reason string) {
	for _, s := range r.queue {
		s.reply(result.Unavailable, reason)
	}
	r.queue = nil
}

// rejectOverdue rejects the queued operations whose deadline has passed or whose view has ended.
func (r *Replica) rejectOverdue(now time.Duration) {
	kept := r.queue[:0]
	for _, s := range r.queue {
		switch {
		case now >= s.deadline:
			s.reply(result.Unavailable, "it has waited too long")
		case s.view != 0 && s.view != r.node.View().GetNumber():
			s.reply(result.Unavailable, "it was decided in another view")
		default:
			kept = append(kept, s)
		}
	}
	r.queue = kept
}
