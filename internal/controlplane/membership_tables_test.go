package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

var tableTestStart = time.Unix(1_700_000_000, 0)

func TestBackendsExpire(t *testing.T) {
	const interval = time.Second
	for name, c := range map[string]struct {
		report  func(table *backendTable)
		after   time.Duration
		lost    bool // the peer that reported the backend has timed out
		expired bool
	}{
		"a backend does not expire within the timeout": {
			report: func(b *backendTable) { b.lastSeen.onContact(tableTestStart, "b") },
			after:  3500 * time.Millisecond,
		},
		"it expires after the timeout": {
			report: func(b *backendTable) { b.lastSeen.onContact(tableTestStart, "b") },
			after:  3501 * time.Millisecond, expired: true,
		},
		"a peer's report has the same timeout": {
			report: func(b *backendTable) { b.lastSeen.onReport("peer", "b", tableTestStart) },
			after:  3501 * time.Millisecond, expired: true,
		},
		"the timeout is longer if that peer has timed out": {
			report: func(b *backendTable) { b.lastSeen.onReport("peer", "b", tableTestStart) },
			after:  lostPeerFactor * 3500 * time.Millisecond, lost: true,
		},
		"the longer timeout ends, too": {
			report: func(b *backendTable) { b.lastSeen.onReport("peer", "b", tableTestStart) },
			after:  lostPeerFactor*3500*time.Millisecond + 1, lost: true, expired: true,
		},
		"an older report changes nothing": {
			report: func(b *backendTable) {
				b.lastSeen.onContact(tableTestStart, "b")
				b.lastSeen.onReport("peer", "b", tableTestStart.Add(-time.Second))
			},
			after: 3501 * time.Millisecond, lost: true, expired: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newBackendTable(interval)
			c.report(table)
			expired := table.expire(tableTestStart.Add(c.after), func(string) bool { return c.lost })
			is.Equal(expired["b"], c.expired)
			is.Equal(len(table.lastSeen) == 0, c.expired)
		})
	}
}

func TestOnlyDirectContactsAreReported(t *testing.T) {
	is := is.New(t)
	table := lastSeenTable{}
	is.True(!table.reportedHere("b"))
	table.onReport("peer", "b", tableTestStart)
	is.True(!table.reportedHere("b"))
	table.onContact(tableTestStart.Add(1), "b")
	is.True(table.reportedHere("b"))
	table.onReport("peer", "b", tableTestStart.Add(1)) // not newer
	is.True(table.reportedHere("b"))
	table.onReport("peer", "b", tableTestStart.Add(2))
	is.True(!table.reportedHere("b"))
}

func TestNodesExpire(t *testing.T) {
	is := is.New(t)
	table := newNodeTable()
	is.True(!table.onCall(tableTestStart, "n"))
	is.True(table.onCall(tableTestStart, "n"))
	table.expire(tableTestStart.Add(nodeTimeout))
	is.True(table.onCall(tableTestStart, "n"))
	table.expire(tableTestStart.Add(nodeTimeout + 1))
	is.True(!table.onCall(tableTestStart, "n"))
}

func TestSubscribersExpire(t *testing.T) {
	is := is.New(t)
	table := newSubscriberTable()
	table.onWatch(tableTestStart, "b")
	table.onWatch(tableTestStart.Add(1), "a")
	is.Equal(table.names(), []string{"a", "b"})
	table.expire(tableTestStart.Add(subscriberTimeout + 1))
	is.Equal(table.names(), []string{"a"})
}

func TestPeersTimeOut(t *testing.T) {
	is := is.New(t)
	table := newPeerTable()
	is.True(table.timedOut(tableTestStart, "c1")) // it has never sent an update
	table.onUpdate(tableTestStart, "c1", &api.ControlNode{Address: "c1", Zone: "east", PublicAddress: "c1-public"})
	table.onUpdate(tableTestStart, "c2", nil)
	limit := tableTestStart.Add(peerTimeout)
	is.True(!table.timedOut(limit, "c1"))
	is.True(table.timedOut(limit.Add(1), "c1"))
	is.Equal(table.inZone(limit.Add(-1), "east"), "c1-public")
	is.Equal(table.inZone(limit, "east"), "")
	is.Equal(table.inZone(tableTestStart, "west"), "")

	// An update without a zone leaves the known one unchanged.
	table.onUpdate(limit, "c1", nil)
	is.Equal(table.inZone(limit, "east"), "c1-public")
}

func TestControlNodesOfAView(t *testing.T) {
	is := is.New(t)
	table, self := newPeerTable(), &api.ControlNode{Address: "self", Zone: "north"}
	table.onUpdate(tableTestStart, "c1", &api.ControlNode{Address: "c1", Zone: "east"})
	table.onUpdate(tableTestStart, "gone", &api.ControlNode{Address: "gone", Zone: "east"})
	nodes := table.controlNodes(self, []string{"c2", "self", "c1"})
	is.Equal(len(nodes), 3)
	is.Equal(nodes[0].Address, "c2")
	is.Equal(nodes[0].Zone, "") // it has not sent its zone yet
	is.Equal(nodes[1], self)
	is.Equal(nodes[2].Zone, "east")
}
