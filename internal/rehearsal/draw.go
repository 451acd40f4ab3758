package rehearsal

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math/bits"
	"math/rand/v2"
	"time"
)

// randomStream is a named stream of random numbers. Streams are independent: what one draws does not
// depend on how many numbers another has drawn. All results use integers, or single
// floating-point operations that every machine rounds the same way, so that a seed gives the
// same plan on every machine.
type randomStream struct{ r *rand.Rand }

func newRandomStream(seed uint64, name string) randomStream {
	f := fnv.New64a()
	binary.Write(f, binary.BigEndian, seed)
	io.WriteString(f, name)
	return randomStream{rand.New(rand.NewPCG(seed, f.Sum64()))}
}

// intN returns a random integer from 0 to n-1.
func (d randomStream) intN(n int) int { return int(d.r.Uint64N(uint64(n))) }

// duration returns a random duration from low to high, in whole microseconds.
func (d randomStream) duration(low, high time.Duration) time.Duration {
	n := (high - low) / time.Microsecond
	if n <= 0 {
		return low
	}
	return low + time.Duration(d.r.Uint64N(uint64(n)+1))*time.Microsecond
}

// permille returns a random number from low to high, in thousandths.
func (d randomStream) permille(low, high float64) int {
	l, h := int(float64(low*1000)+0.5), int(float64(high*1000)+0.5)
	return l + d.intN(h-l+1)
}

// exp returns a value from the exponential distribution with mean 1, in units of 1/2^32.
func (d randomStream) exp() uint64 {
	return negLog(d.r.Uint64() | 1)
}

// negLog returns -ln(x / 2^64) in units of 1/2^32. It squares integers, as the logarithms
// of the standard library may differ in the last bit between processors.
func negLog(x uint64) uint64 {
	zeros := bits.LeadingZeros64(x)
	m := x << zeros // m / 2^63 lies in [1, 2)
	var frac uint64 // of its binary logarithm, 32 bits
	for range 32 {
		hi, lo := bits.Mul64(m, m) // (m/2^63)^2 = hi:lo / 2^126
		frac <<= 1
		if hi>>63 == 1 { // 2 or more
			frac |= 1
			m = hi
		} else {
			m = hi<<1 | lo>>63
		}
	}
	// log2(x/2^64) = -(zeros+1) + frac; times ln 2.
	log2 := uint64(zeros+1)<<32 - frac
	const ln2 = 0xb17217f7d1cf79ab // ln 2 x 2^64
	hi, _ := bits.Mul64(log2, ln2)
	return hi
}

// span returns a random duration with the given mean. Spread 0 gives the mean itself, 1 an exponential distribution.
func (d randomStream) span(mean time.Duration, spread float64) time.Duration {
	us := uint64(mean / time.Microsecond)
	part := uint64(float64(spread*1024) + 0.5)
	hi, lo := bits.Mul64(us*part, d.exp())
	random := (hi<<32 | lo>>32) >> 10
	return time.Duration((us*(1024-part))>>10+random) * time.Microsecond
}

// weighted returns a random index, with probabilities in proportion to the weights.
func (d randomStream) weighted(weights []uint64) int {
	var sum uint64
	for _, w := range weights {
		sum += w
	}
	x := d.r.Uint64N(sum)
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

// weights converts shares to integer weights of at least 1.
func weights[T any](of []T, share func(T) float64) []uint64 {
	w := make([]uint64, len(of))
	for i, v := range of {
		w[i] = max(1, uint64(float64(share(v)*1e6)+0.5))
	}
	return w
}

func (d randomStream) id() string { return fmt.Sprintf("%016x", d.r.Uint64()) }

// choose returns n random indices from 0 to of-1, in ascending order.
func (d randomStream) choose(n, of int) []int {
	var chosen []int
	for i := range of {
		if d.intN(of-i) < n-len(chosen) {
			chosen = append(chosen, i)
		}
	}
	return chosen
}
