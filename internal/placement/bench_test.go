package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one plan for clusters of the sizes of deployments.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ backends, models int }{{9, 34}, {90, 215}, {140, 481}, {600, 380}} {
		b.Run(fmt.Sprintf("%d-%d", size.backends, size.models), func(b *testing.B) {
			p := New(time.Second)
			s := Service{Models: map[string]Model{}, CapacityMB: 200000, MaxAdapters: 8, MaxLoadsPerSecond: 0.001}
			for i := range size.models {
				name := fmt.Sprintf("m%d", i)
				s.Models[name] = Model{Name: name, SizeMB: 60000, LoadTime: 3 * time.Second, AdapterSizeMB: 66}
			}
			p.Configure(s)
			var list []Backend
			for i := range size.backends {
				loaded := map[string][]string{}
				for k := range 3 {
					loaded[fmt.Sprintf("m%d", (i*3+k)%size.models)] = []string{"a1", "a2"}
				}
				list = append(list, Backend{ID: fmt.Sprintf("b%03d", i), Zone: fmt.Sprintf("z%d", i%5), Usable: true, Loaded: loaded})
			}
			now := time.Second
			p.SetBackends(now, list)
			for _, l := range list {
				p.OnReport(now, l.ID, Report{Loaded: l.Loaded})
			}
			for i := range size.models {
				for k := range 3 {
					p.RecordDemand(now, "n", fmt.Sprintf("z%d", k), Key{Model: fmt.Sprintf("m%d", i)}, 1, 100, i%10/9)
				}
				p.RecordDemand(now, "n", "z1", Key{Model: fmt.Sprintf("m%d", i), Adapter: "a1"}, 1, 100, 0)
			}
			for b.Loop() {
				now += time.Millisecond
				for _, o := range p.Plan(now) {
					p.OnOrderFailed(now-time.Hour, o)
					p.backends[o.Backend].reported, p.backends[o.Backend].reservedModel = true, ""
				}
			}
		})
	}
}
