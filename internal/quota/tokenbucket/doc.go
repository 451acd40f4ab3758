// Package tokenbucket limits what one tenant may send. A bucket starts empty, fills at a rate up to a capacity, and each
// request takes its cost out of it. For a while the cost counts as outstanding: it can be returned if the request never
// reached a backend.
//
// # The bound
//
// Let L be a bucket's level and O the sum of the outstanding costs. Each operation keeps L + O within the bucket's
// exposure: taking and returning move a cost between the two, a lapse lowers O, and filling stops at the exposure. So in
// any time T the grants of a bucket, net of returns, are at most L + O at the start of T plus what flows in during T:
// the exposure plus the rate times T. Rule.Parameters chooses the rate and the exposure so that this is within the users'
// rule for T = window + DelayAllowance. In a sequence of buckets, in which each starts empty after the last grant of the
// one before, the buckets together fill for T and only the first has an L + O at the start: they keep the same bound,
// however many they are (docs/design/shared-state.md).
//
// The package is pure: time is a parameter, measured on a monotonic clock from any fixed point.
package tokenbucket
