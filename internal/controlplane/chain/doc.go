// Package chain replicates a log over a few members with disks, by chain
// replication under agreed views. It is pure: a Node takes messages, ticks and
// proposals with the time on them and gives back what to save, to send and to
// apply. It opens nothing, starts no goroutine and reads no clock.
//
// # Views
//
// A view names the members that count and the chain that its live ones form, head
// first. View n+1 is one value, agreed as in single-decree Paxos by a majority of
// the members of view n. A member that promises a ballot for view n+1 takes no part
// in view n any more: it neither appends nor acknowledges.
//
// A chain is never shorter than a majority of its view's members. An entry is
// committed when every member of the chain has it on disk, so any majority of the
// members has one that knows it. Of the members that promise, the one whose log is
// furthest becomes head: furthest by the view in which the log was last made equal
// to its head's, then by length. That log holds all that was ever committed.
//
// Who the members are changes by one member at a time, and only from a view whose
// chain is in service, that is, whose members all have the head's log. Otherwise
// several changes in a row, none of them completed, could end with a majority of
// members that know nothing.
//
// # Joining and leaving
//
// A process outside the chain is sent what is committed until it lacks little, and is
// taken in then: the chain goes on serving meanwhile. A member that is about to end asks
// to be left out, and ends when the view without it is in service.
//
// # Replication
//
// The head of a new view sends the others what they lack, or a snapshot where
// their logs part from its own. When all have it, the view is in service and all of
// that log is committed. Then the head appends one entry at a time: each member
// saves it and passes it on, the tail acknowledges, and the acknowledgement runs
// back up the chain.
//
// # Disks
//
// What a Node asks to be saved must be on disk before what it asks to be sent goes
// out. A member whose disk came back empty has lost its promises too: it comes back
// under a new incarnation, which no view knows, has no vote, and waits until a view
// takes it in. Only the very first start of the whole system founds a cluster, with
// the processes that the settings name as founders.
package chain
