// Package linearizability holds sequential specifications of the control API for a linearizability checker
// (Herlihy and Wing, "Linearizability: A Correctness Condition for Concurrent Objects", 1990; the checker is porcupine).
// All simulations of whole clusters under faults check their clients' histories against these models. The package is
// for tests: no daemon links it.
//
// An operation whose outcome is unknown to its client, because the response was lost or reported an unknown outcome, is
// recorded as returning at the end of the history, with a response that is not Definite.
package linearizability
