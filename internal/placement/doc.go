// Package placement plans which model backends load which models and adapters. It is a pure planner: its inputs are the
// configuration, the state of the backends, the demand and the outcomes of orders, each with its time; its output is the
// orders to send next. The reconciler of a service (internal/placement/reconciler) owns the planner, on the node that
// holds the placement lease, and sends the orders. The emulator (internal/testing/emulator) drives the same planner in
// simulated time.
//
// # Objective
//
// Demand is recorded for each model: requests, the work that they need, and how many wait because no backend has the
// model loaded. A Kalman filter with a local linear trend (Harvey, Forecasting, Structural Time Series Models and the
// Kalman Filter, 1989) forecasts the request rate for the time at which a load would complete. The loss of a model is
// the utility that its requests are expected to lose at that rate with a given number of replicas; the gain of one more
// replica is the reduction of that loss.
//
// # Greedy local search
//
// Each Plan is one pass of greedy local search over a snapshot of the cluster: models with the greatest gain first,
// each at the backend where a load costs the least, and only if the gain exceeds that cost. A backend carries out one
// order at a time. If a backend lacks the memory for a load, the models with the lowest retention value there are
// unloaded first. Models are unloaded only to make room: memory that no model needs is of no use. All weights are in
// one struct, weights, with a unit for each.
//
// # Invariants
//
// No order goes to a backend whose loaded models are not known, and no load exceeds a backend's memory. Loads from the
// store take tokens from a bucket that keeps every window within the store's rate limit, however often the planner is
// restarted. The package starts no goroutine, reads no clock and draws no random number: equal input gives equal plans.
package placement
