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

// openStore opens the store and makes a replica from its contents. A corrupted store is set aside, so that the next
// attempt finds an empty one.
func (r *ReplicaRunner) openStore() error {
	opened, err := r.host.OpenStore()
	if err != nil {
		return err
	}
	r.store = opened
	durable, err := opened.Load()
	if eris.Is(err, store.ErrCorrupted) {
		// The votes and entries that it recorded are lost: this process has to rejoin as a new member, without any.
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
	// Operations that may not have been written were answered with OutcomeUnknown.
	_ = r.store.Close()
	r.store = nil
}

// initialiseStore gives an empty store an identity: that of a founder at the very first start of the system, otherwise
// that of a new member that waits to be added to the view.
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

// drawIncarnation returns a random incarnation for a member that is not a founder. It is above that of the founders.
func drawIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, eris.Wrap(err, "generating a random incarnation")
	}
	return binary.BigEndian.Uint64(random[:]) | 1<<63, nil
}
