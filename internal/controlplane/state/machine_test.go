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

// document returns a configuration with one route, whose path prefix is place.
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

// mustChange executes an operation and fails the test unless it changes the state.
func mustChange(t *testing.T, m *Machine, operation *api.Operation) {
	t.Helper()
	changed, failure := m.Execute(operation)
	if !changed || failure != nil {
		t.Fatalf("%v: changed %v, rejected by %v", operation, changed, failure)
	}
}

func TestSecondChangeOnSameBaseConflicts(t *testing.T) {
	is := is.New(t)
	m := New()
	changed, failure := m.Execute(replace(0, document(3, "a")))
	is.True(changed && failure == nil)
	_, failure = m.Execute(replace(0, document(3, "b")))
	is.Equal(code(failure), result.VersionConflict)
	is.Equal(m.Version(), uint64(3))
}

// A repeated operation takes effect only once and is never rejected, whatever operations came in between.
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

// For any sequence of operations: executing one on a clone doesn't change the machine, applying it without validation
// results in the same state as executing it with validation, and a state is unchanged after it was saved and restored.
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
			clone := head.Clone()
			changed, _ := clone.Execute(operation)
			if !proto.Equal(head.State(), before) {
				t.Fatalf("executing %v on a clone has changed the machine", operation)
			}
			if !changed {
				continue
			}
			entry := &api.Entry{Operations: []*api.Operation{operation}}
			head.Apply(entry)
			replica.Apply(proto.Clone(entry).(*api.Entry))
			if !proto.Equal(head.State(), clone.State()) || !proto.Equal(head.State(), replica.State()) {
				t.Fatalf("%v: the clone has state %v, the head %v, the replica %v", operation, clone.State(), head.State(), replica.State())
			}
			restored := New()
			restored.Restore(head.State())
			if !proto.Equal(restored.State(), head.State()) {
				t.Fatalf("restored state %v, saved state %v", restored.State(), head.State())
			}
		}
	})
}

// An accepted change is never rejected, even after its digest was dropped: then its outcome is unknown.
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
				is.Equal(code(failure), result.OutcomeUnknown) // its digest was dropped
				continue
			}
			is.Equal(failure, nil) // acknowledged again
		}
		// A change was certainly not accepted if the remembered successor of its base version is another change.
		_, failure := m.Execute(replace(2, document(99999, "b")))
		is.Equal(code(failure), result.VersionConflict)
		_, failure = m.Execute(replace(1, document(99999, "b")))
		is.Equal(code(failure), result.OutcomeUnknown)
	}
	check(m)
	restored := New()
	restored.Restore(m.State()) // a snapshot includes ForgottenVersion
	check(restored)
}

// conditional returns a grant that takes effect only if it replaces a given fencing token.
func conditional(key, holder string, replaces uint64) *api.Operation {
	operation := grant(key, holder)
	operation.GetGrant().ReplacesFencingToken = &replaces
	return operation
}

// A grant that is late or repeated does not take a lease from a holder that got it in the meantime.
func TestStaleGrantHasNoEffect(t *testing.T) {
	is := is.New(t)
	m := New()
	first := conditional("llm", "a", 0)
	changed, failure := m.Execute(first)
	is.True(changed && failure == nil)
	changed, failure = m.Execute(first) // repeated
	is.True(!changed && failure == nil)
	is.Equal(m.Lease("llm").FencingToken, uint64(1))
	changed, failure = m.Execute(conditional("llm", "b", 1))
	is.True(changed && failure == nil)
	changed, failure = m.Execute(first) // after another holder got the lease
	is.True(!changed)
	is.Equal(code(failure), result.VersionConflict)
	is.Equal(m.Lease("llm").Holder, "b")
	changed, _ = m.Execute(grant("llm", "c")) // unconditional, as in the log of an earlier version
	is.True(changed)
}
