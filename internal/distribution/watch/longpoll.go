package watch

import (
	"context"
	"time"

	"marlreel/internal/api"
)

// batchWindow is the least time between two replies with changes of backends or nodes alone: what changes in between goes
// in one reply. Changes of the replicated state don't wait. Raising it lets proxies learn of new and departed backends
// later; lowering it multiplies the replies where many change at once, as after a restart of all. Each reply on nodes
// lists all of them, so without it the bytes of a start would grow by the square of their number.
const batchWindow = 100 * time.Millisecond

// relayBatchWindow is the same at a relay, for subscribers of some topics: what it passes on was batched before it came.
// Raising it adds to the delay at each level of a tree of relays; lowering it gains nothing.
const relayBatchWindow = 20 * time.Millisecond

// BatchAsRelay makes the store, which is filled from other stores, pass on updates sooner.
func (s *Store) BatchAsRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays = true
}

// batchWindowFor is the batch window of a subscriber. One of everything gets the updates of several sources.
func (s *Store) batchWindowFor(topics Topics) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relays && !topics.All() {
		return relayBatchWindow
	}
	return batchWindow
}

// HandleWatch serves a subscriber's poll: it replies with what the subscriber lacks as soon as there is something, or
// with nothing new after maxWait or when ctx ends.
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

// pollResult is a reply, or what to wait for.
type pollResult struct {
	reply    *api.WatchReply // nil: none is due
	changed  <-chan struct{} // closed at the next revision
	batching bool            // there is an update, which waits for the end of the batch window
}

// poll replies to a subscriber if that is due: the batch window may be over, or the poll timed out.
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

// pendingUpdate says whether a subscriber lacks something, and whether that may wait for the batch window.
type pendingUpdate int

const (
	noUpdate pendingUpdate = iota
	batchableUpdate
	urgentUpdate
)

// pendingFor returns what is pending for a subscriber.
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

// replyTo returns what a subscriber lacks as of now.
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
