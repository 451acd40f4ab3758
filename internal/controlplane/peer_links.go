package controlplane

import (
	"context"
	"slices"
	"sync"

	"marlreel/internal/api"
)

// peerLinks holds the links to the other control processes and owns their goroutines. The caller must hold the lock.
type peerLinks struct {
	links   map[string]*peerLink // by the peer's address
	running sync.WaitGroup
}

func newPeerLinks() *peerLinks { return &peerLinks{links: map[string]*peerLink{}} }

// update stops the links to processes that are no longer members, and starts links to new members. Links end with ctx.
func (t *peerLinks) update(ctx context.Context, m *Membership, members []string) {
	for address, link := range t.links {
		if !slices.Contains(members, address) {
			link.cancel()
			delete(t.links, address)
		}
	}
	for _, address := range members {
		if address != m.self.Address && t.links[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			link := newPeerLink(m, address, cancel)
			t.links[address] = link
			t.running.Go(func() { link.run(linkCtx) })
		}
	}
}

// wake makes each link send an update soon.
func (t *peerLinks) wake() {
	for _, link := range t.links {
		link.wake()
	}
}

// onObservation queues an observation for each peer, which is sent it as soon as it can be reached.
func (t *peerLinks) onObservation(observation *api.Observation) {
	for _, link := range t.links {
		link.observations.Store(link.now(), observation.Id, observation)
		link.wake()
	}
}
