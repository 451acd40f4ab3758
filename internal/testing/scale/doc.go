// Package scale runs systems of any size on the loopback addresses of one machine and measures what each role costs.
//
// The control processes and one proxy with its agent are real processes. All other machines are hollow, as Kubemark's
// nodes are: agents in this process, which speak the real protocol, each with a subscriber in place of its proxy;
// they carry no traffic. Backends are fakesystem's. Figures are those of one machine, whose processor all share.
//
// A System owns its processes, goroutines and folder, and Stop ends and removes them. The package prints nothing;
// cmd/marlreelscale does.
package scale
