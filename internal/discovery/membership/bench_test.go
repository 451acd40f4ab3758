package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChange measures one update of a list with n nodes.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{12, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := guardedConfig()
			cfg.EmitDeltas = true
			m := New(cfg)
			m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(n)...)})
			m.OnSnapshot(second, 1, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(n)...)})
			b.ReportAllocs()
			k := int64(1)
			for b.Loop() {
				k++
				i := Item{Name: fmt.Sprint("n", k%int64(n)), ModRevision: k, Entry: entryAt(int(k % int64(n)))}
				i.Entry.Weight = float64(k)
				m.OnUpdate(second+time.Duration(k)*10*ms, 0, Update{Revision: k, Puts: []Item{i}})
			}
		})
	}
}
