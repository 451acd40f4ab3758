package controlplane

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
)

// newTestMembership makes the membership of a control process in a zone. No goroutine runs it.
func newTestMembership(address, zone string) *Membership {
	self := &api.ControlNode{Address: address, Zone: zone, PublicAddress: address + "-public"}
	return NewMembership(self, watch.New(address, time.Now), time.Second, nil)
}

// linkTo makes a link to another process. No goroutine runs it.
func linkTo(m *Membership, address string) *peerLink {
	link := newPeerLink(m, address, func() {})
	m.links.links[address] = link
	return link
}

// deliver sends an update over a link directly to a peer, as sendUpdate does. It returns the update, and whether the
// peer accepted it.
func deliver(from *peerLink, to *Membership, full bool) (*api.MembershipUpdate, bool) {
	update, revision, hints := from.membership.updateFor(from, full)
	if !to.OnPeerUpdate(update) {
		from.synced = false
		return update, false
	}
	from.sentRevision, from.synced = revision, true
	from.observations.Remove(hints)
	return update, true
}

func backendIDs(m *Membership) []string {
	ids := []string{}
	for _, b := range m.feed.Backends() {
		ids = append(ids, b.Id)
	}
	return ids
}

// A peer is sent everything first, then only changes, and all live members with each full update.
func TestUpdatesToAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, peer := newTestMembership("c0", "east"), newTestMembership("c1", "west")
		link := linkTo(m, "c1")
		m.OnHeartbeat(&api.Backend{Id: "b0", Service: "s", Address: "b0:1"})
		m.OnNodeCall(&api.Node{Name: "n0", Address: "n0:1", Incarnation: 1})
		is.Equal(len(link.changes), 1) // the link is woken

		update, accepted := deliver(link, peer, false)
		is.True(accepted)
		is.True(update.Complete)
		is.Equal(update.Node.GetAddress(), "c0")
		is.Equal(len(update.Backends), 1)
		is.Equal(len(update.Nodes), 1)
		is.Equal(backendIDs(peer), []string{"b0"})

		update, accepted = deliver(link, peer, false)
		is.True(accepted)
		is.Equal(len(update.Backends)+len(update.Heartbeats)+len(update.Nodes), 0) // nothing has changed
		is.True(update.Node == nil)

		update, accepted = deliver(link, peer, true)
		is.True(accepted)
		is.Equal(len(update.Backends), 0)
		is.Equal(len(update.Heartbeats), 1)
		is.Equal(len(update.Nodes), 1)
		is.Equal(update.Node.GetAddress(), "c0")
	})
}

// A peer that was restarted rejects an update that names a backend unknown to it, and is then sent everything.
func TestRestartedPeerIsSentEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, before := newTestMembership("c0", "east"), newTestMembership("c1", "west")
		link := linkTo(m, "c1")
		m.OnHeartbeat(&api.Backend{Id: "b0", Service: "s", Address: "b0:1"})
		_, accepted := deliver(link, before, false)
		is.True(accepted)

		restarted := newTestMembership("c1", "west")
		_, accepted = deliver(link, restarted, true)
		is.True(!accepted)
		update, accepted := deliver(link, restarted, false)
		is.True(accepted)
		is.True(update.Complete)
		is.Equal(backendIDs(restarted), []string{"b0"})
	})
}

// A process reports only backends that contacted it directly: a peer's reports are not sent back or forwarded.
func TestReportsOfAPeerAreNotSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, peer := newTestMembership("c0", "east"), newTestMembership("c1", "west")
		m.OnHeartbeat(&api.Backend{Id: "b0", Service: "s", Address: "b0:1"})
		_, accepted := deliver(linkTo(m, "c1"), peer, true)
		is.True(accepted)
		update, _ := deliver(linkTo(peer, "c0"), m, true)
		is.Equal(len(update.Backends)+len(update.Heartbeats), 0)
	})
}

// Observations are kept for a peer that can't be reached until hintTTL, and are sent once.
func TestObservationsAreHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, peer := newTestMembership("c0", "east"), newTestMembership("c1", "west")
		link := linkTo(m, "c1")
		m.OnObservations([]*api.Observation{{Id: "b0"}, {Id: "b1"}})
		update, _ := deliver(link, peer, false)
		is.Equal(len(update.Observations), 2)
		update, _ = deliver(link, peer, false)
		is.Equal(len(update.Observations), 0)
		m.OnObservations([]*api.Observation{{Id: "b0"}})
		time.Sleep(hintTTL + time.Millisecond)
		update, _ = deliver(link, peer, false)
		is.Equal(len(update.Observations), 0) // by then, heartbeats have reported the same
	})
}

func TestExpiredMembersLeaveTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newTestMembership("c0", "east")
		m.OnHeartbeat(&api.Backend{Id: "b0", Service: "s", Address: "b0:1"})
		m.OnNodeCall(&api.Node{Name: "n0", Address: "n0:1", Incarnation: 1})
		m.OnWatch("n0")
		time.Sleep(m.BackendTimeout())
		m.expire()
		is.Equal(backendIDs(m), []string{"b0"})
		time.Sleep(nodeTimeout)
		m.expire()
		is.Equal(len(backendIDs(m)), 0)
		is.Equal(len(m.feed.Nodes()), 0)
		is.Equal(len(m.Subscribers()), 0)
	})
}

// A backend is told the address of a control process in its own zone, as long as that process sends updates.
func TestBackendIsNamedAPeerInItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newTestMembership("c0", "east")
		m.OnPeerUpdate(&api.MembershipUpdate{From: "c1", Node: &api.ControlNode{Address: "c1", Zone: "west", PublicAddress: "c1-public"}})
		is.Equal(m.peerInZone("west"), "c1-public")
		is.Equal(m.peerInZone("east"), "") // this process is in that zone itself
		is.Equal(m.peerInZone("north"), "")
		time.Sleep(peerTimeout)
		is.Equal(m.peerInZone("west"), "")
	})
}
