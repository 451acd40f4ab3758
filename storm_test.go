package marlreel

import (
	"fmt"
	"testing"
	"time"
)

func usualStorm(seed uint64) stormDay {
	return stormDay{seed: seed, backends: 9, proxies: 3, load: 0.75, retries: 3, backoff: 80 * milli, honour: 0.9,
		dies: 12 * second, back: 22 * second, length: 60 * second, part: 0.24, house: -1, crowd: true, policy: marl}
}

func TestStormPrint(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *stormDay)
	}{
		{"half die", func(d *stormDay) { d.part = 0.5 }},
		{"half die, many retries", func(d *stormDay) { d.part, d.retries, d.backoff, d.honour = 0.5, 10, 30*milli, 0 }},
		{"half die, many retries, marked", func(d *stormDay) { d.part, d.retries, d.backoff, d.honour, d.marks = 0.5, 10, 30*milli, 0, true }},
		{"half die, many retries, told", func(d *stormDay) { d.part, d.retries, d.backoff, d.honour, d.retryAfter = 0.5, 10, 30*milli, 1, true }},
		{"half die, told half", func(d *stormDay) { d.part, d.retries, d.backoff, d.honour, d.retryAfter = 0.5, 10, 30*milli, 0.5, true }},
		{"house storms", func(d *stormDay) { d.house = 0 }},
		{"house storms, half die", func(d *stormDay) { d.house, d.part = 0, 0.5 }},
		{"load 1.1", func(d *stormDay) { d.load, d.part = 1.1, 0 }},
		{"load 1.1 retries 10", func(d *stormDay) { d.load, d.part, d.retries, d.backoff, d.honour = 1.1, 0, 10, 30*milli, 0 }},
		{"load 1.1 retries 0", func(d *stormDay) { d.load, d.part, d.retries = 1.1, 0, 0 }},
		{"load 1.1 told", func(d *stormDay) { d.load, d.part, d.retries, d.backoff, d.honour, d.retryAfter = 1.1, 0, 10, 30*milli, 1, true }},
	} {
		line := ""
		for seed := range uint64(3) {
			d := usualStorm(seed)
			c.change(&d)
			w := newStorm(t, d).run()
			off, n := 0, 0
			for _, s := range w.seconds[4:60] { off += s.offered }
			for _, u := range w.users { if u.came >= 4*second { n++ } }
			h := ""
			for _, x := range w.homes { h += fmt.Sprintf(" %.2f", x[1]/x[0]) }
			line += fmt.Sprintf("  before %.3f out %.3f after %.3f rec %v falls %d tries %.2f sends/r %.2f twice %d homes%s |", w.service(4*second, 12*second), w.service(12*second, 22*second),
				w.service(22*second, 60*second), w.recovery(), w.falls, float64(off)/float64(n), float64(w.sends)/float64(len(w.users)), w.twice, h)
		}
		t.Logf("%s: %s", c.name, line)
	}
	_ = time.Second
}
