package simcluster

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"marlreel/internal/testing/fakesystem"
	"marlreel/internal/testing/linearizability"
)

// checkRequests checks that what may run once has, and that a promise was true.
func (w *historyRun) checkRequests() {
	runs := map[string]int{}
	for _, b := range w.cluster.Backends {
		for _, run := range b.Executions() {
			runs[run.Request]++
		}
	}
	for _, asked := range w.onceRequests {
		ran := runs[asked.id]
		promised := asked.status == 503 || asked.status == 429 || asked.status == 408 || asked.status == 421
		switch {
		case ran > 1:
			w.violation("request %s ran %d times", asked.id, ran)
		case promised && ran > 0:
			w.violation("request %s was refused with %d, and ran", asked.id, asked.status)
		case asked.status == 200 && ran == 0:
			w.violation("request %s was served, and never ran", asked.id)
		}
	}
}

// checkOrders checks that nobody gives orders once a later holder has.
func (w *historyRun) checkOrders() {
	var orders []fakesystem.ReceivedOrder
	for _, b := range w.cluster.Backends {
		orders = append(orders, b.ReceivedOrders()...)
		for _, fault := range b.Violations() {
			w.violation("an order beyond a backend's room: %s", fault)
		}
	}
	slices.SortStableFunc(orders, func(a, b fakesystem.ReceivedOrder) int { return a.At.Compare(b.At) })
	var newest fakesystem.ReceivedOrder
	for _, order := range orders {
		switch {
		case order.FencingToken < newest.FencingToken:
			w.violation("%s gives an order under token %d, %s after one under %d", order.Holder, order.FencingToken, order.At.Sub(newest.At), newest.FencingToken)
		case order.FencingToken == newest.FencingToken && order.Holder != newest.Holder:
			w.violation("%s and %s both give orders under token %d", order.Holder, newest.Holder, order.FencingToken)
		default:
			newest = order
		}
	}
}

// checkRecovery checks that within the time for it changes are taken, read, and in force everywhere.
func (w *historyRun) checkRecovery() {
	c, prefix := w.cluster, "/recovered/"
	end := time.Now().Add(maxRecovery)
	taken := false
	for !taken && time.Now().Before(end) {
		taken = w.write(0, prefix)
		c.Sleep(100 * time.Millisecond)
	}
	if !taken {
		w.violation("no change was taken within %s of the last fault", maxRecovery)
		return
	}
	c.Sleep(applyTime)
	for _, edge := range c.Edges {
		if !w.servesAt(edge, prefix, end) {
			w.violation("%s does not serve by the newest configuration within %s of the last fault", edge.Name, maxRecovery)
		}
	}
}

// servesAt tells whether a proxy serves a route before a time.
func (w *historyRun) servesAt(edge *Machine, prefix string, end time.Time) bool {
	for {
		w.mu.Lock()
		r := slipRequest()
		w.mu.Unlock()
		r.Path = prefix + "1"
		if got, err := w.cluster.Send(edge, r); err == nil && got.Status == 200 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
		w.cluster.Sleep(100 * time.Millisecond)
	}
}

// checkActivity checks that a history had what its checks are about.
func (w *historyRun) checkActivity(t *testing.T) {
	t.Helper()
	statuses, orders, tokens := map[int]int{}, 0, map[uint64]bool{}
	for _, asked := range w.onceRequests {
		statuses[asked.status]++
	}
	for _, b := range w.cluster.Backends {
		for _, order := range b.ReceivedOrders() {
			orders++
			tokens[order.FencingToken] = true
		}
	}
	t.Logf("requests by status %v, %d streams, %d orders under %d tokens, %d calls of operators", statuses, w.streams, orders,
		len(tokens), len(w.register.operations))
	if statuses[200] == 0 || w.streams == 0 || orders == 0 || len(w.register.operations) == 0 {
		w.violation("the history had no life in it")
	}
}

// checkRegister checks that all answers are those of one register.
func (w *historyRun) checkRegister() {
	const patience = 20 * time.Second
	if porcupine.CheckOperationsTimeout(linearizability.ConfigurationModel(w.register.first), w.register.operations, patience) != porcupine.Ok {
		w.violation("the answers to %d calls are not those of one register", len(w.register.operations))
	}
}
