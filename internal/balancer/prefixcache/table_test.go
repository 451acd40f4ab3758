package prefixcache

import (
	"testing"

	"marlreel/internal/balancer"
)

// backends: 1 has a model with an adapter, 2 the model alone, 3 another model, 4 nothing.
func backends() []Backend {
	return []Backend{
		{ID: 1, Slots: 8, Loaded: []LoadedModel{{Model: "large", Adapters: []string{"legal"}}}},
		{ID: 2, Slots: 4, Loaded: []LoadedModel{{Model: "large"}}},
		{ID: 3, Loaded: []LoadedModel{{Model: "small", Adapters: []string{"legal"}}}},
		{ID: 4, Slots: 1},
	}
}

func TestCanServe(t *testing.T) {
	for _, c := range []struct {
		name          string
		modelBackends bool
		needs         *balancer.Needs
		want          []balancer.BackendID
	}{
		{"no needs", true, nil, []balancer.BackendID{1, 2, 3, 4}},
		{"no model", true, &balancer.Needs{}, []balancer.BackendID{1, 2, 3, 4}},
		{"a model", true, &balancer.Needs{Model: "large"}, []balancer.BackendID{1, 2}},
		{"a model and its adapter", true, &balancer.Needs{Model: "large", Adapter: "legal"}, []balancer.BackendID{1}},
		{"an adapter of another model", true, &balancer.Needs{Model: "small", Adapter: "legal"}, []balancer.BackendID{3}},
		{"a model that is loaded nowhere", true, &balancer.Needs{Model: "huge"}, nil},
		{"an adapter that is loaded nowhere", true, &balancer.Needs{Model: "small", Adapter: "tax"}, nil},
		{"a backend to avoid", true, &balancer.Needs{Model: "large", Avoid: 1}, []balancer.BackendID{2}},
		{"a backend to avoid, no model", true, &balancer.Needs{Avoid: 3}, []balancer.BackendID{1, 2, 4}},
		{"backends without models", false, &balancer.Needs{Model: "large"}, []balancer.BackendID{1, 2, 3, 4}},
		{"backends without models, one to avoid", false, &balancer.Needs{Model: "large", Avoid: 4}, []balancer.BackendID{1, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(c.modelBackends)
			table.Replace(backends())
			want := map[balancer.BackendID]bool{}
			for _, id := range c.want {
				want[id] = true
			}
			for _, b := range backends() {
				if got := table.CanServe(c.needs, b.ID); got != want[b.ID] {
					t.Errorf("backend %d: %v, want %v", b.ID, got, want[b.ID])
				}
			}
		})
	}
}

// The replicas cached for the last needs are dropped when the membership changes.
func TestReplaceForgets(t *testing.T) {
	table := New(true)
	needs := &balancer.Needs{Model: "large"}
	if table.CanServe(needs, 1) || table.Slots(1) != 0 {
		t.Error("an empty table knows a backend")
	}
	table.Replace(backends())
	if !table.CanServe(needs, 1) || table.Slots(1) != 8 {
		t.Error("backend 1 is not known")
	}
	table.Replace([]Backend{{ID: 1, Slots: 2}, {ID: 5, Loaded: []LoadedModel{{Model: "large"}}}})
	if table.CanServe(needs, 1) || !table.CanServe(needs, 5) {
		t.Error("the replicas are those of the earlier membership")
	}
	if table.Slots(1) != 2 || table.Slots(2) != 0 {
		t.Errorf("%d and %d slots, want 2 and none", table.Slots(1), table.Slots(2))
	}
}
