// Package chain replicates a log over a few members with disks, by chain replication (van Renesse and Schneider,
// "Chain Replication for Supporting High Throughput and Availability", OSDI 2004) under views that the members agree
// on as in Vertical Paxos (Lamport, Malkhi and Zhou, PODC 2009), where the members themselves are the configuration
// master. Its one owner is internal/controlplane, which runs a Node for each control process.
//
// The package is pure: a Node takes messages, ticks and proposals with the time on them and gives back what to save, to
// send and to apply. It never opens a file or a socket, starts no goroutine and reads no clock.
//
// # Use
//
// A Node is made of what the member's disk holds, and called with the time since any fixed moment. Each call that
// takes the time returns an Output, which the caller carries out before it calls again:
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
//			save(node.DurableState(), out.Save) // synced; if that fails the Node must not be used any more
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
// A view names the members that vote and the chain that the live ones among them form, head first. View n+1 is one
// value, agreed by single-decree Paxos (prepare, promise, accept, accepted) among the members of view n, a majority
// of which decides. A member that promises a ballot for view n+1 is wedged: it takes no part in view n any more, and
// neither appends nor acknowledges in it.
//
// A chain is never shorter than a majority of its view's members. An entry is committed when every member of the chain
// has it on disk, so any majority of the members includes one that has it. Of the members that promise, the one whose
// log is furthest becomes head: furthest by the view in which the log was last made equal to its head's, then by
// length. That log holds all that was ever committed.
//
// Membership changes by one member at a time, and only from a view whose chain is in service, that is, whose members
// all have the head's log. Otherwise several changes in a row, none of them completed, could end with a majority of
// members that have none of the committed entries.
//
// # Joining and leaving
//
// A process outside the chain catches up first: it is sent what is committed until it lacks little, and joins the chain
// then. The chain stays in service meanwhile. A member that is about to end asks to be removed, and ends when the view
// without it is in service.
//
// # Replication
//
// The head of a new view synchronizes the others: it sends them the entries they lack, or a snapshot where their logs
// diverge from its own. When all have it, the view is in service and all of that log is committed. Then the head
// appends one entry at a time: each member saves it and replicates it to the next, the tail commits and acknowledges
// it, and the acknowledgement travels back to the head.
//
// # Disks
//
// What a Node asks to be saved must be on disk before what it asks to be sent goes out. A member whose disk came back
// empty has lost its promises too: it comes back under a new incarnation, which no view names, has no vote, and waits
// until a view takes it in. Only the very first start of the whole system founds a cluster, with the processes that
// the settings name as founders.
//
// # Files
//
// Each file has one concern: config.go (timeouts and bounds), durable.go (what is on disk), log.go (the log and its
// compaction), member.go and ballot.go (members, majorities, ballots), node.go (the Node and its state), output.go
// and event.go (what it returns), message.go (receiving and sending), heartbeat.go and peer.go (failure detection),
// viewchange.go (when another view is needed), proposal.go and acceptor.go (the two sides of Paxos),
// chainselection.go (the chain of a new view), view.go (installing it), sync.go (making the chain's logs equal),
// replicate.go (entries), confirm.go (whether a view still stands), catchup.go and leave.go.
package chain
