// Package scale runs systems of any size on the loopback addresses of one machine and measures the resource usage of
// each role.
//
// The control processes and one proxy with its agent are real processes. All other machines are hollow, like Kubemark's
// nodes: each is an agent in this process that speaks the real protocol, with a subscriber in place of its proxy, and
// carries no traffic. Backends are those of fakesystem. All of them share the CPU of one machine, which affects the
// figures.
//
// A System owns its processes, goroutines and folder; Stop ends and removes them. The package prints nothing;
// cmd/marlreelscale does.
package scale
