// Package controlplane is the role that keeps the system's state: the chain, the
// operator's interface, the heartbeats of backends, and the feed for those that carry
// traffic.
package controlplane

import (
	"maps"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/logevent"
)

const (
	// maxQueuedSubmissions is how many operations may wait at the head.
	maxQueuedSubmissions = 1024
	// maxBatchSize is how many operations one entry holds.
	maxBatchSize = 64
	// submissionTimeout is when an operation that got nowhere is answered for.
	submissionTimeout = 900 * time.Millisecond
)

// Saver puts the chain's durable state on disk.
type Saver interface {
	Save(d *chain.DurableState, changed chain.Changes) error
}

// Sender hands messages to other members. It does not wait.
type Sender interface {
	Send(message *api.ChainMessage)
}

// Reply takes the answer to a submission.
type Reply func(code result.Code, detail string)

// ReadReply takes the answer to a read: the state, as it may be read and not changed.
type ReadReply func(code result.Code, machine *state.Machine)

// submission is an operation that waits for its answer.
type submission struct {
	operation *api.Operation
	reply     Reply
	until     time.Duration
	view      uint64      // in which alone it may be proposed; 0: in any
	code      result.Code // where it has no effect of its own: what to say once that is sure
	detail    string
}

// batch is the submissions of one entry, or of one confirmation.
type batch struct {
	submissions []*submission
	hash        uint64 // of the entry; 0: there is none
	until       time.Duration
}

type pendingRead struct {
	reply ReadReply
	until time.Duration
}

// Replica carries a chain.Node out: it saves, sends, and answers. One goroutine at a
// time may call it. Once it has failed it does nothing any more.
type Replica struct {
	node                 *chain.Node
	machine              *state.Machine
	saver                Saver
	sender               Sender
	feed                 *watch.Store
	log                  logr.Logger
	queue                []*submission
	inFlight             *batch
	pendingConfirmations map[uint64]*batch
	pendingReads         map[uint64]*pendingRead
	lastToken            uint64
	failure              error
}

// NewReplica makes a replica of what the disk holds.
func NewReplica(cfg chain.Config, durable chain.DurableState, contacts []string, saver Saver, sender Sender,
	out *watch.Store, log logr.Logger, now time.Duration,
) *Replica {
	r := &Replica{
		machine: state.New(), saver: saver, sender: sender, feed: out, log: log,
		pendingConfirmations: map[uint64]*batch{}, pendingReads: map[uint64]*pendingRead{},
	}
	r.node = chain.New(cfg, durable, r.machine, contacts, now)
	r.publish(true, nil)
	return r
}

// Failure is what the disk has failed with, or nil.
func (r *Replica) Failure() error { return r.failure }

// Node is the chain's node, to be read.
func (r *Replica) Node() *chain.Node { return r.node }

// Machine is the committed state, to be read.
func (r *Replica) Machine() *state.Machine { return r.machine }

// Tick does what time alone brings about.
func (r *Replica) Tick(now time.Duration) {
	if r.failure != nil {
		return
	}
	r.apply(now, r.node.Tick(now))
	r.expire(now)
	r.proposeQueued(now)
}

// Receive takes a message of another member in.
func (r *Replica) Receive(now time.Duration, message *api.ChainMessage) {
	if r.failure != nil {
		return
	}
	r.apply(now, r.node.Receive(now, message))
	r.proposeQueued(now)
}

// Submit has an operation done, unless that can't begin before until: its caller is answered by
// then, and may have turned to another process. Only the head takes it.
func (r *Replica) Submit(now time.Duration, operation *api.Operation, until time.Duration, reply Reply) {
	r.submit(now, &submission{operation: operation, reply: reply, until: until})
}

// SubmitInView does the same for what was decided by the head of a view, on what it alone knows.
func (r *Replica) SubmitInView(now time.Duration, operation *api.Operation, view uint64, until time.Duration, reply Reply) {
	r.submit(now, &submission{operation: operation, reply: reply, until: until, view: view})
}

