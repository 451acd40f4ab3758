// Package emulator plays the decisions of a whole deployment in simulated time: clients whose demand moves
// between models, the decision module of each proxy, the planner that places models, and model backends that
// read prompts piecewise in batches. There are no sockets, processes or faults: it answers how well requests are
// routed and models are placed, in seconds. The decision module, the advice and the planner are the ones in
// service.
//
// A run has an upper bound beside it: the same arrivals with a planner that is told of demand before it comes, and
// with proxies that see all backends as they are.
package emulator
