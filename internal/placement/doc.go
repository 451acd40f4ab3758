// Package placement plans which model backends load which models and adapters. It is a pure planner: it is given the
// configuration, the state of the backends, the demand and the outcomes of orders, each with its time, and returns the
// orders to send next. Its one owner is the reconciler of a service (internal/placement/reconciler) on the node that
// holds the placement lease, which sends the orders; the emulator (internal/testing/emulator) drives the same planner in
// simulated time.
//
// # Objective
//
// Demand is recorded for each model: requests, the work that they ask for, and how many wait because no backend has
// the model loaded. A Kalman filter with a local linear trend (Harvey, Forecasting, Structural Time Series Models and
// the Kalman Filter, 1989) forecasts the request rate for the time at which a load would be done. The loss of a model
// is what its requests are expected to lose at that rate with a given number of replicas; the gain of one more replica
// is by how much that loss falls.
//
// # Greedy local search
//
// Each Plan is one pass of greedy local search over a snapshot of the cluster: models with the greatest gain first,
// each at the backend where a load costs the least, and only where the gain exceeds that cost. A backend carries out
// one order at a time. A load needs memory: where there is not enough, the models of the least value there are unloaded
// first. Nothing is unloaded for its own sake: memory that no model needs is of no use. All weights are in one struct,
// weights, with a unit for each.
//
// # Invariants
//
// No order goes to a backend whose loaded models are not known, nor beyond its memory. Loads from the store pass a
// token bucket that no window of the store's rate limit can overflow, however often the planner is started anew. The
// package starts no goroutine, reads no clock and draws no random number: equal input gives equal plans.
package placement
