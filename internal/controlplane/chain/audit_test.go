package chain

import (
	"fmt"
	"strings"

	"marlreel/internal/api"
)

// auditAcknowledged checks that each disk of a head's chain holds what the head has just acknowledged: the tail had
// it, and so had all before it.
func (c *cluster) auditAcknowledged(head *process, entry *api.Entry) {
	c.t.Helper()
	for _, p := range c.processes {
		if p.disk == nil || !containsMember(head.node.View().Chain, p.disk.Self) {
			continue
		}
		if last := p.disk.lastPosition(); last.GetSequence() < entry.Sequence {
			c.fail("%s has acknowledged %d, and the disk of %s reaches to %d", head.address, entry.Sequence, p.address, last.GetSequence())
		}
	}
}

// audit checks that all that was acknowledged is there, once, in one order for all.
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
				c.fail("%s has applied %s in place %d, another one %s", p.address, applied[i], i, longest[i])
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
			c.fail("%s was acknowledged and is gone", name)
		}
	}
}

// auditService checks that whoever is in service, and reaches a majority, has all that was
// acknowledged: its state is not old.
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
		for _, name := range c.acknowledged[:max(0, len(c.acknowledged)-2)] { // the last ones are on their way
			if !applied[name] {
				c.fail("%s was acknowledged, and %s is in service without it", name, p.address)
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

// describe is a view in the text of a failed test.
func describe(view *api.View) string {
	return fmt.Sprintf("view %d: chain %s, %d members", view.Number, strings.Join(addressesOf(view.Chain), " "), len(view.Members))
}
