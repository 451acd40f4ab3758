// Package handover lets the processes of one proxy find each other during an upgrade, share the machine's capacity,
// and transfer connections and learned state from the process that leaves to the one that takes over.
//
// It owns the files through which processes find each other (Rendezvous), the Unix sockets over which they transfer
// connections (Transfer, Serve), and the decision on each process's share of the capacity (ShareTracker, which is
// pure). internal/proxy decides what is transferred. The handover is best effort: even if all of it fails, each
// process satisfies the proxy's rules by itself.
package handover
