// Package relay chooses the source at which each agent watches each topic (package watch). Every topic has one relay in
// every zone: the agent that watches it at control and serves it to the zone's other agents. So each update crosses into
// a zone only once, and the topics are spread over the zone's agents by rendezvous hashing (Thaler and Ravishankar,
// 1998). In a zone of many agents the relay is the root of a tree with bounded fan-out: what a node sends for a topic
// does not grow with the zone, and the tree's depth grows with the logarithm of the zone's size.
//
// The package is pure: it opens no connections and keeps no state. Each agent decides by itself from the nodes that it
// knows. Agents that know different nodes may choose different relays, but their choices never form a cycle.
package relay
