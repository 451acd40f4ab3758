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
)

const (
	// mostQueued is how many operations may wait at the head.
	mostQueued = 1024
	// mostBatched is how many operations one entry holds.
	mostBatched = 64
	// submissionTimeout is when an operation that got nowhere is answered for.
	submissionTimeout = 900 * time.Millisecond
)

// Saver puts the chain's durable state on disk.
type Saver interface {
	Save(d *chain.Durable, changed chain.Changed) error
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
	node      *chain.Node
	machine   *state.Machine
	saver     Saver
	sender    Sender
	feed      *watch.Store
	log       logr.Logger
	queue     []*submission
	inFlight  *batch
	confirms  map[uint64]*batch
	reads     map[uint64]*pendingRead
	lastToken uint64
	failure   error
}

// NewReplica makes a replica of what the disk holds.
func NewReplica(cfg chain.Config, durable chain.Durable, contacts []string, saver Saver, sender Sender,
	out *watch.Store, log logr.Logger, now time.Duration,
) *Replica {
	r := &Replica{
		machine: state.New(), saver: saver, sender: sender, feed: out, log: log,
		confirms: map[uint64]*batch{}, reads: map[uint64]*pendingRead{},
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
	r.carryOut(now, r.node.Tick(now))
	r.expire(now)
	r.pump(now)
}

// Receive takes a message of another member in.
func (r *Replica) Receive(now time.Duration, message *api.ChainMessage) {
	if r.failure != nil {
		return
	}
	r.carryOut(now, r.node.Receive(now, message))
	r.pump(now)
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
	if r.failure != nil || !r.node.InService() || !r.isHead() || len(r.queue) >= mostQueued {
		reply(result.Unavailable, "this process is not the head of a chain in service")
		return
	}
	s.until = min(s.until, now+submissionTimeout)
	r.queue = append(r.queue, s)
	r.pump(now)
}

// Leave begins to take this process out of the chain.
func (r *Replica) Leave(now time.Duration) {
	if r.failure == nil {
		r.carryOut(now, r.node.Leave(now))
	}
}

// Read gives the newest state. Only the tail can.
func (r *Replica) Read(now time.Duration, reply ReadReply) {
	if r.failure != nil || !r.node.MayRead() {
		reply(result.Unavailable, nil)
		return
	}
	r.confirmThen(now, reply)
}

// ReadAtHead gives the state as the head has it, while it surely is the head.
func (r *Replica) ReadAtHead(now time.Duration, reply ReadReply) {
	if r.failure != nil || !r.node.InService() || !r.isHead() {
		reply(result.Unavailable, nil)
		return
	}
	r.confirmThen(now, reply)
}

func (r *Replica) confirmThen(now time.Duration, reply ReadReply) {
	r.lastToken++
	r.reads[r.lastToken] = &pendingRead{reply, now + submissionTimeout}
	r.carryOut(now, r.node.Confirm(now, r.lastToken))
}

func (r *Replica) isHead() bool { return chain.Key(r.node.Head()) == chain.Key(r.node.Durable().Self) }

// pump takes what waits into the chain.
func (r *Replica) pump(now time.Duration) {
	if r.failure != nil || r.inFlight != nil || !r.node.MayPropose() {
		return
	}
	r.refuseLate(now)
	if len(r.queue) == 0 {
		return
	}
	taken := r.queue[:min(len(r.queue), mostBatched)]
	r.queue = append([]*submission(nil), r.queue[len(taken):]...)
	b := &batch{submissions: append([]*submission(nil), taken...), until: now + submissionTimeout}
	operations := r.evaluate(b)
	if len(operations) == 0 {
		// Nothing changes, but that is sure only while this is still the head.
		r.lastToken++
		r.confirms[r.lastToken] = b
		r.carryOut(now, r.node.Confirm(now, r.lastToken))
		r.pump(now)
		return
	}
	entry, out := r.node.Propose(now, operations)
	b.hash = entry.Hash
	r.inFlight = b
	r.carryOut(now, out)
}

// evaluate tries a batch's operations in order and gives those that have an effect.
func (r *Replica) evaluate(b *batch) []*api.Operation {
	trial := r.machine.Clone()
	var operations []*api.Operation
	for _, s := range b.submissions {
		changed, failure := trial.Do(s.operation)
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

// carryOut does what the node wants done: save first, then send, then tell.
func (r *Replica) carryOut(now time.Duration, out chain.Output) {
	for _, note := range out.Notes {
		r.log.Info(note, "event", "view")
	}
	if out.Save.Any() {
		if err := r.saver.Save(r.node.Durable(), out.Save); err != nil {
			r.fail(err)
			return
		}
	}
	for _, message := range out.Send {
		r.sender.Send(message)
	}
	if out.Deposed {
		r.deposed()
	}
	r.publish(out.Restored, out.Committed)
	for _, entry := range out.Committed {
		r.settle(entry)
	}
	for _, token := range out.Confirmed {
		r.confirmed(token)
	}
}

// publish tells the feed what is committed.
func (r *Replica) publish(restored bool, committed []*api.Entry) {
	if restored {
		snapshot := r.node.Durable().Snapshot
		r.feed.InstallSnapshot(snapshot.GetSequence(), snapshot.GetHash(), snapshot.GetState())
		var after []*api.Entry
		for _, entry := range r.node.Durable().Entries {
			if entry.Sequence <= r.node.Committed() {
				after = append(after, entry)
			}
		}
		r.feed.AppendEntries(after)
		return
	}
	r.feed.AppendEntries(committed)
}

// settle answers for the submissions of an entry.
func (r *Replica) settle(entry *api.Entry) {
	if r.inFlight != nil && r.inFlight.hash == entry.Hash {
		answer(r.inFlight)
		r.inFlight = nil
	}
}

func answer(b *batch) {
	for _, s := range b.submissions {
		s.reply(s.code, s.detail)
	}
}

func (r *Replica) confirmed(token uint64) {
	if b := r.confirms[token]; b != nil {
		delete(r.confirms, token)
		answer(b)
	}
	if read := r.reads[token]; read != nil {
		delete(r.reads, token)
		read.reply(result.Committed, r.machine)
	}
}

// deposed answers for what another view may have overtaken. What is in flight at a
// process that stays head is committed with the new view.
func (r *Replica) deposed() {
	if r.inFlight != nil && !r.isHead() {
		giveUp(r.inFlight, result.OutcomeUnknown, "the view has changed")
		r.inFlight = nil
	}
	r.giveUpConfirmations(always, "the view has changed")
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

// giveUpConfirmations answers for what waits for a majority's word, in the order in which it came.
func (r *Replica) giveUpConfirmations(over func(until time.Duration) bool, why string) {
	for _, token := range slices.Sorted(maps.Keys(r.confirms)) {
		if b := r.confirms[token]; over(b.until) {
			delete(r.confirms, token)
			r.node.Abandon(token)
			giveUp(b, result.Unavailable, why)
		}
	}
	for _, token := range slices.Sorted(maps.Keys(r.reads)) {
		if read := r.reads[token]; over(read.until) {
			delete(r.reads, token)
			r.node.Abandon(token)
			read.reply(result.Unavailable, nil)
		}
	}
}

func giveUp(b *batch, code result.Code, detail string) {
	for _, s := range b.submissions {
		s.reply(code, detail)
	}
}

// expire answers for what has waited too long.
func (r *Replica) expire(now time.Duration) {
	if r.inFlight != nil && len(r.inFlight.submissions) > 0 && now >= r.inFlight.until {
		giveUp(r.inFlight, result.OutcomeUnknown, "the chain has not acknowledged it in time")
		r.inFlight.submissions = nil
	}
	r.giveUpConfirmations(func(until time.Duration) bool { return now >= until }, "no majority answers")
	r.refuseLate(now)
}

// refuseLate answers for operations whose time, or view, is over.
func (r *Replica) refuseLate(now time.Duration) {
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
		giveUp(r.inFlight, result.OutcomeUnknown, "the disk has failed")
		r.inFlight = nil
	}
	r.giveUpConfirmations(always, "the disk has failed")
	for _, s := range r.queue {
		s.reply(result.Unavailable, "the disk has failed")
	}
	r.queue = nil
}
