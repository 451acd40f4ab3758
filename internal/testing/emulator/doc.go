// Package emulator is a discrete-event simulation of the decisions of a whole deployment: clients whose demand moves
// between models, the balancer of each proxy, the planner that places models, and model backends with continuous
// batching and chunked prefill (Yu et al., Orca, 2022; Agrawal et al., Sarathi-Serve, 2024). It has no sockets,
// processes or faults, and measures within seconds how well requests are routed and models are placed. The balancer,
// the advisor and the planner are the production code. cmd/marlreelsim runs the simulation; no daemon links it.
//
// The upper bound of a run is another run with the same arrivals, a planner that knows demand in advance and proxies
// that see the current state of all backends. All random numbers come from the seed, so that a run can be repeated.
package emulator
