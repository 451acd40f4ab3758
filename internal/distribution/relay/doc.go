// Package relay decides from where each agent watches each topic (package watch). Every topic has a relay in every zone:
// the agent there that watches it at control, and at which the zone's other agents watch it. So an update crosses to a
// zone once for each topic, and the topics are spread over the zone's agents by rendezvous hashing (Thaler and
// Ravishankar, 1998). In a zone of many agents the relay is the root of a tree of bounded fan-out: what a node sends for
// a topic does not grow with the zone, and the way from control grows by its logarithm.
//
// The package is pure: it dials nothing and keeps no state. Each agent decides for itself by the nodes that it knows.
// Agents that know different nodes may choose different relays, and never watch at one another in a circle.
package relay
