package balancer

// Logging: a few lines at most in a short time, for whoever is on call.

import (
	"fmt"
	"time"
)

// logInterval is the time in which one line goes out, or maxClassLogLines on classes.
const logInterval = 2 * time.Second

// log writes a line, unless one has just been written.
func (b *Balancer) log(line string) {
	if b.lastLog == 0 || b.now-b.lastLog >= logInterval {
		b.lastLog = b.now
		b.host.Log(line)
	}
}

// logClass writes a line on a class at a backend; of many in a short time the first ones, and how many
// there were.
func (b *Balancer) logClass(line string) {
	allowed, suppressed := b.classLogLimit.allow(b.now, logInterval, maxClassLogLines)
	if suppressed > 0 {
		b.host.Log(fmt.Sprintf("%d more changes of what backends get", suppressed))
	}
	if allowed {
		b.host.Log(line)
	}
}

// logRateLimit lets a few lines through in each interval.
type logRateLimit struct {
	from time.Duration
	n    int
}

// allow tells whether a line goes through, and how many did not in an interval that has just ended.
func (l *logRateLimit) allow(now, interval time.Duration, maxLines int) (allowed bool, suppressed int) {
	if now-l.from >= interval {
		suppressed = max(0, l.n-maxLines)
		l.from, l.n = now, 0
	}
	l.n++
	return l.n <= maxLines, suppressed
}
