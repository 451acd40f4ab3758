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

// Saver puts the chain's durable state on disk.
type Saver interface {
	Save(d *chain.DurableState, changed chain.Changes) error
}

// Sender hands messages to other members. It does not wait, and may lose them.
type Sender interface {
	Send(message *api.ChainMessage)
}

// Replica is this process's replica of the chain's state: it does what a chain.Node wants done (saves, sends, replies),
// and batches the operations that are submitted to it. One goroutine at a time may call it; times are on the process's
// monotonic clock. Once it has failed it does nothing any more.
type Replica struct {
	node    *chain.Node
	machine *state.Machine
	saver   Saver
	sender  Sender
	feed    *watch.Store
	log     logr.Logger

	queue                []*submission
	inFlight             *batch            // the entry that is not committed yet; nil: there is none
	pendingConfirmations map[uint64]*batch // by the token of their confirmation
	pendingReads         map[uint64]*pendingRead
	lastToken            uint64

	failure error
}

// NewReplica makes a replica of what the disk holds. contacts are addresses of members to begin with.
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

// Failure is what the disk has failed with, or nil.
func (r *Replica) Failure() error { return r.failure }

// Node is the chain's node, to be read.
func (r *Replica) Node() *chain.Node { return r.node }

// Machine is the committed state, to be read.
func (r *Replica) Machine() *state.Machine { return r.machine }

// Tick handles that time has passed.
func (r *Replica) Tick(now time.Duration) {
	if r.failure != nil {
		return
	}
	r.apply(r.node.Tick(now))
	r.expire(now)
	r.proposeQueued(now)
}

// Receive handles a message of another member.
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

// isHead reports whether this is the head of its view, by its own word: only a confirmation makes that sure.
func (r *Replica) isHead() bool {
	return chain.MemberKey(r.node.Head()) == chain.MemberKey(r.node.DurableState().Self)
}

// headInService reports whether this is the head of a chain in service.
func (r *Replica) headInService() bool { return r.failure == nil && r.node.InService() && r.isHead() }

// apply does what the node wants done, in the order that the chain's argument needs: save, then send, then reply.
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
		r.onDeposed()
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

// publishRestored hands the feed the state as it stands, from the snapshot on.
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

// onConfirmed handles that a majority has confirmed that this process was in its place when it asked.
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

// onDeposed replies to what another view may have overtaken. What is in flight at a process that stays head is
// committed with the new view.
func (r *Replica) onDeposed() {
	const reason = "the view has changed"
	if r.inFlight != nil && !r.isHead() {
		r.abortInFlight(reason)
	}
	r.abortConfirmations(reason)
	if !r.isHead() {
		r.rejectQueued(reason)
	}
}

// expire replies to what has timed out.
func (r *Replica) expire(now time.Duration) {
	r.expireInFlight(now)
	r.expireConfirmations(now)
	r.rejectOverdue(now)
}

// fail ends the replica: what its disk holds is no longer known.
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
