package connectionfailure

import (
	"testing"
	"time"
)

const second = time.Second

func TestThresholdRisesWithBreakRate(t *testing.T) {
	m := New(20 * second)
	if n := m.FailureThreshold(second); n != MinFailureRun {
		t.Errorf("with nothing learned, the threshold is %d breaks in a row", n)
	}
	for i := range 100 { // one break in three attempts
		m.RecordAnswer(i%2, second+time.Duration(i)*10*time.Millisecond)
	}
	threshold := m.FailureThreshold(2 * second)
	if threshold <= 2*MinFailureRun || threshold > MaxFailureRun {
		t.Errorf("where one attempt in three breaks, the threshold is %d breaks in a row", threshold)
	}
	if !m.MayBeAlive(3, 2*second) || m.MayBeAlive(60, 2*second) {
		t.Error("three breaks in a row rule out a live backend, or sixty do not")
	}
	if n := m.FailureThreshold(200 * second); n >= threshold {
		t.Errorf("ten time constants later the threshold is still %d", n)
	}
}
