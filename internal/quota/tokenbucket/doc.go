// Package tokenbucket counts what one tenant may send. A bucket starts empty, fills at a rate up to a capacity, and
// each request takes its cost out of it. What was taken for a request that never reached a backend can be put back for a
// while; until then it counts as outstanding.
//
// # The bound
//
// Let L be a bucket's level and O what is outstanding. Each step keeps L + O within the bucket's exposure: taking and
// returning move a cost from one to the other, a lapse lowers O, and filling stops at it. So in any time T a bucket grants,
// net of what is returned, at most L + O at its beginning and what it fills by meanwhile: the exposure, and the rate times
// T. Rule.Parameters chooses rate and exposure so that this is within the users' rule for T = window + DelayAllowance.
// Buckets that follow one another, each starting empty after the last grant of the one before, fill for T in all and
// have one L + O at its beginning: they keep the same bound, however many they are (docs/design/shared-state.md).
//
// The package is pure: time is a parameter, measured on a monotonic clock since any fixed point.
package tokenbucket
