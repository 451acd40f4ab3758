package controlplane

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"marlreel/internal/api"
	"marlreel/internal/distribution/hintedhandoff"
)

const (
	// fullUpdateInterval is how often a control process sends a full update of all live members to each peer, even if
	// nothing has changed. It has to be well below peerTimeout and the backends' timeout; each full update costs a
	// message to each peer with an entry for each backend.
	fullUpdateInterval = time.Second
	// updateDelay is how long a change waits for more changes. Raising it makes fewer and larger updates, and delays
	// changes of backends on their way to the proxies by as much.
	updateDelay = 10 * time.Millisecond
	// updateTimeout bounds the call of an update. Raising it delays the next update to a peer that does not answer;
	// lowering it fails updates over slow links.
	updateTimeout = 400 * time.Millisecond
	// maxHints bounds the backends whose observations are kept for a peer that can't be reached.
	maxHints = 4096
	// hintTTL is how long an observation is kept for such a peer. By then, the backend's own heartbeats report the same.
	hintTTL = 5 * time.Second
)

// peerLink sends membership updates from this process to one peer. What the peer misses while it can't be reached is
// sent when it answers again: backends and nodes from the last revision that it received, observations by hinted
// handoff.
type peerLink struct {
	membership *Membership
	address    string
	cancel     context.CancelFunc
	changes    chan struct{} // has a token while there are unsent changes
	startedAt  time.Time

	// Guarded by the membership's mutex.
	sentRevision uint64 // the feed's revision of the last update that the peer accepted
	synced       bool   // the peer has everything up to sentRevision
	observations *hintedhandoff.Table[*api.Observation]
}

func newPeerLink(m *Membership, address string, cancel context.CancelFunc) *peerLink {
	return &peerLink{
		membership: m, address: address, cancel: cancel, changes: make(chan struct{}, 1), startedAt: time.Now(),
		observations: hintedhandoff.New[*api.Observation](maxHints, hintTTL),
	}
}

// now is the time since the link was started. Its hints expire on this clock.
func (l *peerLink) now() time.Duration { return time.Since(l.startedAt) }

// wake makes the link send an update soon.
func (l *peerLink) wake() {
	select {
	case l.changes <- struct{}{}:
	default:
	}
}

// run sends an update soon after each change and a full one every fullUpdateInterval, until ctx ends.
func (l *peerLink) run(ctx context.Context) {
	ticker := time.NewTicker(fullUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.changes:
			select {
			case <-time.After(updateDelay):
			case <-ctx.Done():
				return
			}
			l.sendUpdate(ctx, false)
		case <-ticker.C:
			l.sendUpdate(ctx, true)
		case <-ctx.Done():
			return
		}
	}
}

// sendUpdate sends one update to the peer. After a failure, the next update includes the same changes.
func (l *peerLink) sendUpdate(ctx context.Context, full bool) {
	update, revision, hints := l.membership.updateFor(l, full)
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	_, err := api.NewControlProtobufClient("http://"+l.address, l.membership.client).Share(ctx, update)
	l.membership.mu.Lock()
	defer l.membership.mu.Unlock()
	if err != nil {
		// A peer that doesn't know backends that it was sent before has been restarted, and needs everything.
		if isFailedPrecondition(err) {
			l.synced = false
		}
		return
	}
	l.sentRevision, l.synced = revision, true
	l.observations.Remove(hints)
}

// isFailedPrecondition reports whether a call failed with twirp.FailedPrecondition.
func isFailedPrecondition(err error) bool {
	var reply twirp.Error
	return errors.As(err, &reply) && reply.Code() == twirp.FailedPrecondition
}
