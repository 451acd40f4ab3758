package store

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/state"
)

// propose commits an operation in the chain of one member.
func (c *storedChain) propose(operation *api.Operation) {
	_, out := c.node.Propose(c.now, []*api.Operation{operation})
	c.save(out)
	c.tick()
}

// restarted reopens the store and returns the state machine of a process that starts from it.
func (c *storedChain) restarted() *state.Machine {
	c.reopen()
	durable, err := c.store.Load()
	if err != nil {
		c.t.Fatal(err)
	}
	machine := state.New()
	c.node = chain.New(c.config, durable, machine, nil, c.now)
	for range 40 { // the member agrees on a view with itself, which commits the last entry
		c.tick()
	}
	return machine
}

// Guards against tenants and keys that are lost, or reappear after their removal, when a process restarts from the log
// or from a snapshot.
func TestSubscribersSurviveSnapshotAndRestart(t *testing.T) {
	const document = `{"config_version":1,"route_list":[],"service_list":[],"limits":{},"subscribers":[` +
		`{"name":"north","access_keys":["k1","k2"],"later":[1,2.50]},{"name":"south","access_keys":["k3"]}]}`
	for name, entriesAfterwards := range map[string]int{"from the log": 0, "from a snapshot": 40} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := chain.DefaultConfig(1)
			config.MaxLogEntries = 8
			machine := state.New()
			c := newStoredChain(t, config, machine)
			for range 40 {
				c.tick()
			}
			c.propose(&api.Operation{Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{Document: []byte(document)}}})
			c.propose(&api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{
				BaseVersion: 1,
				Change:      []byte(`{"config_version":2,"upsert":{"subscribers":[{"name":"south","access_keys":["k4"]}]},"remove":{"subscribers":["none"]}}`),
			}}})
			for i := range entriesAfterwards {
				c.propose(&api.Operation{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: fmt.Sprint(i)}}})
			}
			is.Equal(machine.Version(), uint64(2))
			is.Equal(c.node.DurableState().Snapshot.GetSequence() > 2, entriesAfterwards > 0)

			read := c.restarted().Document()
			is.Equal(string(read.Raw()), string(machine.Document().Raw()))
			is.True(read.RequiresKeys())
			is.Equal(read.SubscriberByKey("k1").Name, "north")
			is.True(read.SubscriberByKey("k3") == nil) // removed by the change
			is.Equal(read.SubscriberByKey("k4").Name, "south")
		})
	}
}
