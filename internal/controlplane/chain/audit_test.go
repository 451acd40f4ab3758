package chain

import (
	"fmt"
	"strings"

	"marlreel/internal/api"
)

// auditAcknowledged checks that every disk in a head's chain holds the entry that the head has just acknowledged: the
// tail acknowledges an entry only after all members before it have it on disk.
func (c *cluster) auditAcknowledged(head *process, entry *api.Entry) {
	c.t.Helper()
	for _, p := range c.processes {
		if p.disk == nil || !containsMember(head.node.View().Chain, p.disk.Self) {
			continue
		}
		if last := p.disk.lastPosition(); last.GetSequence() < entry.Sequence {
			c.fail("%s acknowledged entry %d, but the log on the disk of %s ends at %d", head.address, entry.Sequence, p.address, last.GetSequence())
		}
	}
}

// audit checks that no acknowledged operation is lost, that none is applied twice, and that all processes apply them in
// the same order.
func (c *cluster) audit() {
	c.t.Helper()
	var longest []string
	for _, p := range c.processes {
		if p.node == nil {
			continue
		}
		applied := p.machine.applied
		short, long := applied, longest
		if len(short) > len(long) {
			short, long = long, short
		}
		for i, name := range short {
			if long[i] != name {
				c.fail("%s applied %s at index %d, but another process applied %s", p.address, applied[i], i, longest[i])
			}
		}
		if len(applied) > len(longest) {
			longest = applied
		}
	}
	seen := map[string]bool{}
	for _, name := range longest {
		if seen[name] {
			c.fail("%s was applied twice", name)
		}
		seen[name] = true
	}
	logged := map[string]bool{}
	for _, p := range c.processes {
		if p.disk == nil {
			continue
		}
		for _, entry := range p.disk.Entries {
			logged[entry.Operations[0].GetEvacuation().GetZone()] = true
		}
	}
	for _, name := range c.acknowledged {
		if !seen[name] && !logged[name] {
			c.fail("%s was acknowledged but is lost", name)
		}
	}
}

// auditService checks that every process that is in service and reaches a majority has applied all acknowledged
// operations, so that its state is up to date.
func (c *cluster) auditService() {
	c.t.Helper()
	for _, p := range c.processes {
		if p.node == nil || !p.node.Connected() {
			continue
		}
		applied := map[string]bool{}
		for _, name := range p.machine.applied {
			applied[name] = true
		}
		for _, name := range c.acknowledged[:max(0, len(c.acknowledged)-2)] { // the last ones may still be in flight
			if !applied[name] {
				c.fail("%s was acknowledged, but %s is in service without it", name, p.address)
			}
		}
	}
}

func (c *cluster) fail(format string, args ...any) {
	c.t.Helper()
	if c.panicOnFailure {
		panic(failure{fmt.Sprintf(format, args...)})
	}
	for _, line := range c.log {
		c.t.Log(line)
	}
	for _, p := range c.processes {
		if p.node != nil {
			c.t.Logf("%s: %s, position %v, in service %v, wedged %v, member %v", p.address, describe(p.node.View()),
				p.node.durable.lastPosition(), p.node.InService(), p.node.wedged(), p.node.isMember())
		}
	}
	c.t.Fatalf(format, args...)
}

// describe formats a view for the output of a failed test.
func describe(view *api.View) string {
	return fmt.Sprintf("view %d: chain %s, %d members", view.Number, strings.Join(addressesOf(view.Chain), " "), len(view.Members))
}
