package controlplane

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

const (
	// maxQueuedSubmissions bounds the operations that wait at the head; more are rejected.
	maxQueuedSubmissions = 1024
	// maxBatchSize bounds the operations in one entry.
	maxBatchSize = 64
	// submissionTimeout is when an operation or a read that got nowhere is replied to: a little above operationTimeout,
	// so that callers elsewhere have given up. Lowering it below that reports operations as unknown that are about to
	// be committed; raising it keeps what nobody waits for any more.
	submissionTimeout = 900 * time.Millisecond
)

// Reply receives the result of a submission, once.
type Reply func(code result.Code, detail string)

// submission is an operation that waits for its result.
type submission struct {
	operation *api.Operation
	reply     Reply
	deadline  time.Duration // before which it has to be proposed
	view      uint64        // in which alone it may be proposed; 0: in any
	code      result.Code   // the result, once its batch has been evaluated
	detail    string
}

// batch is the submissions of one entry, or of one confirmation.
type batch struct {
	submissions []*submission
	hash        uint64 // of the entry; 0: there is none
	deadline    time.Duration
}

// reply gives each submission its own result.
func (b *batch) reply() {
	for _, s := range b.submissions {
		s.reply(s.code, s.detail)
	}
}

// abort gives all submissions the same result.
func (b *batch) abort(code result.Code, detail string) {
	for _, s := range b.submissions {
		s.reply(code, detail)
	}
}

// Submit has an operation done, if that begins before a deadline: its caller is replied to by then, and may have turned
// to another process. Only the head of a chain in service does it; the result is Unavailable where nothing was done,
// and Unclear where that is not known.
func (r *Replica) Submit(now time.Duration, operation *api.Operation, deadline time.Duration, reply Reply) {
	r.submit(now, &submission{operation: operation, reply: reply, deadline: deadline})
}

// SubmitInView does the same for what was decided by the head of a view, on what it alone knows.
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

// proposeQueued proposes the next batch of the queue, where none is in flight.
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
		// Nothing changes, but that is sure only while this is still the head.
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

// dequeueBatch takes the oldest submissions from the queue.
func (r *Replica) dequeueBatch(now time.Duration) *batch {
	size := min(len(r.queue), maxBatchSize)
	b := &batch{submissions: append([]*submission(nil), r.queue[:size]...), deadline: now + submissionTimeout}
	r.queue = append([]*submission(nil), r.queue[size:]...)
	return b
}

// evaluate does a batch's operations in order on a copy of the state, which gives each its result, and returns those
// that have an effect.
func (r *Replica) evaluate(b *batch) []*api.Operation {
	trial := r.machine.Clone()
	var operations []*api.Operation
	for _, s := range b.submissions {
		changed, failure := trial.Execute(s.operation)
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

// abortInFlight replies that the result of what is in flight is unclear.
func (r *Replica) abortInFlight(reason string) {
	r.inFlight.abort(result.OutcomeUnknown, reason)
	r.inFlight = nil
}

// expireInFlight does so where it has timed out. It stays in flight: nothing may be proposed beside it.
func (r *Replica) expireInFlight(now time.Duration) {
	if r.inFlight == nil || now < r.inFlight.deadline {
		return
	}
	r.inFlight.abort(result.OutcomeUnknown, "the chain has not acknowledged it in time")
	r.inFlight.submissions = nil
}

// rejectQueued rejects all that has not been proposed.
func (r *Replica) rejectQueued(reason string) {
	for _, s := range r.queue {
		s.reply(result.Unavailable, reason)
	}
	r.queue = nil
}

// rejectOverdue rejects the queued operations whose deadline, or view, is over.
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
