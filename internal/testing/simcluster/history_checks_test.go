package simcluster

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"marlreel/internal/testing/fakesystem"
	"marlreel/internal/testing/linearizability"
)

// notExecuted are the statuses that promise that a request was not executed.
var notExecuted = []int{503, 429, 408, 421}

// checkRequests checks that unsafe requests were executed once at most, and as their responses said.
func (r *historyRun) checkRequests() {
	executions := map[string]int{}
	for _, b := range r.cluster.Backends {
		for _, execution := range b.Executions() {
			executions[execution.Request]++
		}
	}
	for _, request := range r.onceRequests {
		count := executions[request.id]
		switch {
		case count > 1:
			r.violation("request %s was executed %d times", request.id, count)
		case slices.Contains(notExecuted, request.status) && count > 0:
			r.violation("request %s was rejected with %d, and executed", request.id, request.status)
		case request.status == 200 && count == 0:
			r.violation("request %s was served, and never executed", request.id)
		}
	}
}

// checkOrders checks that no holder gives orders after a later holder has.
func (r *historyRun) checkOrders() {
	var orders []fakesystem.ReceivedOrder
	for _, b := range r.cluster.Backends {
		orders = append(orders, b.ReceivedOrders()...)
		for _, violation := range b.Violations() {
			r.violation("an order beyond a backend's capacity: %s", violation)
		}
	}
	slices.SortStableFunc(orders, func(a, b fakesystem.ReceivedOrder) int { return a.At.Compare(b.At) })
	var newest fakesystem.ReceivedOrder
	for _, order := range orders {
		switch {
		case order.FencingToken < newest.FencingToken:
			r.violation("%s gives an order under token %d, %s after one under %d", order.Holder, order.FencingToken, order.At.Sub(newest.At), newest.FencingToken)
		case order.FencingToken == newest.FencingToken && order.Holder != newest.Holder:
			r.violation("%s and %s both give orders under token %d", order.Holder, newest.Holder, order.FencingToken)
		default:
			newest = order
		}
	}
}

// checkRecovery checks that within the time for it changes are committed, read, and in force everywhere.
func (r *historyRun) checkRecovery() {
	c, prefix := r.cluster, "/recovered/"
	deadline := time.Now().Add(maxRecovery)
	committed := false
	for !committed && time.Now().Before(deadline) {
		committed = r.write(0, prefix)
		c.Sleep(100 * time.Millisecond)
	}
	if !committed {
		r.violation("no change was committed within %s of the last fault", maxRecovery)
		return
	}
	c.Sleep(applyTime)
	for _, edge := range c.Edges {
		if !r.servesBefore(edge, prefix, deadline) {
			r.violation("%s does not serve by the newest configuration within %s of the last fault", edge.Name, maxRecovery)
		}
	}
}

// servesBefore reports whether a proxy serves a route before a deadline.
func (r *historyRun) servesBefore(edge *Machine, prefix string, deadline time.Time) bool {
	for {
		request := slipRequestTo(prefix + "1")
		got, err := r.cluster.Send(edge, request)
		if err == nil && got.Status == 200 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		r.cluster.Sleep(100 * time.Millisecond)
	}
}

// checkActivity checks that a history had everything that the other checks are about.
func (r *historyRun) checkActivity(t *testing.T) {
	t.Helper()
	statuses, orders, tokens := map[int]int{}, 0, map[uint64]bool{}
	for _, request := range r.onceRequests {
		statuses[request.status]++
	}
	for _, b := range r.cluster.Backends {
		for _, order := range b.ReceivedOrders() {
			orders++
			tokens[order.FencingToken] = true
		}
	}
	t.Logf("requests by status %v, %d streams, %d orders under %d tokens, %d calls of operators", statuses, r.streams, orders,
		len(tokens), len(r.register.operations))
	if statuses[200] == 0 || r.streams == 0 || orders == 0 || len(r.register.operations) == 0 {
		r.violation("nothing happened in the history that could be checked")
	}
}

// checkRegister checks that the configuration was linearizable: all answers are those of one register.
func (r *historyRun) checkRegister() {
	const timeout = 20 * time.Second
	model := linearizability.ConfigurationModel(r.register.first)
	if porcupine.CheckOperationsTimeout(model, r.register.operations, timeout) != porcupine.Ok {
		r.violation("the answers to %d calls are not those of one register", len(r.register.operations))
	}
}
