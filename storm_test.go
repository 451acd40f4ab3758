package marlreel

import "testing"

// usualStorm is an outage of a quarter of the machines, which return cold while all clients come
// again; a crowded machine turns slow, which is what lets an outage go on by itself.
func usualStorm(seed uint64) stormDay {
	return stormDay{seed: seed, backends: 9, proxies: 3, load: 0.75, retries: 3, backoff: 80 * milli, honour: 0.9,
		dies: 12 * second, back: 22 * second, length: 60 * second, part: 0.24, house: -1, crowd: true, policy: marl}
}

// An outage is over within 30 s of the machines' return, and no cold one is pushed over. Without any
// control the same days don't end: so they are storms.
func TestAnOutageIsOver(t *testing.T) {
	t.Parallel()
	collapsed := 0
	for seed := uint64(1); seed < 4; seed++ {
		w := newStorm(t, usualStorm(seed)).run()
		if r, after := w.recovery(), w.service(w.day.back, w.day.length); r > 30*second || after < 0.94 || w.falls > 0 || w.twice > 0 {
			t.Errorf("seed %d: over after %v, %.3f served since, %d fell over, %d unsafe ones ran twice", seed, r, after, w.falls, w.twice)
		}
		d := usualStorm(seed)
		d.policy = noControl
		if w := newStorm(t, d).run(); w.recovery() > 30*second {
			collapsed++
		}
	}
	if collapsed < 2 {
		t.Errorf("without control only %d of 3 days don't end: they show nothing", collapsed)
	}
}
