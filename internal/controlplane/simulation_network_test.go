package controlplane

import "time"

func (w *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
}

// datagram carries something that is lost where a cut is in the way.
func (w *simulation) datagram(from, to string, deliver func()) {
	if w.partitioned[direction{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		if !w.partitioned[direction{from, to}] {
			deliver()
		}
	})
}

// carry carries something on a connection: what meets a cut waits for its end, whether or not its sender has given
// up. It is lost with either end's process.
func (w *simulation) carry(from, to string, deliver func()) {
	l, fromIncarnation, toIncarnation := direction{from, to}, w.incarnationOf(from), w.incarnationOf(to)
	arrive := func() {
		if w.incarnationOf(to) == toIncarnation {
			deliver()
		}
	}
	if w.partitioned[l] {
		w.delayed = append(w.delayed, delayedCall{l, fromIncarnation, arrive})
		return
	}
	w.after(w.delay(), func() {
		if w.partitioned[l] {
			w.delayed = append(w.delayed, delayedCall{l, fromIncarnation, arrive})
			return
		}
		arrive()
	})
}

// incarnationOf counts the starts of the process at an address.
func (w *simulation) incarnationOf(address string) int {
	for _, c := range w.controls {
		if c.address == address {
			return c.incarnation
		}
	}
	return 0
}

// setPartitioned begins or ends a partition in one direction. What it delayed arrives, unless its sender has died.
func (w *simulation) setPartitioned(from, to string, partitioned bool) {
	l := direction{from, to}
	w.partitioned[l] = partitioned
	if partitioned {
		return
	}
	var remaining []delayedCall
	for _, h := range w.delayed {
		switch {
		case h.direction != l:
			remaining = append(remaining, h)
		case w.incarnationOf(from) == h.fromIncarnation:
			w.coverage["a call was held up"]++
			w.after(w.delay(), h.deliver)
		}
	}
	w.delayed = remaining
}

// call makes a call and hands its answer back; answered is called once, with nil where none came in time.
func call[A any](w *simulation, from, to string, timeout time.Duration, serve func(answer func(A)), answered func(answer *A)) {
	over := false
	finish := func(answer *A) {
		if !over {
			over = true
			answered(answer)
		}
	}
	w.after(timeout, func() { finish(nil) })
	w.carry(from, to, func() {
		serve(func(answer A) {
			w.carry(to, from, func() { finish(&answer) })
		})
	})
}
