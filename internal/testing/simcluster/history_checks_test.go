package simcluster

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"marlreel/internal/testing/fakesystem"
	"marlreel/internal/testing/linearizability"
)

// notExecuted lists the statuses that guarantee that a request was not executed.
var notExecuted = []int{503, 429, 408, 421}

// checkRequests checks that unsafe requests were executed at most once, and consistently with their responses.
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
			r.violation("request %s was rejected with status %d, but executed", request.id, request.status)
		case request.status == 200 && count == 0:
			r.violation("request %s was answered with status 200, but never executed", request.id)
		}
	}
}

// checkOrders checks that no lease holder sends orders after a later holder has sent one.
func (r *historyRun) checkOrders() {
	var orders []fakesystem.ReceivedOrder
	for _, b := range r.cluster.Backends {
		orders = append(orders, b.ReceivedOrders()...)
		for _, violation := range b.Violations() {
			r.violation("an order exceeds a backend's capacity: %s", violation)
		}
	}
	slices.SortStableFunc(orders, func(a, b fakesystem.ReceivedOrder) int { return a.At.Compare(b.At) })
	var newest fakesystem.ReceivedOrder
	for _, order := range orders {
		switch {
		case order.FencingToken < newest.FencingToken:
			r.violation("%s sent an order with fencing token %d, %s after an order with token %d", order.Holder, order.FencingToken, order.At.Sub(newest.At), newest.FencingToken)
		case order.FencingToken == newest.FencingToken && order.Holder != newest.Holder:
			r.violation("%s and %s both sent orders with fencing token %d", order.Holder, newest.Holder, order.FencingToken)
		default:
			newest = order
		}
	}
}

// checkRecovery checks that within maxRecovery a change is committed and in force at all proxies.
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
			r.violation("%s does not serve the newest configuration within %s of the last fault", edge.Name, maxRecovery)
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

// checkActivity checks that a history contains the kinds of events that the other checks need.
func (r *historyRun) checkActivity(t *testing.T) {
	t.Helper()
	statuses, orders, tokens, cuts, broken := map[int]int{}, 0, map[uint64]bool{}, 0, 0
	for _, request := range r.onceRequests {
		statuses[request.status]++
	}
	for _, b := range r.cluster.Backends {
		cuts += len(b.CutStreams())
		broken += b.BrokenStarts()
		for _, order := range b.ReceivedOrders() {
			orders++
			tokens[order.FencingToken] = true
		}
	}
	t.Logf("requests by status %v, %d that backends broke off, %d streams, %d cut by backends, %d orders with %d fencing tokens, %d operator calls",
		statuses, broken, r.streams, cuts, orders, len(tokens), len(r.register.operations))
	if statuses[200] == 0 || r.streams == 0 || orders == 0 || len(r.register.operations) == 0 {
		r.violation("the history lacks served requests, complete streams, orders or operator calls to check")
	}
}

// checkRegister checks that reads and changes of the configuration were linearizable.
func (r *historyRun) checkRegister() {
	const timeout = 20 * time.Second
	model := linearizability.ConfigurationModel(r.register.first)
	if porcupine.CheckOperationsTimeout(model, r.register.operations, timeout) != porcupine.Ok {
		r.violation("the responses to %d operator calls are not linearizable", len(r.register.operations))
	}
}
