// Package grayfailure judges backends by class of requests: how likely each is to answer a class in time, how much
// longer it takes for that class than for others, and when a class that a backend served badly is tried there again.
//
// A gray failure (Huang and others, "Gray Failure: The Achilles' Heel of Cloud-Scale Systems", HotOS 2017) is one
// that the observer who should act on it does not see, such as a backend that answers every health check and every
// listing request, but only one bid in eight.
//
// # The probability of an answer
//
// Each pair of a backend and a class is a Cell with a hidden state, good or bad, which changes at random. In a good
// cell an attempt fails as often as the class does elsewhere (the ratio e, learned over all good cells) and otherwise
// takes the usual time of the class, multiplied by the current delay ratio of this backend's other classes. In a bad
// cell only a ratio q of the attempts is answered. The probability that a cell is bad follows from Bayes' rule over
// ended attempts and over those in flight:
//
//	answered           good: 1-e             bad: q
//	failed             good: e               bad: 1-q
//	no answer at age a good: e + (1-e) S(a)  bad: 1-q + q S(a)
//
// S(a) is the probability that a good cell takes longer than a: log-normal, with a mean and a spread learned for the
// class. So attempts in flight count by their age at once, as in an accrual failure detector (Hayashibara and others,
// SRDS 2004), and attempts that were cancelled early are weak evidence. Between events the probability drifts towards
// the value that it has without evidence, at the rates at which faults begin and end: the filter of Shiryaev's
// change-point test ("On optimum methods in quickest detection problems", 1963), extended to faults that end. A fault
// is expected to last MinFaultDuration longer, or MaxFaultDuration if its cell is ejected.
//
// # Attribution
//
// Three cases look alike: a class that a backend serves badly, a backend that has failed, and a class that fails
// everywhere.
//
//   - A backend that answers nothing has failed as a whole. So a cell's probability counts only as far as other
//     classes show that the backend answers: after v answers to their attempts that were sent after this class's
//     answers stopped, it counts by v/(v+1) (Laplace's rule of succession).
//   - A backend that is slow for all classes is expected to be slow for this one: S includes its delay ratio.
//   - A class that fails everywhere is ejected nowhere: cells are compared with the best of their class, and only a
//     cell with less than half of the best one's probability of an answer is ejected.
//
// # Delay by class
//
// A cell's own mean delay ratio is shrunk towards its backend's according to how much the cells of that class really
// differ: the between-cell variance of DerSimonian and Laird (1986), which is zero as long as chance explains all
// differences. So without a fault the backend's ratio is used unchanged.
//
// # Reinstatement
//
// An ejected cell gets one attempt at a time, a trial, as long as the class has trial tokens. A failed trial costs a
// token (a part of one if its request can be retried elsewhere); each attempt of the class earns TrialRatio tokens. A
// successful trial costs nothing, so a recovered cell is reinstated after a few answers; and it makes trials of the
// class's other cells likelier, which may have recovered too.
//
// The package is pure: no goroutine, no clock, no input or output, no random numbers. It knows neither requests nor
// the membership; package balancer, which owns the Model, decides where a request goes.
package grayfailure
