// Package chain replicates a log over a few members with disks, by chain replication (van Renesse and Schneider,
// "Chain Replication for Supporting High Throughput and Availability", OSDI 2004) under views that the members agree
// on as in Vertical Paxos (Lamport, Malkhi and Zhou, PODC 2009), except that the members themselves act as the
// configuration master. Only internal/controlplane uses it: it runs one Node in each control process.
//
// The package does no I/O: the caller passes messages, ticks and proposals to a Node together with the current time,
// and the Node returns what to save, send and apply. It never opens a file or a socket, starts no goroutine and reads
// no clock.
//
// # Use
//
// A Node is created from the member's state on disk. Times are durations since an arbitrary fixed moment. Each call
// that takes the time returns an Output, which the caller carries out before it calls the Node again:
//
//	node := chain.New(chain.DefaultConfig(3), durable, stateMachine, seeds, now())
//	for {
//		var out chain.Output
//		select {
//		case <-ticker.C: // a few times in each Config.HeartbeatInterval
//			out = node.Tick(now())
//		case message := <-received:
//			out = node.Receive(now(), message)
//		case operations := <-proposals: // only while node.CanPropose()
//			_, out = node.Propose(now(), operations)
//		}
//		if out.Save.Any() {
//			save(node.DurableState(), out.Save) // with fsync; if this fails, the Node must not be used any more
//		}
//		for _, message := range out.Messages {
//			send(message) // may be lost, repeated, delayed and reordered
//		}
//		for _, entry := range out.Committed {
//			acknowledge(entry)
//		}
//	}
//
// # Views
//
// A view names the voting members and the chain formed by the live ones among them, head first. View n+1 is a single
// value, agreed on by single-decree Paxos (prepare, promise, accept, accepted): a majority of the members of view n
// decides it. A member that promises a ballot for view n+1 is wedged: it stops taking part in view n, and neither
// appends nor acknowledges entries in it.
//
// A chain is never shorter than a majority of its view's members. An entry is committed when every member of the chain
// has it on disk, so any majority of the members includes one that has it. Of the members that promise, the one with
// the most advanced log becomes head. Logs are compared by the view in which they were last synchronized with its head,
// then by length. The most advanced log holds every committed entry.
//
// Membership changes by one member at a time, and only from a view that is in service, which means that all members of
// its chain have the head's log. Otherwise several incomplete changes in a row could end with a majority of members
// that have none of the committed entries.
//
// # Joining and leaving
//
// A process outside the chain catches up first: the head sends it committed entries until few are missing, and then
// proposes a view with it. The chain stays in service meanwhile. A member that shuts down asks to be removed, and exits
// once the view without it is in service.
//
// # Replication
//
// The head of a new view synchronizes the other members of the chain: it sends them the entries they lack, or a
// snapshot where their logs diverge from its own. When all of them have the head's log, the view is in service and
// that whole log is committed. Then the head appends one entry at a time: each member saves it and forwards it to its
// successor, the tail commits and acknowledges it, and the acknowledgement travels back to the head.
//
// # Disks
//
// Whatever an Output asks to be saved must be on disk before its messages are sent. A member that lost its disk has
// lost its promises too. It therefore restarts under a new incarnation, which no view names: it has no vote, and waits
// until a view includes it. Only the very first start of the whole system founds a cluster, from the processes that
// the settings name as founders.
//
// # Files
//
// Each file has one concern: config.go (timeouts and bounds), durable.go (the state on disk), log.go (the log and its
// compaction), member.go and ballot.go (members, majorities, ballots), node.go (the Node and its state), output.go
// and event.go (what it returns), message.go (receiving and sending), heartbeat.go and peer.go (failure detection),
// viewchange.go (when another view is needed), proposal.go and acceptor.go (the two sides of Paxos),
// chainselection.go (the chain of a new view), view.go (installing it), sync.go (synchronizing the chain's logs),
// replicate.go (entries), confirm.go (whether a view is still current), catchup.go and leave.go.
package chain
