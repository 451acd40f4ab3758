// Package machine models one backend host in virtual time: what a host with a number of cores, request slots and
// queue places does with the requests submitted to it, and when each completes. It uses no processor time.
//
// The package is pure: each call carries the time, which must not go back, and nothing starts a goroutine, performs
// I/O or reads a clock. Package standin owns a Machine and carries its decisions out on sockets.
//
// The model is simple enough to be checked by hand:
//
//   - A request occupies a slot. It first waits for other services (Job.Wait, no core), then needs Job.Work of a core
//     of speed 1.
//   - Requests that compute share the cores evenly (processor sharing), and none uses more than one core.
//   - With all slots occupied a request waits in a first-in, first-out queue; with the queue full it is rejected.
//   - After a start the machine has Warmup.InitialCapacity of its capacity, rising linearly to all of it over
//     Warmup.Duration. If the work submitted within any Warmup.OverloadWindow, rejected work included, exceeds
//     Warmup.OverloadMultiple times what the machine can do at its present capacity, it crashes and stays down until
//     it is restarted.
//   - A noisy neighbour takes a share of the cores; a slowdown divides the speed.
//   - A congested machine is Congestion.Slowdown times slower. It becomes congested when the mean number of
//     outstanding requests over Congestion.Window exceeds cores + Congestion.Headroom x root of cores, and recovers
//     when its mean utilization over Congestion.RecoveryWindow lies below Congestion.RecoveryUtilization, or after
//     Congestion.MaxDuration.
package machine
