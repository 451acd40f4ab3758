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
	// shareEvery is how often a control process tells another one whom it has heard, where
	// there is no news.
	shareEvery = time.Second
	// shareSoon is how long news waits for more news.
	shareSoon = 10 * time.Millisecond
	// shareTimeout bounds one such call.
	shareTimeout = 400 * time.Millisecond
	// mostHints bounds the backends of which a peer that can't be reached is still to be told
	// what was observed there.
	mostHints = 4096
	// hintLife is how long that is kept: a backend's own heartbeats say the same by then.
	hintLife = 5 * time.Second
)

// peerLink tells one other control process what this one has heard. What that one misses
// while it can't be reached is handed over when it answers again: backends and nodes by the
// revision up to which it was told, observations as hints.
type peerLink struct {
	registry *Registry
	address  string
	ctx      context.Context
	end      context.CancelFunc
	wake     chan struct{}
	began    time.Time

	// Kept by the registry's lock.
	told     uint64 // the feed's revision up to which it knows
	known    bool   // it has been told anything at all
	observed *hintedhandoff.Table[*api.Observation]
}

func newPeerLink(ctx context.Context, r *Registry, address string) *peerLink {
	l := &peerLink{
		registry: r, address: address, wake: make(chan struct{}, 1), began: time.Now(),
		observed: hintedhandoff.New[*api.Observation](mostHints, hintLife),
	}
	l.ctx, l.end = context.WithCancel(ctx)
	return l
}

func (l *peerLink) now() time.Duration { return time.Since(l.began) }

func (l *peerLink) hurry() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run tells what is new when there is something, and who lives once in a while.
func (l *peerLink) run() {
	lifeSigns := time.NewTicker(shareEvery)
	defer lifeSigns.Stop()
	for {
		newsAlone := false
		select {
		case <-l.wake:
			newsAlone = true
			select {
			case <-time.After(shareSoon):
			case <-l.ctx.Done():
				return
			}
		case <-lifeSigns.C:
		case <-l.ctx.Done():
			return
		}
		l.share(newsAlone)
	}
}

// share makes one call.
func (l *peerLink) share(newsAlone bool) {
	reports, revision, hinted := l.reports(newsAlone)
	call, cancel := context.WithTimeout(l.ctx, shareTimeout)
	defer cancel()
	_, err := api.NewControlProtobufClient("http://"+l.address, l.registry.client).Share(call, reports)
	l.registry.mu.Lock()
	defer l.registry.mu.Unlock()
	if err != nil {
		// Who answers that it doesn't know what it was told of has begun anew.
		var refused twirp.Error
		l.known = l.known && !(errors.As(err, &refused) && refused.Code() == twirp.FailedPrecondition)
		return
	}
	l.told, l.known = revision, true
	l.observed.Remove(hinted)
}

// reports are what the peer has not been told, and unless newsAlone who still lives.
func (l *peerLink) reports(newsAlone bool) (*api.MembershipUpdate, uint64, []hintedhandoff.Hint[*api.Observation]) {
	r := l.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	told := l.told
	if !l.known {
		told = 0
	}
	changed, revision := r.feed.BackendsChangedSince(told)
	reports := &api.MembershipUpdate{From: r.self.Address, Complete: !l.known}
	news := map[string]bool{}
	for _, b := range changed {
		if h, here := r.heard[b.Id]; here && h.via == "" {
			reports.Backends = append(reports.Backends, b)
			news[b.Id] = true
		}
	}
	if !newsAlone || !l.known {
		reports.Node = r.self
		r.addLifeSigns(reports, news)
	}
	if !newsAlone || !l.known || r.feed.NodesChangedSince(told) {
		r.addNodes(reports)
	}
	hinted := l.observed.Pending(l.now())
	for _, hint := range hinted {
		reports.Observations = append(reports.Observations, hint.Message)
	}
	return reports, revision, hinted
}

// addLifeSigns adds the backends that were heard here and have nothing new to say.
func (r *Registry) addLifeSigns(reports *api.MembershipUpdate, news map[string]bool) {
	now := time.Now()
	for id, h := range r.heard {
		if h.via == "" && !news[id] {
			reports.Heartbeats = append(reports.Heartbeats, &api.BackendHeartbeat{Id: id, AgeMs: uint32(now.Sub(h.at).Milliseconds())})
		}
	}
}

// addNodes adds the nodes that were heard here.
func (r *Registry) addNodes(reports *api.MembershipUpdate) {
	for _, n := range r.feed.Nodes() {
		if r.nodes[n.Name].via == "" {
			reports.Nodes = append(reports.Nodes, n)
		}
	}
}
