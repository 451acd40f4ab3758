package watch

import (
	"context"
	"time"

	"marlreel/internal/api"
)

// batchWindow is the minimum time between two replies that carry only changes of backends or nodes: changes in between
// go into one reply. Changes of the replicated state are sent at once. Raising it delays the news of new and departed
// backends; lowering it multiplies the replies when many change at once, as after a restart of the whole site. Each
// reply about nodes lists all of them, so without batching the bytes sent at a start would grow with the square of their
// number.
const batchWindow = 100 * time.Millisecond

// relayBatchWindow is the batch window of a relay for subscribers of single topics: these updates have already been
// batched at control. Raising it adds delay at each level of a tree of relays; lowering it gains nothing.
const relayBatchWindow = 20 * time.Millisecond

// BatchAsRelay marks the store as a relay, which is filled from other stores and so may use a shorter batch window.
func (s *Store) BatchAsRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRelay = true
}

// batchWindowFor returns the batch window of a subscriber. One that subscribes to everything always gets the long window,
// as it receives the updates of several sources.
func (s *Store) batchWindowFor(topics Topics) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isRelay && !topics.All() {
		return relayBatchWindow
	}
	return batchWindow
}

// HandleWatch serves a subscriber's poll. It replies as soon as there is an update for the subscriber, or without one
// after maxWait or when ctx ends.
func (s *Store) HandleWatch(ctx context.Context, request *api.WatchRequest, maxWait time.Duration) *api.WatchReply {
	began := time.Now()
	window := s.batchWindowFor(request.Topics)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		waited := time.Since(began)
		timedOut := waited >= maxWait || ctx.Err() != nil
		poll := s.poll(request, waited >= window, timedOut)
		if poll.reply != nil {
			return poll.reply
		}
		if poll.batching {
			timer.Reset(min(window, maxWait) - waited)
		}
		select {
		case <-poll.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// pollResult is a reply or, if none is due yet, the event to wait for.
type pollResult struct {
	reply    *api.WatchReply // nil: none is due
	changed  <-chan struct{} // closed at the next revision
	batching bool            // an update is waiting for the end of the batch window
}

// poll returns a reply if there is an urgent update, if the poll has timed out, or if there is an update and the batch
// window is over.
func (s *Store) poll(request *api.WatchRequest, windowOver, timedOut bool) pollResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pendingFor(request)
	due := timedOut || pending == urgentUpdate
	if due || pending == batchableUpdate && windowOver {
		return pollResult{reply: s.replyTo(request)}
	}
	return pollResult{changed: s.changed, batching: pending == batchableUpdate}
}

// pendingUpdate says whether there is an update for a subscriber, and whether it may wait for the batch window.
type pendingUpdate int

const (
	noUpdate pendingUpdate = iota
	batchableUpdate
	urgentUpdate
)

// pendingFor returns the kind of update that is pending for a subscriber.
func (s *Store) pendingFor(request *api.WatchRequest) pendingUpdate {
	topics := Topics(request.Topics)
	switch {
	case request.Source != s.source || request.Revision < s.statusRevision:
		return urgentUpdate
	case topics.IncludesState() && (request.Revision < s.stateRevision || request.Sequence < s.sequence):
		return urgentUpdate
	case request.Revision < s.lastChange(topics):
		return batchableUpdate
	}
	return noUpdate
}

// replyTo returns all updates that a subscriber lacks.
func (s *Store) replyTo(request *api.WatchRequest) *api.WatchReply {
	topics := Topics(request.Topics)
	status := s.statuses.of(topics)
	reply := &api.WatchReply{Source: s.source, Revision: s.revision, Fresh: status.Fresh, Established: status.Established}
	if topics.IncludesState() {
		reply.Sequence, reply.Hash, reply.Controls = s.sequence, s.hash, s.controlNodes
		s.addState(reply, request)
	}
	since := request.Revision
	if request.Source != s.source || since < s.departuresTrimmedTo {
		reply.Complete, since = true, 0
	}
	reply.Backends = s.backendsSince(since, topics)
	if !reply.Complete {
		reply.Departed = s.departedSince(since, topics)
	}
	if topics.IncludesState() && (s.nodesRevision > since || reply.Complete) {
		reply.Nodes, reply.NodesChanged = s.listNodes(), true
	}
	return reply
}
