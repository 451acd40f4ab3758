package configuration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// manyRoutes returns a change that adds count routes, of some 250 bytes each.
func manyRoutes(version, count int) []byte {
	routes := make([]string, count)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%07x-%d","host":"large.example","path_prefix":"/%07x-%d/","route_class":"unsafe","timeout_ms":900,`+
			`"target_latency_ms":150,"priority":2,"service":"t","max_attempts":1,"keyless":false,"affinity":false,"resumable":false,`+
			`"gap_aim_ms":0}`, i*7919, version, i*104729, version)
	}
	return fmt.Appendf(nil, `{"config_version":%d,"upsert":{"route_list":[%s]}}`, version, strings.Join(routes, ","))
}

// Merging without validation gives the same document as the validated change, also when the document has cached the
// result of another change.
func TestMergeEqualsModify(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, err := Parse([]byte(baseDocument))
		if err != nil {
			t.Fatal(err)
		}
		change := manyRoutes(8, rapid.IntRange(0, 5).Draw(t, "routes"))
		modified, err := d.Modify(change)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "another change follows") {
			if _, err := d.Modify(manyRoutes(9, 7)); err != nil {
				t.Fatal(err)
			}
		}
		merged, err := d.Merge(change)
		if err != nil || string(merged.Raw()) != string(modified.Raw()) {
			t.Fatalf("Merge returned\n%s\nand Modify returned\n%s", merged.Raw(), modified.Raw())
		}
	})
}

// Guards against Merge returning the cached result of a change that was rejected.
func TestRejectedChangeIsNotCached(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(baseDocument))
	is.True(err == nil)
	_, err = d.Modify([]byte(`{"config_version":8,"remove":{"service_list":["t"]}}`))
	is.True(err != nil)
	is.True(d.raw.lastResult == nil)
}

func BenchmarkManyRoutes(b *testing.B) {
	d, err := Parse([]byte(baseDocument))
	if err != nil {
		b.Fatal(err)
	}
	change := manyRoutes(8, 1480)
	large, err := d.Modify(change)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("validated", func(b *testing.B) {
		for b.Loop() {
			_, _ = d.Modify(change)
		}
	})
	d.raw.cacheResult(nil, nil)
	b.Run("merged", func(b *testing.B) {
		for b.Loop() {
			_, _ = d.Merge(change)
		}
	})
	b.Run("one route into many", func(b *testing.B) {
		one := manyRoutes(9, 1)
		for b.Loop() {
			_, _ = large.Merge(one)
		}
	})
	b.Run("decoded", func(b *testing.B) {
		for b.Loop() {
			_, _ = Decode(large.Raw())
		}
	})
	b.Run("matched", func(b *testing.B) {
		for b.Loop() {
			large.Match("large.example", "/0000000-8/1")
		}
	})
}
