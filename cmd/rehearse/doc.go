// Command rehearse plays scenarios against real marlreel processes and reports what service was kept: stand-in backends and
// discovery, clients, faults, an audit of the four rules, and a report. It also plays experiments, which ask one
// question of many runs, and keeps their results.
package main
