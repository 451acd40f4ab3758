package controlplane

import (
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/logevent"
)

// Saver writes the chain's durable state to disk.
type Saver interface {
	Save(d *chain.DurableState, changed chain.Changes) error
}

// Sender sends messages to other members. It does not block, and may lose messages.
type Sender interface {
	Send(message *api.ChainMessage)
}

// Replica is this process's replica of the chain's state: it carries out the output of a chain.Node (saves, sends,
// replies), and batches the operations that are submitted to it. It is not safe for concurrent use; times are on the
// process's monotonic clock. After a failure it does nothing any more.
type Replica struct {
	node    *chain.Node
	machine *state.Machine
	saver   Saver
	sender  Sender
	feed    *watch.Store
	log     logr.Logger

	queue                []*submission
	inFlight             *batch            // proposed but not committed yet; nil if there is none
	pendingConfirmations map[uint64]*batch // batches without effect, by the token of their confirmation
	pendingReads         map[uint64]*pendingRead
	lastToken            uint64

	failure error
}

// NewReplica makes a replica from the durable state on disk. contacts are the addresses of members to contact first.
func NewReplica(cfg chain.Config, durable chain.DurableState, contacts []string, saver Saver, sender Sender,
	feed *watch.Store, log logr.Logger, now time.Duration,
) *Replica {
	r := &Replica{
		machine: state.New(), saver: saver, sender: sender, feed: feed, log: log,
		pendingConfirmations: map[uint64]*batch{}, pendingReads: map[uint64]*pendingRead{},
	}
	r.node = chain.New(cfg, durable, r.machine, contacts, now)
	r.publishRestored()
	return r
}

// Failure is the error with which the disk has failed, or nil.
func (r *Replica) Failure() error { return r.failure }

// Node is the chain's node. The caller must not change it.
func (r *Replica) Node() *chain.Node { return r.node }

// Machine is the committed state. The caller must not change it.
func (r *Replica) Machine() *state.Machine { return r.machine }

// Tick handles timeouts. It has to be called regularly.
func (r *Replica) Tick(now time.Duration) {
	if r.failure != nil {
		return
	}
	r.apply(r.node.Tick(now))
	r.expire(now)
	r.proposeQueued(now)
}

// Receive handles a message from another member.
func (r *Replica) Receive(now time.Duration, message *api.ChainMessage) {
	if r.failure != nil {
		return
	}
	r.apply(r.node.Receive(now, message))
	r.proposeQueued(now)
}

// Leave begins to take this process out of the chain.
func (r *Replica) Leave(now time.Duration) {
	if r.failure == nil {
		r.apply(r.node.Leave(now))
	}
}

// isHead reports whether this is the head of the newest view that it knows. Only a confirmation by a majority rules out
// a newer view.
func (r *Replica) isHead() bool {
	return chain.MemberKey(r.node.Head()) == chain.MemberKey(r.node.DurableState().Self)
}

// headInService reports whether this is the head of a chain that is in service.
func (r *Replica) headInService() bool { return r.failure == nil && r.node.InService() && r.isHead() }

// apply carries out the node's output. The chain's safety depends on the order: save, then send, then reply.
func (r *Replica) apply(out chain.Output) {
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
		r.onViewChanged()
	}
	if out.SnapshotRestored {
		r.publishRestored()
	} else if len(out.Committed) > 0 {
		r.feed.AppendApplied(out.Committed, r.machine.Clone())
	}
	for _, entry := range out.Committed {
		r.onCommitted(entry)
	}
	for _, token := range out.ConfirmedTokens {
		r.onConfirmed(token)
	}
}

// logEvent logs an event that the chain reports.
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

// publishRestored publishes the committed state to the feed: the snapshot and the committed entries after it.
func (r *Replica) publishRestored() {
	snapshot := r.node.DurableState().Snapshot
	r.feed.InstallSnapshot(snapshot.GetSequence(), snapshot.GetHash(), snapshot.GetState())
	var committed []*api.Entry
	for _, entry := range r.node.DurableState().Entries {
		if entry.Sequence <= r.node.Committed() {
			committed = append(committed, entry)
		}
	}
	r.feed.AppendEntries(committed)
}

// onConfirmed handles a confirmation by a majority that this process was still head or tail when it asked.
func (r *Replica) onConfirmed(token uint64) {
	if b := r.pendingConfirmations[token]; b != nil {
		delete(r.pendingConfirmations, token)
		b.reply()
	}
	if read := r.pendingReads[token]; read != nil {
		delete(r.pendingReads, token)
		read.reply(result.Committed, r.machine)
	}
}

// onViewChanged aborts what may be superseded by the new view. The entry in flight at a process that stays head is
// committed in the new view.
func (r *Replica) onViewChanged() {
	const reason = "the view has changed"
	if r.inFlight != nil && !r.isHead() {
		r.abortInFlight(reason)
	}
	r.abortConfirmations(reason)
	if !r.isHead() {
		r.rejectQueued(reason)
	}
}

// expire aborts operations and reads that have timed out.
func (r *Replica) expire(now time.Duration) {
	r.expireInFlight(now)
	r.expireConfirmations(now)
	r.rejectOverdue(now)
}

// fail stops the replica after a failed write: what the disk holds is no longer known.
func (r *Replica) fail(err error) {
	const reason = "the disk has failed"
	r.failure = err
	r.log.Error(err, logevent.StoreFailed)
	if r.inFlight != nil {
		r.abortInFlight(reason)
	}
	r.abortConfirmations(reason)
	r.rejectQueued(reason)
}
