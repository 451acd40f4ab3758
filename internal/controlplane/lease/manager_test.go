package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// trial is a manager with a clock and a replicated state that the test sets.
type trial struct {
	*Manager
	now   time.Time
	owned *api.Ownership
}

func newTrial(config Config) *trial {
	t := &trial{now: time.Unix(1_700_000_000, 0)}
	t.Manager = NewManager(config, func() time.Time { return t.now })
	t.OnView(1, true)
	return t
}

// nodes are nodes of incarnation 1 that have just reported.
func nodes(names ...string) []*api.Node {
	var all []*api.Node
	for _, name := range names {
		all = append(all, &api.Node{Name: name, Address: name + ":1", Incarnation: 1})
	}
	return all
}

// due returns the grant that is due; nil: none is.
func (t *trial) due(nodes []*api.Node) *api.GrantOwnership {
	grants := t.DueGrants([]Record{{Key: "key", Ownership: t.owned}}, nodes)
	if len(grants) == 0 {
		return nil
	}
	return grants[0].GetGrant()
}

// commit takes a grant into the replicated state.
func (t *trial) commit(grant *api.GrantOwnership) {
	t.owned = &api.Ownership{Key: grant.Key, Holder: grant.Holder, FencingToken: grant.GetReplacesFencingToken() + 1}
}

// renews reports whether the holder's renewal is answered with the lease.
func (t *trial) renews(holder string) bool {
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
		"no duration is named": {0, true, Config{GrantDuration: DefaultDuration / 2, TransferWait: DefaultDuration/2 + 250*time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := NewConfig(c.duration, c.checked)
			c.want.AcceptTimeout, c.want.MaxCandidateAge = 700*time.Millisecond, 700*time.Millisecond
			is.Equal(got, c.want)
		})
	}
}

// A lease passes on at its moment and not before, whatever it passes on for.
func TestLeasePassesOnAtItsMoment(t *testing.T) {
	checked, unchecked := NewConfig(3*time.Second, true), NewConfig(3*time.Second, false)
	held := func(t *trial) { t.renews("a/00000001") }
	released := func(t *trial) { t.Renew("a/00000001", true, []*api.Ownership{t.owned}) }
	ignored := func(*trial) {}
	restarted := []*api.Node{{Name: "a", Address: "a:1", Incarnation: 2}}
	for name, c := range map[string]struct {
		config Config
		before func(t *trial)
		nodes  []*api.Node
		after  time.Duration
	}{
		"the holder is silent":                     {checked, held, nodes("a", "b"), checked.TransferWait},
		"the same, and tokens aren't checked":      {unchecked, held, nodes("a", "b"), unchecked.TransferWait + unchecked.HandoverGap},
		"the holder released it":                   {checked, released, nodes("a", "b"), 0},
		"the same, and tokens are not checked":     {unchecked, released, nodes("a", "b"), unchecked.HandoverGap},
		"the holder was restarted":                 {checked, held, restarted, 0},
		"the new holder does not accept it":        {checked, ignored, nodes("a", "b"), checked.AcceptTimeout},
		"nor when tokens are not checked, as fast": {unchecked, ignored, nodes("a", "b"), unchecked.AcceptTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			trial := newTrial(c.config)
			trial.commit(trial.due(nodes("a")))
			is.True(trial.due(nodes("a")) == nil) // the grant is seen
			c.before(trial)
			trial.now = trial.now.Add(c.after)
			is.True(trial.due(c.nodes) == nil)
			trial.now = trial.now.Add(1)
			grant := trial.due(c.nodes)
			is.True(grant != nil)
			is.True(grant.Holder != "a/00000001")
			is.Equal(grant.GetReplacesFencingToken(), uint64(1))
		})
	}
}

// Guards against a released lease that nobody has for as long as one that was lost: a renewal that was under way comes late.
func TestLateRenewalDoesNotTakeAReleaseBack(t *testing.T) {
	is := is.New(t)
	trial := newTrial(NewConfig(3*time.Second, true))
	trial.commit(trial.due(nodes("a")))
	is.True(trial.renews("a/00000001"))
	trial.Renew("a/00000001", true, []*api.Ownership{trial.owned})
	is.True(!trial.renews("a/00000001"))
	trial.now = trial.now.Add(1)
	is.True(trial.due(nodes("a", "b")) != nil)
}

// A new head waits out what the one before it may have answered until it was found to be the head.
func TestNewHeadWaitsOutTheLeases(t *testing.T) {
	is := is.New(t)
	trial := newTrial(NewConfig(3*time.Second, true))
	trial.owned = &api.Ownership{Key: "key", Holder: "a/00000001", FencingToken: 7}
	is.True(trial.due(nodes("b")) == nil)
	trial.now = trial.now.Add(trial.config.TransferWait)
	is.True(trial.due(nodes("b")) == nil)
	trial.now = trial.now.Add(1)
	is.Equal(trial.due(nodes("b")).GetReplacesFencingToken(), uint64(7))
}

func TestCandidates(t *testing.T) {
	fresh, old := nodes("fresh")[0], &api.Node{Name: "old", Incarnation: 1, AgeMs: 701}
	draining := &api.Node{Name: "draining", Incarnation: 1, Draining: true}
	freshFailed, oldFailed := map[string]bool{"fresh/00000001": true}, map[string]bool{"fresh/00000001": true, "old/00000001": true}
	for name, c := range map[string]struct {
		unresponsive map[string]bool
		from         []*api.Node
		want         []*api.Node
		waived       bool // the unresponsive holders are forgotten
	}{
		"those that reported lately":             {nil, []*api.Node{draining, old, fresh}, []*api.Node{fresh}, false},
		"an older report":                        {freshFailed, []*api.Node{draining, old, fresh}, []*api.Node{old}, false},
		"holders that did not accept it":         {oldFailed, []*api.Node{draining, old, fresh}, []*api.Node{old, fresh}, true},
		"those that are draining, where all are": {freshFailed, []*api.Node{draining}, []*api.Node{draining}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, unresponsive := candidates(c.from, c.unresponsive, 700*time.Millisecond)
			is.Equal(got, c.want)
			is.Equal(unresponsive == nil, c.waived || c.unresponsive == nil)
		})
	}
}
