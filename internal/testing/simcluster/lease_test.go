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

// placementHolder is the machine that holds the role of placing models, as a control process sees it; nil: none is known.
func (c *Cluster) placementHolder() *Machine {
	for _, m := range c.Controls {
		var status controlplane.Status
		code, answer, err := c.callControl(m, "GET", "/marlreel/status", "", "")
		if err == nil && code == 200 && json.Unmarshal([]byte(answer), &status) == nil && len(status.Leases) == 1 {
			return c.holderOf(status.Leases[0])
		}
	}
	return nil
}

// placementLease is who places the models, and under which token.
func (c *Cluster) placementLease(t *testing.T) controlplane.LeaseStatus {
	t.Helper()
	status, answer, err := c.CallOperatorAPI("GET", "/marlreel/status", "", "", 4*time.Second)
	if err != nil || status != 200 {
		t.Fatalf("status: %d %v", status, err)
	}
	var s controlplane.Status
	if err := json.Unmarshal([]byte(answer), &s); err != nil || len(s.Leases) != 1 {
		t.Fatalf("status: %s %v", answer, err)
	}
	return s.Leases[0]
}

func (c *Cluster) holderOf(role controlplane.LeaseStatus) *Machine {
	name, _, _ := strings.Cut(role.Holder, "/")
	for _, m := range c.Edges {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// A holder that gets SIGTERM gives its role up at once, to a node that stays.
func TestLeaseIsReleasedAtSIGTERM(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placementLease(t)
		leaving := c.holderOf(before)
		var ended sync.WaitGroup
		ended.Go(leaving.Terminate)
		c.Sleep(time.Second)
		after := c.placementLease(t)
		is.True(c.holderOf(after) != leaving)
		is.True(after.FencingToken > before.FencingToken)
		ended.Wait()
		c.Sleep(5 * time.Second)
		is.Equal(c.placementLease(t), after) // and it stays there
	})
}

// A holder that dies is replaced once its lease has run out, by one that lives, and the
// token rises with every change of hands and with nothing else.
func TestLeaseOfADeadHolderIsGrantedOnce(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placementLease(t)
		dead := c.holderOf(before)
		dead.Kill()
		c.Sleep(4 * time.Second)
		after := c.placementLease(t)
		is.True(c.holderOf(after) != dead)
		is.True(after.FencingToken <= before.FencingToken+2) // one that was dead too may have been tried
		c.Sleep(10 * time.Second)
		is.Equal(c.placementLease(t), after)
	})
}

// A node that has come back is another holder: its old self's role is free at once.
func TestLeaseOfARestartedHolderIsGrantedAtOnce(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placementLease(t)
		holder := c.holderOf(before)
		holder.Kill()
		holder.Start()
		c.Sleep(1200 * time.Millisecond)
		after := c.placementLease(t)
		is.True(after.Holder != before.Holder)
		is.True(after.FencingToken > before.FencingToken)
	})
}

// Where many nodes are lost at once, a role goes to one that still reports, not to one after the other of those
// that are lost as well.
func TestLeaseIsGrantedToANodeThatReports(t *testing.T) {
	runWithRelays(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placementLease(t)
		holder := c.holderOf(before)
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
		c.Sleep(2300 * time.Millisecond) // a lease, its margin, a look and a grant
		after := c.placementLease(t)
		is.Equal(after.FencingToken, before.FencingToken+1)
		is.True(c.holderOf(after) != nil)
		c.Sleep(5 * time.Second)
		is.Equal(c.placementLease(t), after) // who has it is alive
	})
}
