package controlplane

import "time"

func (sim *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(2*time.Millisecond)))
}

// datagram carries something that is lost where a partition is in the way.
func (sim *simulation) datagram(from, to string, deliver func()) {
	if sim.partitioned[direction{from, to}] || sim.rng.Float64() < sim.loss {
		return
	}
	sim.after(sim.delay(), func() {
		if !sim.partitioned[direction{from, to}] {
			deliver()
		}
	})
}

// carry carries something on a connection: what meets a partition waits for its end, whether or not its sender has given
// up. It is lost with either end's process.
func (sim *simulation) carry(from, to string, deliver func()) {
	l, fromIncarnation, toIncarnation := direction{from, to}, sim.incarnationOf(from), sim.incarnationOf(to)
	arrive := func() {
		if sim.incarnationOf(to) == toIncarnation {
			deliver()
		}
	}
	if sim.partitioned[l] {
		sim.delayed = append(sim.delayed, delayedCall{l, fromIncarnation, arrive})
		return
	}
	sim.after(sim.delay(), func() {
		if sim.partitioned[l] {
			sim.delayed = append(sim.delayed, delayedCall{l, fromIncarnation, arrive})
			return
		}
		arrive()
	})
}

// incarnationOf counts the starts of the process at an address.
func (sim *simulation) incarnationOf(address string) int {
	for _, c := range sim.controls {
		if c.address == address {
			return c.incarnation
		}
	}
	return 0
}

// setPartitioned begins or ends a partition in one direction. What it delayed arrives, unless its sender has died.
func (sim *simulation) setPartitioned(from, to string, partitioned bool) {
	l := direction{from, to}
	sim.partitioned[l] = partitioned
	if partitioned {
		return
	}
	var remaining []delayedCall
	for _, h := range sim.delayed {
		switch {
		case h.direction != l:
			remaining = append(remaining, h)
		case sim.incarnationOf(from) == h.fromIncarnation:
			sim.coverage["a call was held up"]++
			sim.after(sim.delay(), h.deliver)
		}
	}
	sim.delayed = remaining
}

// call makes a call and hands its answer back; answered is called once, with nil where none came in time.
func call[A any](sim *simulation, from, to string, timeout time.Duration, serve func(answer func(A)), answered func(answer *A)) {
	over := false
	finish := func(answer *A) {
		if !over {
			over = true
			answered(answer)
		}
	}
	sim.after(timeout, func() { finish(nil) })
	sim.carry(from, to, func() {
		serve(func(answer A) {
			sim.carry(to, from, func() { finish(&answer) })
		})
	})
}
