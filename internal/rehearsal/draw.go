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

// draws is a stream of random numbers of its own name: what one stream draws never
// depends on how much another did. All results are made with integers, or with single
// floating-point operations that every machine rounds alike, so that a seed means the
// same plan everywhere.
type draws struct{ r *rand.Rand }

func newDraws(seed uint64, name string) draws {
	f := fnv.New64a()
	binary.Write(f, binary.BigEndian, seed)
	io.WriteString(f, name)
	return draws{rand.New(rand.NewPCG(seed, f.Sum64()))}
}

// below draws a number from 0 to n-1.
func (d draws) below(n int) int { return int(d.r.Uint64N(uint64(n))) }

// between draws a span from low to high, of whole microseconds.
func (d draws) between(low, high time.Duration) time.Duration {
	n := (high - low) / time.Microsecond
	if n <= 0 {
		return low
	}
	return low + time.Duration(d.r.Uint64N(uint64(n)+1))*time.Microsecond
}

// permille draws a thousandth from low to high.
func (d draws) permille(low, high float64) int {
	l, h := int(float64(low*1000)+0.5), int(float64(high*1000)+0.5)
	return l + d.below(h-l+1)
}

// exp draws from the exponential distribution with mean 1, in units of 1/2^32.
func (d draws) exp() uint64 {
	return negLog(d.r.Uint64() | 1)
}

// negLog is -ln(x / 2^64) in units of 1/2^32, by squaring in integers: the logarithms
// of the standard library may differ in the last bit from one processor to the next.
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

// span draws a time of the given mean: spread 0 is the mean itself, 1 exponential.
func (d draws) span(mean time.Duration, spread float64) time.Duration {
	us := uint64(mean / time.Microsecond)
	part := uint64(float64(spread*1024) + 0.5)
	hi, lo := bits.Mul64(us*part, d.exp())
	random := (hi<<32 | lo>>32) >> 10
	return time.Duration((us*(1024-part))>>10+random) * time.Microsecond
}

// weighted draws an index by weights.
func (d draws) weighted(weights []uint64) int {
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

// weights makes whole numbers of shares.
func weights[T any](of []T, share func(T) float64) []uint64 {
	w := make([]uint64, len(of))
	for i, v := range of {
		w[i] = max(1, uint64(float64(share(v)*1e6)+0.5))
	}
	return w
}

func (d draws) id() string { return fmt.Sprintf("%016x", d.r.Uint64()) }

// choose draws n of the indices up to of, in rising order.
func (d draws) choose(n, of int) []int {
	var chosen []int
	for i := range of {
		if d.below(of-i) < n-len(chosen) {
			chosen = append(chosen, i)
		}
	}
	return chosen
}
