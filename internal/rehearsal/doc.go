// Package rehearsal plays a scenario against real proxies and says what service was
// kept. It owns the scenario files, the plan that is drawn from one and a seed, the
// load, the faults, the audit of the four rules, the score and the report.
//
// The plan is drawn before the run from the seed alone. What happens on sockets
// after that can't be repeated to the letter; the report says so.
//
// The package shares no code with the proxy: it starts the daemon's binary, writes
// its configuration as the platform would, and looks at it from both sides. The
// daemon never links it.
package rehearsal
