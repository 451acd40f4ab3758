package membership

import (
	"fmt"
	"testing"
	"time"
)

// One change of a list of so many nodes.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{12, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := guarded()
			cfg.Deltas = true
			m := New(cfg)
			m.Whole(second, 0, Whole{History: 1, Revision: 1, Items: items(1, upTo(n)...)})
			m.Whole(second, 1, Whole{History: 1, Revision: 1, Items: items(1, upTo(n)...)})
			b.ReportAllocs()
			k := int64(1)
			for b.Loop() {
				k++
				i := Item{Name: fmt.Sprint("n", k%int64(n)), Mod: k, Entry: at(int(k % int64(n)))}
				i.Entry.Weight = float64(k)
				m.Change(second+time.Duration(k)*10*ms, 0, Change{Revision: k, Puts: []Item{i}})
			}
		})
	}
}
