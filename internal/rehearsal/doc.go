// Package rehearsal plays a scenario against real proxies and reports the service they
// delivered. It owns the scenario files, the plan that is drawn from a scenario and a seed,
// the load, the faults, the audit of the four rules, the score and the report.
//
// The plan depends only on the scenario and the seed, and is drawn before the run. What happens
// on sockets during the run is not reproducible; the report says so.
//
// The package shares no code with the proxy: it starts the daemon's binary, writes
// its configuration as the platform would, and observes it from the clients' and the nodes'
// side. The daemon never links this package.
package rehearsal
