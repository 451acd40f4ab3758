// Package registry follows a list of nodes in a key-value registry, over etcd's JSON gateway or by Consul's blocking
// queries, and writes nodes' entries there. It owns the calls, how a watch continues after it broke, and the form of a
// node's value. It never judges what a list means or which one counts (package membership does), and never drops
// anything by itself.
//
// What it speaks: etcd's v3 API (KV range at a revision, watch with progress notifications and fragments, leases) and
// Consul's KV store (blocking queries with an index, check-and-set, sessions).
package registry
