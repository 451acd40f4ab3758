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

// placementHolder returns the machine that holds the placement lease, according to a control process, or
// nil if none is known.
func (c *Cluster) placementHolder() *Machine {
	for _, m := range c.Controls {
		status := c.fetchStatus(m)
		if status != nil && len(status.Leases) == 1 {
			return c.holderOf(status.Leases[0])
		}
	}
	return nil
}

// placementLease returns the placement lease with its holder and fencing token.
func (c *Cluster) placementLease(t *testing.T) controlplane.LeaseStatus {
	t.Helper()
	status, answer, err := c.CallOperatorAPI("GET", "/marlreel/status", "", "", 4*time.Second)
	if err != nil || status != 200 {
		t.Fatalf("reading the status: %d %v", status, err)
	}
	var s controlplane.Status
	if err := json.Unmarshal([]byte(answer), &s); err != nil || len(s.Leases) != 1 {
		t.Fatalf("no status with one lease: %s %v", answer, err)
	}
	return s.Leases[0]
}

// holderOf returns the machine that holds a lease, or nil if it is none of the edges.
func (c *Cluster) holderOf(lease controlplane.LeaseStatus) *Machine {
	name, _, _ := strings.Cut(lease.Holder, "/")
	for _, m := range c.Edges {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// A holder that receives SIGTERM releases its lease at once, and the lease is granted to a node that keeps running.
func TestLeaseIsReleasedAtSIGTERM(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placementLease(t)
		draining := c.holderOf(before)
		var ended sync.WaitGroup
		ended.Go(draining.Terminate)
		c.Sleep(time.Second)
		after := c.placementLease(t)
		is.True(c.holderOf(after) != draining)
		is.True(after.FencingToken > before.FencingToken)
		ended.Wait()
		c.Sleep(5 * time.Second)
		is.Equal(c.placementLease(t), after) // it isn't granted again
	})
}

// The lease of a killed holder is granted to a running node once it has expired. The fencing token increases with each
// grant to another holder, and only then.
func TestLeaseOfADeadHolderIsGrantedOnce(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		before := c.placementLease(t)
		dead := c.holderOf(before)
		dead.Kill()
		c.Sleep(4 * time.Second)
		after := c.placementLease(t)
		is.True(c.holderOf(after) != dead)
		is.True(after.FencingToken <= before.FencingToken+2) // one more grant to a node that isn't running is allowed
		c.Sleep(10 * time.Second)
		is.Equal(c.placementLease(t), after)
	})
}

// A restarted node is a different holder: the lease of its earlier incarnation can be granted at once.
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

// When many nodes fail at once, a lease is granted to one that still reports, and not to one failed node after the other.
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
		c.Sleep(2300 * time.Millisecond) // lease duration, margin, check interval and grant
		after := c.placementLease(t)
		is.Equal(after.FencingToken, before.FencingToken+1)
		is.True(c.holderOf(after) != nil)
		c.Sleep(5 * time.Second)
		is.Equal(c.placementLease(t), after) // its holder keeps it
	})
}
