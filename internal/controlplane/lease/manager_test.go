package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// fixture is a manager whose clock and replicated state are set by the test.
type fixture struct {
	*Manager
	now   time.Time
	owned *api.Ownership
}

func newFixture(config Config) *fixture {
	t := &fixture{now: time.Unix(1_700_000_000, 0)}
	t.Manager = NewManager(config, func() time.Time { return t.now })
	t.OnView(1, true)
	return t
}

// nodes returns nodes of incarnation 1 that have just reported.
func nodes(names ...string) []*api.Node {
	var all []*api.Node
	for _, name := range names {
		all = append(all, &api.Node{Name: name, Address: name + ":1", Incarnation: 1})
	}
	return all
}

// due returns the grant that is due, or nil.
func (t *fixture) due(nodes []*api.Node) *api.GrantOwnership {
	grants := t.DueGrants([]Record{{Key: "key", Ownership: t.owned}}, nodes)
	if len(grants) == 0 {
		return nil
	}
	return grants[0].GetGrant()
}

// commit applies a grant to the replicated state.
func (t *fixture) commit(grant *api.GrantOwnership) {
	t.owned = &api.Ownership{Key: grant.Key, Holder: grant.Holder, FencingToken: grant.GetReplacesFencingToken() + 1}
}

// renews reports whether a renewal by the holder succeeds.
func (t *fixture) renews(holder string) bool {
	return len(t.Renew(holder, false, []*api.Ownership{t.owned})) > 0
}

func TestConfigOfADeployment(t *testing.T) {
	for name, c := range map[string]struct {
		duration time.Duration
		checked  bool
		want     Config
	}{
		"backends check tokens": {3 * time.Second, true, Config{GrantDuration: 1500 * time.Millisecond, TransferWait: 1750 * time.Millisecond}},
		"backends don't": {3 * time.Second, false, Config{
			GrantDuration: 1500 * time.Millisecond, TransferWait: 1750 * time.Millisecond, HandoverGap: 3 * time.Second,
		}},
		"no duration is set": {0, true, Config{GrantDuration: DefaultDuration / 2, TransferWait: DefaultDuration/2 + 250*time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := NewConfig(c.duration, c.checked)
			c.want.AcceptTimeout, c.want.MaxCandidateAge = 700*time.Millisecond, 700*time.Millisecond
			is.Equal(got, c.want)
		})
	}
}

// A lease is transferred as soon as the wait for the reason of the transfer is over, and not before.
func TestLeaseTransferTime(t *testing.T) {
	checked, unchecked := NewConfig(3*time.Second, true), NewConfig(3*time.Second, false)
	held := func(t *fixture) { t.renews("a/00000001") }
	released := func(t *fixture) { t.Renew("a/00000001", true, []*api.Ownership{t.owned}) }
	ignored := func(*fixture) {}
	restarted := []*api.Node{{Name: "a", Address: "a:1", Incarnation: 2}}
	for name, c := range map[string]struct {
		config Config
		before func(t *fixture)
		nodes  []*api.Node
		after  time.Duration
	}{
		"the holder stops renewing":              {checked, held, nodes("a", "b"), checked.TransferWait},
		"the same, and tokens are unchecked":     {unchecked, held, nodes("a", "b"), unchecked.TransferWait + unchecked.HandoverGap},
		"the holder released it":                 {checked, released, nodes("a", "b"), 0},
		"released, and tokens are not checked":   {unchecked, released, nodes("a", "b"), unchecked.HandoverGap},
		"the holder was restarted":               {checked, held, restarted, 0},
		"the new holder does not accept it":      {checked, ignored, nodes("a", "b"), checked.AcceptTimeout},
		"not accepted, and tokens are unchecked": {unchecked, ignored, nodes("a", "b"), unchecked.AcceptTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(c.config)
			fixture.commit(fixture.due(nodes("a")))
			is.True(fixture.due(nodes("a")) == nil) // the manager sees the committed grant
			c.before(fixture)
			fixture.now = fixture.now.Add(c.after)
			is.True(fixture.due(c.nodes) == nil)
			fixture.now = fixture.now.Add(1)
			grant := fixture.due(c.nodes)
			is.True(grant != nil)
			is.True(grant.Holder != "a/00000001")
			is.Equal(grant.GetReplacesFencingToken(), uint64(1))
		})
	}
}

// A renewal that was in flight during the release may arrive late. If it undid the release, the lease would stay
// without a holder for as long as after a failure.
func TestLateRenewalDoesNotUndoRelease(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(NewConfig(3*time.Second, true))
	fixture.commit(fixture.due(nodes("a")))
	is.True(fixture.renews("a/00000001"))
	fixture.Renew("a/00000001", true, []*api.Ownership{fixture.owned})
	is.True(!fixture.renews("a/00000001"))
	fixture.now = fixture.now.Add(1)
	is.True(fixture.due(nodes("a", "b")) != nil)
}

// A new head waits for the expiry of renewals that its predecessor may have answered until the new head took over.
func TestNewHeadWaitsForLeaseExpiry(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(NewConfig(3*time.Second, true))
	fixture.owned = &api.Ownership{Key: "key", Holder: "a/00000001", FencingToken: 7}
	is.True(fixture.due(nodes("b")) == nil)
	fixture.now = fixture.now.Add(fixture.config.TransferWait)
	is.True(fixture.due(nodes("b")) == nil)
	fixture.now = fixture.now.Add(1)
	is.Equal(fixture.due(nodes("b")).GetReplacesFencingToken(), uint64(7))
}

func TestCandidates(t *testing.T) {
	fresh, old := nodes("fresh")[0], &api.Node{Name: "old", Incarnation: 1, AgeMs: 701}
	draining := &api.Node{Name: "draining", Incarnation: 1, Draining: true}
	freshFailed, oldFailed := map[string]bool{"fresh/00000001": true}, map[string]bool{"fresh/00000001": true, "old/00000001": true}
	for name, c := range map[string]struct {
		unresponsive map[string]bool
		from         []*api.Node
		want         []*api.Node
		waived       bool // the unresponsive holders are no longer excluded
	}{
		"nodes that reported recently":        {nil, []*api.Node{draining, old, fresh}, []*api.Node{fresh}, false},
		"a node with an older report":         {freshFailed, []*api.Node{draining, old, fresh}, []*api.Node{old}, false},
		"holders that did not accept it":      {oldFailed, []*api.Node{draining, old, fresh}, []*api.Node{old, fresh}, true},
		"draining nodes, if all are draining": {freshFailed, []*api.Node{draining}, []*api.Node{draining}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, unresponsive := candidates(c.from, c.unresponsive, 700*time.Millisecond)
			is.Equal(got, c.want)
			is.Equal(unresponsive == nil, c.waived || c.unresponsive == nil)
		})
	}
}
