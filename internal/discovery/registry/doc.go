// Package registry follows a list of nodes in a key-value registry, over etcd's JSON gateway or by Consul's blocking
// queries, and writes nodes' entries there. It owns the calls, how a watch resumes after it broke, and the format of a
// node's value. It never decides what a list means or which one is in force (package membership does), and never drops
// anything by itself.
//
// It uses etcd's v3 API (KV range at a revision, watch with progress notifications and fragments, leases) and Consul's
// KV store (blocking queries with an index, check-and-set, sessions).
package registry
