package controlplane

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/store"
	"marlreel/internal/process/logevent"
)

// openStore opens the store and makes a replica of what it holds. A damaged store is set aside; the next attempt finds
// an empty one.
func (r *ReplicaRunner) openStore() error {
	opened, err := r.host.OpenStore()
	if err != nil {
		return err
	}
	r.store = opened
	durable, err := opened.Load()
	if eris.Is(err, store.ErrCorrupted) {
		// What it has promised can't be trusted: it comes back as another member, without any promise.
		r.log.Error(err, logevent.StoreDiscarded)
		r.closeStore()
		return r.host.RemoveStore()
	}
	if err != nil {
		return err
	}
	if durable.Self == nil {
		durable, err = r.initialiseStore()
		if err != nil {
			return err
		}
	}
	r.replica = NewReplica(r.config, durable, r.settings.SeedPeers(), opened, r.sender, r.feed, r.log, r.clock.now())
	if r.leaving {
		r.replica.Leave(r.clock.now())
	}
	return nil
}

func (r *ReplicaRunner) closeStore() {
	r.replica = nil
	if r.store == nil {
		return
	}
	// What it may not have written was answered as unclear.
	_ = r.store.Close()
	r.store = nil
}

// initialiseStore gives an empty store an identity: a founder's at the very first start of the system, or else that of
// a member that waits to be added to the view.
func (r *ReplicaRunner) initialiseStore() (chain.DurableState, error) {
	self := &api.Member{Address: r.settings.PeerAddress(), Incarnation: chain.FounderIncarnation}
	durable := chain.DurableState{Self: self}
	if r.settings.FirstStart && r.settings.IsSeed() {
		durable.View = chain.FoundingView(r.settings.SeedPeers())
		return durable, r.store.Save(&durable, chain.Changes{Self: true, View: true})
	}
	incarnation, err := drawIncarnation()
	if err != nil {
		return durable, err
	}
	self.Incarnation = incarnation
	return durable, r.store.Save(&durable, chain.Changes{Self: true})
}

// drawIncarnation draws the incarnation of a member that is no founder. It is above all founders'.
func drawIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, eris.Wrap(err, "drawing an incarnation")
	}
	return binary.BigEndian.Uint64(random[:]) | 1<<63, nil
}
