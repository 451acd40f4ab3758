// Package handover is how the processes of one proxy find each other during an upgrade, share the machine's capacity,
// and pass connections and learned state from the one that leaves to the one that takes over.
//
// It owns the files by which processes find each other (Rendezvous), the Unix sockets over which they transfer
// connections (Transfer, Serve), and the decision on each process's part of the capacity (ShareTracker, which is pure). It
// never decides what is transferred: internal/proxy does. Nothing rests on it: where all of it fails, each process keeps
// the proxy's rules by itself.
package handover
