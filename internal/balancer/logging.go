package balancer

// Logging, rate-limited so that whoever is on call can read it.

import (
	"fmt"
	"time"
)

// logInterval is the time in which one line is logged, or maxClassLogLines about classes.
const logInterval = 2 * time.Second

// log writes a line, unless one was written within logInterval.
func (b *Balancer) log(line string) {
	if b.lastLog == 0 || b.now-b.lastLog >= logInterval {
		b.lastLog = b.now
		b.host.Log(line)
	}
}

// logClass writes a line about a class at a backend. Of many within logInterval it writes the first ones, and later
// how many it suppressed.
func (b *Balancer) logClass(line string) {
	allowed, suppressed := b.classLogLimit.allow(b.now, logInterval, maxClassLogLines)
	if suppressed > 0 {
		b.host.Log(fmt.Sprintf("%d more changes of what backends get", suppressed))
	}
	if allowed {
		b.host.Log(line)
	}
}

// logRateLimit allows a few lines in each interval.
type logRateLimit struct {
	from time.Duration
	n    int
}

// allow tells whether a line may be written, and how many were suppressed in an interval that has just ended.
func (l *logRateLimit) allow(now, interval time.Duration, maxLines int) (allowed bool, suppressed int) {
	if now-l.from >= interval {
		suppressed = max(0, l.n-maxLines)
		l.from, l.n = now, 0
	}
	l.n++
	return l.n <= maxLines, suppressed
}
