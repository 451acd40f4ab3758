package chain

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// readInterval is the time between two reads at each process that can answer them.
const readInterval = 70 * time.Millisecond

// operation is a client's call to the replicated register.
type operation struct {
	read bool
	name string // the name that a write adds
}

// observed is the result of an operation: the number of entries in the register after it.
type observed struct{ entries int }

// registerModel models a register of entries: each write adds one, and a read returns the number of entries written
// before it.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		entries, got := state.(int), output.(observed).entries
		if input.(operation).read {
			return got == entries, entries
		}
		return got == entries+1, entries + 1
	},
	Equal: func(a, b any) bool { return a == b },
}

// clients records the calls of a cluster's clients and their answers.
type clients struct {
	called map[string]time.Duration // writes, by name
	acked  map[string]time.Duration
	reads  []porcupine.Operation
	tokens uint64
}

func newClients() *clients {
	return &clients{called: map[string]time.Duration{}, acked: map[string]time.Duration{}}
}

// read sends a read to each process that can answer it.
func (c *cluster) read() {
	for _, p := range c.processes {
		if p.node == nil || p.frozen || p.stalled || !p.node.CanRead() {
			continue
		}
		c.clients.tokens++
		p.reads[c.clients.tokens] = c.now
		c.carryOut(p, p.node.ConfirmView(c.now, c.clients.tokens))
	}
}

// answerRead answers a read that a majority has confirmed.
func (c *cluster) answerRead(p *process, token uint64) {
	called, waits := p.reads[token]
	if !waits {
		return
	}
	delete(p.reads, token)
	c.clients.reads = append(c.clients.reads, porcupine.Operation{
		Input: operation{read: true}, Call: int64(called),
		Output: observed{len(p.machine.applied)}, Return: int64(c.now),
	})
}

// operations returns all reads and all agreed writes, with each write's index in the agreed order. Writes that were
// lost are left out, so a read that saw one can't be linearized.
func (c *cluster) operations(agreed []string) []porcupine.Operation {
	operations := append([]porcupine.Operation(nil), c.clients.reads...)
	for at, name := range agreed {
		answered, acknowledged := c.clients.acked[name]
		if !acknowledged {
			answered = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			Input: operation{name: name}, Call: int64(c.clients.called[name]),
			Output: observed{at + 1}, Return: int64(answered),
		})
	}
	for i := range operations {
		operations[i].ClientId = i // each call may overlap any other
	}
	return operations
}

// auditLinearizable checks that the clients' operations are linearizable.
func (c *cluster) auditLinearizable() {
	c.t.Helper()
	var agreed []string
	for _, p := range c.processes {
		if p.node != nil && len(p.machine.applied) > len(agreed) {
			agreed = p.machine.applied
		}
	}
	operations := c.operations(agreed)
	if len(c.clients.reads) == 0 {
		c.fail("no read was answered")
	}
	const checkTimeout = 20 * time.Second
	switch porcupine.CheckOperationsTimeout(registerModel, operations, checkTimeout) {
	case porcupine.Illegal:
		c.fail("%d operations are not linearizable", len(operations))
	case porcupine.Unknown:
		c.fail("%d operations could not be checked for linearizability within %s", len(operations), checkTimeout)
	}
}

// The model accepts linearizable operations and rejects each kind of violation.
func TestRegisterModel(t *testing.T) {
	const ms = int64(time.Millisecond)
	write := func(call, answered int64, place int) porcupine.Operation {
		return porcupine.Operation{Input: operation{name: fmt.Sprint(place)}, Call: call * ms, Output: observed{place}, Return: answered * ms}
	}
	read := func(call, answered int64, entries int) porcupine.Operation {
		return porcupine.Operation{Input: operation{read: true}, Call: call * ms, Output: observed{entries}, Return: answered * ms}
	}
	for name, tc := range map[string]struct {
		operations   []porcupine.Operation
		linearizable bool
	}{
		"in order":                    {[]porcupine.Operation{write(1, 2, 1), read(3, 4, 1), write(5, 6, 2), read(7, 8, 2)}, true},
		"a read during a write":       {[]porcupine.Operation{write(1, 2, 1), write(3, 9, 2), read(4, 5, 1), read(6, 7, 2)}, true},
		"a stale read":                {[]porcupine.Operation{write(1, 2, 1), write(3, 4, 2), read(5, 6, 1)}, false},
		"a later read sees less":      {[]porcupine.Operation{write(1, 9, 1), read(2, 3, 1), read(4, 5, 0)}, false},
		"a read of an unagreed write": {[]porcupine.Operation{write(1, 2, 1), read(3, 4, 2)}, false},
		"agreed in another order":     {[]porcupine.Operation{write(1, 2, 2), write(3, 4, 1)}, false},
		"a read before the write":     {[]porcupine.Operation{read(1, 2, 1), write(3, 4, 1)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range tc.operations {
				tc.operations[i].ClientId = i
			}
			is.Equal(porcupine.CheckOperations(registerModel, tc.operations), tc.linearizable)
		})
	}
}
