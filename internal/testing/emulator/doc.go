// Package emulator is a discrete-event simulation of the decisions of a whole deployment: clients whose demand moves
// between models, the balancer of each proxy, the planner that places models, and model backends that batch requests
// continuously with chunked prefill (Yu et al., Orca, 2022; Agrawal et al., Sarathi-Serve, 2024). There are no
// sockets, processes or faults: it answers how well requests are routed and models are placed, in seconds. The
// balancer, the advisor and the planner are the ones in service; cmd/marlreelsim runs it, and nothing that a daemon
// links does.
//
// A run has an upper bound beside it: the same arrivals with a planner that knows demand before it comes, and with
// proxies that see all backends as they are. All randomness is drawn from the seed: a run is the same again.
package emulator
