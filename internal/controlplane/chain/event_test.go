package chain

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// viewChange is an event that makes another view necessary in a cluster of three members in service, and the view that
// it leads to.
type viewChange struct {
	name    string
	change  func(c *cluster) (member string)
	reason  Reason
	chain   int
	members int
}

var viewChanges = []viewChange{
	{
		name:   "founding",
		change: func(*cluster) string { return "" },
		reason: ReasonFounding, chain: 3, members: 3,
	},
	{
		name: "a member of the chain fails",
		change: func(c *cluster) string {
			p := c.processOf(c.head().node.View().Chain[1])
			c.kill(p)
			return p.address
		},
		reason: ReasonMemberFailed, chain: 2, members: 3,
	},
	{
		name: "a member comes back",
		change: func(c *cluster) string {
			p := c.processOf(c.head().node.View().Chain[2])
			c.kill(p)
			c.runFor(time.Second)
			c.start(p, false)
			return p.address
		},
		reason: ReasonMemberRejoining, chain: 3, members: 3,
	},
	{
		name:   "a process joins",
		change: func(c *cluster) string { return c.add("d0", false).address },
		reason: ReasonMemberJoining, chain: 4, members: 4,
	},
	{
		name: "a member leaves",
		change: func(c *cluster) string {
			p := c.processOf(c.head().node.View().Chain[1])
			c.carryOut(p, p.node.Leave(c.now))
			return p.address
		},
		reason: ReasonMemberLeaving, chain: 2, members: 3,
	},
	{
		name: "a surplus member fails for long",
		change: func(c *cluster) string {
			c.add("d0", false)
			c.runFor(settleTime)
			p := c.processOf(c.head().node.View().Chain[1])
			c.kill(p)
			return p.address
		},
		reason: ReasonMemberRemoved, chain: 3, members: 3,
	},
}

// Each view change is reported with its reason and the member that it concerns, and then with the installed view.
func TestEventsOfViewChanges(t *testing.T) {
	for _, tc := range viewChanges {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 40, 3)
			if tc.reason != ReasonFounding {
				c.mustServe("founding")
				c.events = nil
			}
			member := tc.change(c)
			c.runFor(settleTime)
			view := c.head().node.View()
			is.True(slices.Contains(c.events, Event(ViewProposed{Number: view.Number, Reason: tc.reason, Member: member})))
			installed := 0
			for _, event := range c.events {
				event, ok := event.(ViewInstalled)
				if ok && event.Number == view.Number {
					installed++
					is.Equal(event.Chain, addressesOf(view.Chain))
					is.Equal(event.Members, tc.members)
					is.Equal(len(event.Chain), tc.chain)
				}
			}
			is.True(installed >= len(view.Chain)) // at each member of the chain
		})
	}
}
