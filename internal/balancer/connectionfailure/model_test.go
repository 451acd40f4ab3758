package connectionfailure

import (
	"testing"
	"time"
)

const second = time.Second

func TestThresholdRisesWithBreakRate(t *testing.T) {
	m := New(20 * second)
	if n := m.FailureThreshold(second); n != MinFailureRun {
		t.Errorf("with nothing learnt, %d in a row are a death", n)
	}
	for i := range 100 { // one break in three attempts
		m.RecordAnswer(i%2, second+time.Duration(i)*10*time.Millisecond)
	}
	usual := m.FailureThreshold(2 * second)
	if usual <= 2*MinFailureRun || usual > MaxFailureRun {
		t.Errorf("where one in three breaks, %d in a row are a death", usual)
	}
	if !m.MayBeAlive(3, 2*second) || m.MayBeAlive(60, 2*second) {
		t.Error("three in a row are a death, or sixty are none")
	}
	if n := m.FailureThreshold(200 * second); n >= usual {
		t.Errorf("ten spans later it is still %d", n)
	}
}
