// Command rehearse plays scenarios against real marlreel processes and reports the service they delivered. It runs stand-in
// backends and discovery, clients and faults, and audits the four rules. It also plays experiments, which answer one
// question from many runs, and stores their results.
package main
