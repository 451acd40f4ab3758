package controlplane

import "time"

func (sim *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(2*time.Millisecond)))
}

// datagram delivers a datagram after a delay. A partition, or random loss, drops it.
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

// sendOnConnection delivers a message on a connection. A partition delays it until the partition ends, even if its sender
// has given up by then. It is lost if the process at either end stops.
func (sim *simulation) sendOnConnection(from, to string, deliver func()) {
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

// incarnationOf returns the incarnation of the control process at an address, or 0 if there is none.
func (sim *simulation) incarnationOf(address string) int {
	for _, c := range sim.controls {
		if c.address == address {
			return c.incarnation
		}
	}
	return 0
}

// setPartitioned begins or ends a partition in one direction. When it ends, delayed messages are delivered unless their
// sender has stopped.
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
			sim.coverage["a call was delayed by a partition"]++
			sim.after(sim.delay(), h.deliver)
		}
	}
	sim.delayed = remaining
}

// call makes a call and passes its answer to answered, which is called once, with nil if no answer arrives in time.
func call[A any](sim *simulation, from, to string, timeout time.Duration, serve func(answer func(A)), answered func(answer *A)) {
	done := false
	finish := func(answer *A) {
		if !done {
			done = true
			answered(answer)
		}
	}
	sim.after(timeout, func() { finish(nil) })
	sim.sendOnConnection(from, to, func() {
		serve(func(answer A) {
			sim.sendOnConnection(to, from, func() { finish(&answer) })
		})
	})
}
