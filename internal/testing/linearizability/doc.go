// Package linearizability holds sequential specifications of what control answers, for a checker of linearizability
// (Herlihy and Wing, "Linearizability: A Correctness Condition for Concurrent Objects", 1990; the checker is porcupine).
// All simulations of whole clusters under faults check their clients' histories by the same models. The package is for
// tests: no daemon links it.
//
// An operation whose outcome is unknown to its client, because the answer was lost or said so, is recorded as one that
// returns at the end of the history, with a response that is not Definite.
package linearizability
