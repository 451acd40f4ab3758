package simcluster

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/controlplane"
)

// placer is who places the models, and under which token.
func (c *Cluster) placer(t *testing.T) controlplane.LeaseStatus {
	t.Helper()
	status, answer, err := c.Call("GET", "/marlreel/status", "", "", 4*time.Second)
	if err != nil || status != 200 {
		t.Fatalf("status: %d %v", status, err)
	}
	var s controlplane.Status
	if err := json.Unmarshal([]byte(answer), &s); err != nil || len(s.Leases) != 1 {
		t.Fatalf("status: %s %v", answer, err)
	}
	return s.Leases[0]
}

func (c *Cluster) holder(role controlplane.LeaseStatus) *Machine {
	name, _, _ := strings.Cut(role.Holder, "/")
	for _, m := range c.Edges {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// A holder that gets SIGTERM gives its role up at once, to a node that stays.
func TestRoleIsGivenUpAtSIGTERM(t *testing.T) {
	play(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placer(t)
		leaving := c.holder(before)
		var ended sync.WaitGroup
		ended.Go(leaving.Terminate)
		c.Pass(time.Second)
		after := c.placer(t)
		is.True(c.holder(after) != leaving)
		is.True(after.FencingToken > before.FencingToken)
		ended.Wait()
		c.Pass(5 * time.Second)
		is.Equal(c.placer(t), after) // and it stays there
	})
}

// A holder that dies is replaced once its lease has run out, by one that lives, and the
// token rises with every change of hands and with nothing else.
func TestRoleOfADeadHolderPassesOnce(t *testing.T) {
	play(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placer(t)
		dead := c.holder(before)
		dead.Kill()
		c.Pass(4 * time.Second)
		after := c.placer(t)
		is.True(c.holder(after) != dead)
		is.True(after.FencingToken <= before.FencingToken+2) // one that was dead too may have been tried
		c.Pass(10 * time.Second)
		is.Equal(c.placer(t), after)
	})
}

// A node that has come back is another holder: its old self's role is free at once.
func TestRoleOfARestartedHolderPassesAtOnce(t *testing.T) {
	play(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placer(t)
		holder := c.holder(before)
		holder.Kill()
		holder.Start()
		c.Pass(1200 * time.Millisecond)
		after := c.placer(t)
		is.True(after.Holder != before.Holder)
		is.True(after.FencingToken > before.FencingToken)
	})
}

// Where many nodes are lost at once, a role goes to one that still reports, not to one after the other of those
// that are lost as well.
func TestRolePassesToANodeThatReports(t *testing.T) {
	playHomes(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placer(t)
		holder := c.holder(before)
		survivors := 0
		var ended sync.WaitGroup
		for _, edge := range c.Edges {
			if edge != holder && survivors < 2 {
				survivors++
				continue
			}
			ended.Go(edge.Kill)
		}
		ended.Wait()
		c.Pass(2300 * time.Millisecond) // a lease, its margin, a look and a grant
		after := c.placer(t)
		is.Equal(after.FencingToken, before.FencingToken+1)
		is.True(c.holder(after) != nil)
		c.Pass(5 * time.Second)
		is.Equal(c.placer(t), after) // who has it is alive
	})
}