func (r *Replica) submit(now time.Duration, s *submission) {
	reply := s.reply
	if now >= s.until {
		reply(result.Unavailable, "it has come too late")
		return
	}
	if r.failure != nil || !r.node.InService() || !r.isHead() || len(r.queue) >= maxQueuedSubmissions {
		reply(result.Unavailable, "this process is not the head of a chain in service")
		return
	}
	s.until = min(s.until, now+submissionTimeout)
	r.queue = append(r.queue, s)
	r.proposeQueued(now)
}

// Leave begins to take this process out of the chain.
func (r *Replica) Leave(now time.Duration) {
	if r.failure == nil {
		r.apply(now, r.node.Leave(now))
	}
}

// Read gives the newest state. Only the tail can.
func (r *Replica) Read(now time.Duration, reply ReadReply) {
	if r.failure != nil || !r.node.CanRead() {
		reply(result.Unavailable, nil)
		return
	}
	r.readAfterConfirmation(now, reply)
}

// ReadAtHead gives the state as the head has it, while it surely is the head.
func (r *Replica) ReadAtHead(now time.Duration, reply ReadReply) {
	if r.failure != nil || !r.node.InService() || !r.isHead() {
		reply(result.Unavailable, nil)
		return
	}
	r.readAfterConfirmation(now, reply)
}

func (r *Replica) readAfterConfirmation(now time.Duration, reply ReadReply) {
	r.lastToken++
	r.pendingReads[r.lastToken] = &pendingRead{reply, now + submissionTimeout}
	r.apply(now, r.node.ConfirmView(now, r.lastToken))
}

func (r *Replica) isHead() bool {
	return chain.MemberKey(r.node.Head()) == chain.MemberKey(r.node.DurableState().Self)
}

// proposeQueued takes what waits into the chain.
func (r *Replica) proposeQueued(now time.Duration) {
	if r.failure != nil || r.inFlight != nil || !r.node.CanPropose() {
		return
	}
	r.rejectOverdue(now)
	if len(r.queue) == 0 {
		return
	}
	taken := r.queue[:min(len(r.queue), maxBatchSize)]
	r.queue = append([]*submission(nil), r.queue[len(taken):]...)
	b := &batch{submissions: append([]*submission(nil), taken...), until: now + submissionTimeout}
	operations := r.evaluate(b)
	if len(operations) == 0 {
		// Nothing changes, but that is sure only while this is still the head.
		r.lastToken++
		r.pendingConfirmations[r.lastToken] = b
		r.apply(now, r.node.ConfirmView(now, r.lastToken))
		r.proposeQueued(now)
		return
	}
	entry, out := r.node.Propose(now, operations)
	b.hash = entry.Hash
	r.inFlight = b
	r.apply(now, out)
}

// evaluate tries a batch's operations in order and gives those that have an effect.
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

// apply does what the node wants done: save first, then send, then tell.
func (r *Replica) apply(now time.Duration, out chain.Output) {
	for _, event := range out.Events {
		r.logEvent(event)
	}
	if out.Save.Any() {
		if err := r.saver.Save(r.node.DurableState(), out.Save); err != nil {
			r.fail(err)
			return
		}
	}
	for _, message := range out.Messages {
		r.sender.Send(message)
	}
	if out.ViewChanged {
		r.onDeposed()
	}
	r.publish(out.SnapshotRestored, out.Committed)
	for _, entry := range out.Committed {
		r.onCommitted(entry)
	}
	for _, token := range out.ConfirmedTokens {
		r.onConfirmed(token)
	}
}

// logEvent logs what the chain reports.
func (r *Replica) logEvent(event chain.Event) {
	switch event := event.(type) {
	case chain.ViewProposed:
		r.log.Info(logevent.ViewProposed, logevent.KeyView, event.Number, logevent.KeyReason, string(event.Reason),
			logevent.KeyMember, event.Member)
	case chain.ViewInstalled:
		r.log.Info(logevent.ViewInstalled, logevent.KeyView, event.Number, logevent.KeyChain, event.Chain,
			logevent.KeyMembers, event.Members)
	}
}

