// Package grayfailure judges backends by class of requests: how likely each is to answer a class in time, how much
// longer it takes for that class than for others, and when a class that a backend served badly is tried there again.
//
// A gray failure (Huang and others, "Gray Failure: The Achilles' Heel of Cloud-Scale Systems", HotOS 2017) is one
// that the observer who should act on it does not see: a backend that answers every health check and every listing,
// and one bid in eight.
//
// # The probability of an answer
//
// Each pair of a backend and a class is a Cell with a hidden state, good or bad, which changes by itself now and
// then. In a good one an attempt fails as often as the class does elsewhere (the ratio e, learned over all good
// cells) and otherwise takes the time that the class usually takes, longer by the ratio by which this backend's other
// classes take longer now. In a bad one all but a ratio q gets no answer. The probability that a cell is bad follows
// from Bayes' rule over ended attempts and over those in flight:
//
//	answered           good: 1-e             bad: q
//	failed             good: e               bad: 1-q
//	no answer at age a good: e + (1-e) S(a)  bad: 1-q + q S(a)
//
// S(a) is the probability that a good one takes longer than a: log-normal, with a mean and a spread learned for the
// class. So what is in flight counts by its age at once, as in an accrual failure detector (Hayashibara and others,
// SRDS 2004), and what was cancelled early says little. Between events the probability drifts towards what it would
// be with nothing known, by the rates at which faults begin and end: the filter of Shiryaev's change-point test ("On
// optimum methods in quickest detection problems", 1963), where a fault may also end. One that has lasted is taken to
// last as long again, within bounds.
//
// # Whose fault it is
//
// Three things look alike, a class that a backend serves badly, a backend that has failed, and a class that fails
// everywhere:
//
//   - A backend that answers nothing has failed as a whole. So a cell's probability counts only as far as other
//     classes show that the backend answers: by v answers to attempts of theirs that were sent after this class
//     stopped being answered, it counts by v/(v+1) (Laplace's rule of succession).
//   - A backend that is slow for all classes is expected to be slow for this one: S takes its ratio.
//   - A class that fails everywhere is ejected nowhere: cells are compared with the best of their class, and ejected
//     is only one with less than half of that one's probability of an answer.
//
// # Delay by class
//
// A cell's own mean delay ratio is shrunk towards its backend's by how much the cells of that class really differ: the
// between-cell variance of DerSimonian and Laird (1986), which is zero while all differences are what chance would
// make. While nothing is wrong, nothing changes.
//
// # Reinstatement
//
// An ejected cell gets one attempt at a time, a trial, as long as the class has tokens. A trial that fails costs a
// token (one whose request can be retried elsewhere, a part of one); each attempt of the class earns the ratio that may
// be spent. A trial that succeeds costs nothing, so a cell that has recovered is reinstated after a few answers; and it
// makes trials of the other cells of the class likelier, which may have recovered too.
//
// The package is pure: no goroutine, no clock, no input or output, no random numbers. It never decides where a request
// goes, and knows neither requests nor the membership: package balancer does, which owns the Model.
package grayfailure
