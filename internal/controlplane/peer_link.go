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
	// fullUpdateInterval is how often a control process tells another one who lives, where nothing has changed. It
	// has to be well below peerTimeout and the backends' timeout; lowering it costs a message a peer and interval
	// with an entry for each backend.
	fullUpdateInterval = time.Second
	// updateDelay is how long a change waits for more changes. Raising it makes fewer and larger updates; proxies
	// hear of backends as much later.
	updateDelay = 10 * time.Millisecond
	// updateTimeout bounds the call of an update. Raising it delays the next update to a peer that does not answer;
	// lowering it fails updates over slow links.
	updateTimeout = 400 * time.Millisecond
	// maxHints bounds the backends of which the observations are kept for a peer that can't be reached.
	maxHints = 4096
	// hintTTL is how long these are kept: a backend's own heartbeats say the same by then.
	hintTTL = 5 * time.Second
)

// peerLink sends one other control process what this one has heard. What that one misses while it can't be reached
// is handed over when it answers again: backends and nodes by the revision up to which it was told, observations as
// hints.
type peerLink struct {
	membership *Membership
	address    string
	cancel     context.CancelFunc
	changes    chan struct{} // has a token where there is something new
	startedAt  time.Time

	// Guarded by the membership's mutex.
	sentRevision uint64 // the feed's revision up to which the peer was told
	synced       bool   // the peer has been told all up to that
	observations *hintedhandoff.Table[*api.Observation]
}

func newPeerLink(m *Membership, address string, cancel context.CancelFunc) *peerLink {
	return &peerLink{
		membership: m, address: address, cancel: cancel, changes: make(chan struct{}, 1), startedAt: time.Now(),
		observations: hintedhandoff.New[*api.Observation](maxHints, hintTTL),
	}
}

// now is the time on the link's own clock, by which its hints expire.
func (l *peerLink) now() time.Duration { return time.Since(l.startedAt) }

// wake has the link send an update soon.
func (l *peerLink) wake() {
	select {
	case l.changes <- struct{}{}:
	default:
	}
}

// run sends an update soon after each change and a full one each interval, until ctx ends.
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

// sendUpdate makes one call.
func (l *peerLink) sendUpdate(ctx context.Context, full bool) {
	update, revision, hints := l.membership.updateFor(l, full)
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	_, err := api.NewControlProtobufClient("http://"+l.address, l.membership.client).Share(ctx, update)
	l.membership.mu.Lock()
	defer l.membership.mu.Unlock()
	if err != nil {
		// A peer that does not know what it was told of has started anew, and needs everything.
		if isFailedPrecondition(err) {
			l.synced = false
		}
		return
	}
	l.sentRevision, l.synced = revision, true
	l.observations.Remove(hints)
}

// isFailedPrecondition reports whether a call was answered with twirp.FailedPrecondition.
func isFailedPrecondition(err error) bool {
	var reply twirp.Error
	return errors.As(err, &reply) && reply.Code() == twirp.FailedPrecondition
}
