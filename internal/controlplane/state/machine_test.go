package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

// document is a configuration of a version with a route at a place.
func document(version uint64, place string) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"route_list":[{"name":"r","host":"h.example","path_prefix":"/%s/","timeout_ms":9,"service":"s"}],`+
		`"service_list":[{"name":"s"}],"limits":{}}`, version, place)
}

func replace(base uint64, body []byte) *api.Operation {
	return &api.Operation{Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: base, Document: body}}}
}

func modify(base uint64, body string) *api.Operation {
	return &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{BaseVersion: base, Change: []byte(body)}}}
}

func evacuation(zone string, active bool) *api.Operation {
	return &api.Operation{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: zone, Active: active}}}
}

func retire(id string) *api.Operation {
	return &api.Operation{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: id}}}
}

func grant(key, holder string) *api.Operation {
	return &api.Operation{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{Key: key, Holder: holder, Address: holder}}}
}

func code(failure *result.Error) result.Code {
	if failure == nil {
		return result.Committed
	}
	return failure.Code
}

// mustChange executes an operation that has to change the state.
func mustChange(t *testing.T, m *Machine, operation *api.Operation) {
	t.Helper()
	changed, failure := m.Execute(operation)
	if !changed || failure != nil {
		t.Fatalf("%v: changed %v, rejected by %v", operation, changed, failure)
	}
}

func TestOneOfTwoChangesOnABaseIsCommitted(t *testing.T) {
	is := is.New(t)
	m := New()
	changed, failure := m.Execute(replace(0, document(3, "a")))
	is.True(changed && failure == nil)
	_, failure = m.Execute(replace(0, document(3, "b")))
	is.Equal(code(failure), result.VersionConflict)
	is.Equal(m.Version(), uint64(3))
}

// The same order again has its effect once and is never refused, whatever came between.
func TestRepeatedOperationIsDuplicate(t *testing.T) {
	is := is.New(t)
	m := New()
	first, second := replace(0, document(3, "a")), modify(3, `{"config_version":5,"remove":{"route_list":["r"]}}`)
	for _, operation := range []*api.Operation{first, second} {
		changed, failure := m.Execute(operation)
		is.True(changed && failure == nil)
	}
	restored := New()
	restored.Restore(m.State()) // as after a restart
	for _, machine := range []*Machine{m, m.Clone(), restored} {
		for _, operation := range []*api.Operation{first, second} {
			changed, failure := machine.Execute(operation)
			is.True(!changed && failure == nil)
		}
		is.Equal(machine.Version(), uint64(5))
	}
}

func TestVersionMustRise(t *testing.T) {
	is := is.New(t)
	m := New()
	mustChange(t, m, replace(0, document(3, "a")))
	_, failure := m.Execute(replace(3, document(3, "b")))
	is.Equal(code(failure), result.VersionTooLow)
	_, failure = m.Execute(modify(3, `{"config_version":2}`))
	is.Equal(code(failure), result.VersionTooLow)
}

func TestFencingTokensRiseWithEachGrant(t *testing.T) {
	is := is.New(t)
	m := New()
	last := uint64(0)
	for i := range 10 {
		key := fmt.Sprint("placement/", i%3)
		mustChange(t, m, grant(key, fmt.Sprint("node-", i)))
		owned := m.Lease(key)
		is.True(owned.FencingToken > last)
		last = owned.FencingToken
	}
	is.Equal(len(m.Leases()), 3)
}

func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range maxRetired + 5 {
		mustChange(t, m, retire(fmt.Sprint("i-", i)))
	}
	is.Equal(len(m.State().Retired), maxRetired)
	is.True(!m.IsRetired("i-0"))
	is.True(m.IsRetired(fmt.Sprint("i-", maxRetired+4)))
	for i := range maxEvacuations {
		mustChange(t, m, evacuation(fmt.Sprint("zone-", i), true))
	}
	_, failure := m.Execute(evacuation("one-more", true))
	is.Equal(code(failure), result.TooLarge)
}

// Whatever is done in whatever order: a trial on a copy leaves the machine as it was, what is
// committed without another check leads to the same state as what was tried, and a state is
// the same after it was written and read.
func TestClonesAndReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head, replica := New(), New()
		small := rapid.IntRange(0, 4)
		operations := []func() *api.Operation{
			func() *api.Operation {
				return replace(uint64(small.Draw(t, "base")), document(uint64(small.Draw(t, "version")), fmt.Sprint(small.Draw(t, "place"))))
			},
			func() *api.Operation {
				return modify(head.Version(), fmt.Sprintf(`{"config_version":%d,"upsert":{"route_list":[{"name":"n%d","host":"h","path_prefix":"/n%d/","timeout_ms":%d,"service":"s"}]}}`,
					head.Version()+1, small.Draw(t, "name"), small.Draw(t, "place"), small.Draw(t, "time-out")))
			},
			func() *api.Operation {
				return evacuation(fmt.Sprint("zone-", small.Draw(t, "zone")), rapid.Bool().Draw(t, "active"))
			},
			func() *api.Operation { return retire(fmt.Sprint("i-", small.Draw(t, "backend"))) },
			func() *api.Operation {
				return grant(fmt.Sprint("role-", small.Draw(t, "role")), fmt.Sprint("node-", small.Draw(t, "node")))
			},
		}
		for range rapid.IntRange(1, 25).Draw(t, "operations") {
			operation := rapid.SampledFrom(operations).Draw(t, "kind")()
			before := head.State()
			trial := head.Clone()
			changed, _ := trial.Execute(operation)
			if !proto.Equal(head.State(), before) {
				t.Fatalf("a trial of %v has changed the machine", operation)
			}
			if !changed {
				continue
			}
			entry := &api.Entry{Operations: []*api.Operation{operation}}
			head.Apply(entry)
			replica.Apply(proto.Clone(entry).(*api.Entry))
			if !proto.Equal(head.State(), trial.State()) || !proto.Equal(head.State(), replica.State()) {
				t.Fatalf("%v: tried %v, applied %v, elsewhere %v", operation, trial.State(), head.State(), replica.State())
			}
			read := New()
			read.Restore(head.State())
			if !proto.Equal(read.State(), head.State()) {
				t.Fatalf("read back as %v, written as %v", read.State(), head.State())
			}
		}
	})
}

// A change that was taken is never refused, also once its digest is forgotten: then it is unclear.
func TestForgottenChangeIsNeverRejected(t *testing.T) {
	is := is.New(t)
	m := New()
	changes := make([]*api.Operation, 0, maxDigests+2)
	for version := range uint64(maxDigests + 2) {
		change := replace(version, document(version+1, "a"))
		if version%2 == 1 {
			change = modify(version, fmt.Sprintf(`{"config_version":%d}`, version+1))
		}
		changes = append(changes, change)
		changed, failure := m.Execute(change)
		is.True(changed && failure == nil)
	}
	is.Equal(len(m.State().Digests), maxDigests)
	check := func(m *Machine) {
		t.Helper()
		for number, change := range changes {
			changed, failure := m.Execute(change)
			is.Equal(changed, false)
			if number < 2 {
				is.Equal(code(failure), result.OutcomeUnknown) // forgotten
				continue
			}
			is.Equal(failure, nil) // acknowledged again
		}
		// What is built on a version whose successor is remembered, and is not it, was not taken.
		_, failure := m.Execute(replace(2, document(99999, "b")))
		is.Equal(code(failure), result.VersionConflict)
		_, failure = m.Execute(replace(1, document(99999, "b")))
		is.Equal(code(failure), result.OutcomeUnknown)
	}
	check(m)
	restored := New()
	restored.Restore(m.State()) // a snapshot carries what is forgotten
	check(restored)
}

// conditional is a grant that replaces a token.
func conditional(key, holder string, replaces uint64) *api.Operation {
	operation := grant(key, holder)
	operation.GetGrant().ReplacesFencingToken = &replaces
	return operation
}

// A grant that comes late, or twice, takes a role from nobody who was given it since.
func TestStaleGrantHasNoEffect(t *testing.T) {
	is := is.New(t)
	m := New()
	first := conditional("llm", "a", 0)
	changed, failure := m.Execute(first)
	is.True(changed && failure == nil)
	changed, failure = m.Execute(first) // once more
	is.True(!changed && failure == nil)
	is.Equal(m.Lease("llm").FencingToken, uint64(1))
	changed, failure = m.Execute(conditional("llm", "b", 1))
	is.True(changed && failure == nil)
	changed, failure = m.Execute(first) // after another one has the role
	is.True(!changed)
	is.Equal(code(failure), result.VersionConflict)
	is.Equal(m.Lease("llm").Holder, "b")
	changed, _ = m.Execute(grant("llm", "c")) // of an earlier version's log
	is.True(changed)
}