// publish tells the feed what is committed.
func (r *Replica) publish(restored bool, committed []*api.Entry) {
	if restored {
		snapshot := r.node.DurableState().Snapshot
		r.feed.InstallSnapshot(snapshot.GetSequence(), snapshot.GetHash(), snapshot.GetState())
		var after []*api.Entry
		for _, entry := range r.node.DurableState().Entries {
			if entry.Sequence <= r.node.Committed() {
				after = append(after, entry)
			}
		}
		r.feed.AppendEntries(after)
		return
	}
	r.feed.AppendEntries(committed)
}

// onCommitted answers for the submissions of an entry.
func (r *Replica) onCommitted(entry *api.Entry) {
	if r.inFlight != nil && r.inFlight.hash == entry.Hash {
		replyToBatch(r.inFlight)
		r.inFlight = nil
	}
}

func replyToBatch(b *batch) {
	for _, s := range b.submissions {
		s.reply(s.code, s.detail)
	}
}

func (r *Replica) onConfirmed(token uint64) {
	if b := r.pendingConfirmations[token]; b != nil {
		delete(r.pendingConfirmations, token)
		replyToBatch(b)
	}
	if read := r.pendingReads[token]; read != nil {
		delete(r.pendingReads, token)
		read.reply(result.Committed, r.machine)
	}
}

// onDeposed answers for what another view may have overtaken. What is in flight at a
// process that stays head is committed with the new view.
func (r *Replica) onDeposed() {
	if r.inFlight != nil && !r.isHead() {
		abortBatch(r.inFlight, result.OutcomeUnknown, "the view has changed")
		r.inFlight = nil
	}
	r.abortConfirmations(always, "the view has changed")
	if r.isHead() {
		return
	}
	for _, s := range r.queue {
		s.reply(result.Unavailable, "the view has changed")
	}
	r.queue = nil
}

// always is so of anything that waits, however long it may.
func always(time.Duration) bool { return true }

// abortConfirmations answers for what waits for a majority's word, in the order in which it came.
func (r *Replica) abortConfirmations(over func(until time.Duration) bool, why string) {
	for _, token := range slices.Sorted(maps.Keys(r.pendingConfirmations)) {
		if b := r.pendingConfirmations[token]; over(b.until) {
			delete(r.pendingConfirmations, token)
			r.node.CancelConfirmation(token)
			abortBatch(b, result.Unavailable, why)
		}
	}
	for _, token := range slices.Sorted(maps.Keys(r.pendingReads)) {
		if read := r.pendingReads[token]; over(read.until) {
			delete(r.pendingReads, token)
			r.node.CancelConfirmation(token)
			read.reply(result.Unavailable, nil)
		}
	}
}

func abortBatch(b *batch, code result.Code, detail string) {
	for _, s := range b.submissions {
		s.reply(code, detail)
	}
}

// expire answers for what has waited too long.
func (r *Replica) expire(now time.Duration) {
	if r.inFlight != nil && len(r.inFlight.submissions) > 0 && now >= r.inFlight.until {
		abortBatch(r.inFlight, result.OutcomeUnknown, "the chain has not acknowledged it in time")
		r.inFlight.submissions = nil
	}
	r.abortConfirmations(func(until time.Duration) bool { return now >= until }, "no majority answers")
	r.rejectOverdue(now)
}

// rejectOverdue answers for operations whose time, or view, is over.
func (r *Replica) rejectOverdue(now time.Duration) {
	kept := r.queue[:0]
	for _, s := range r.queue {
		switch {
		case now >= s.until:
			s.reply(result.Unavailable, "it has waited too long")
		case s.view != 0 && s.view != r.node.View().GetNumber():
			s.reply(result.Unavailable, "it was decided in another view")
		default:
			kept = append(kept, s)
		}
	}
	r.queue = kept
}

// fail ends the replica: what its disk holds is no longer known.
func (r *Replica) fail(err error) {
	r.failure = err
	r.log.Error(err, "the store has failed", "event", "store")
	if r.inFlight != nil {
		abortBatch(r.inFlight, result.OutcomeUnknown, "the disk has failed")
		r.inFlight = nil
	}
	r.abortConfirmations(always, "the disk has failed")
	for _, s := range r.queue {
		s.reply(result.Unavailable, "the disk has failed")
	}
	r.queue = nil
}
