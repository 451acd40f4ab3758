package machine

import (
	"time"

	"github.com/rotisserie/eris"
)

// Config describes a machine.
type Config struct {
	Cores      int
	Speed      float64 // of a core, as a multiple of a reference core
	Slots      int     // requests in service at once
	Queue      int     // requests that may wait for a slot
	Warmup     Warmup
	Congestion Congestion
}

// Warmup describes a machine's slow start. The zero value starts with all of its capacity and never crashes.
type Warmup struct {
	InitialCapacity  float64       // share of the capacity at the start, above 0 and up to 1
	Duration         time.Duration // from the start until all of the capacity is there
	OverloadMultiple float64       // of the present capacity, beyond which the machine crashes; 0 never crashes
	OverloadWindow   time.Duration // over which submitted work is summed up
}

// Congestion describes how a machine slows down under many concurrent requests. A zero Slowdown turns it off.
type Congestion struct {
	Headroom            float64       // outstanding requests above the cores, in square roots of the cores
	Window              time.Duration // over which outstanding requests are averaged
	Slowdown            float64       // what the speed is divided by
	RecoveryWindow      time.Duration // over which utilization is averaged
	RecoveryUtilization float64       // below which the machine recovers, as a share of the cores
	MaxDuration         time.Duration // after which the machine recovers in any case
	OncePerStart        bool          // the machine becomes congested once only between two starts
}

// Validate returns an error that names the first value which describes no machine. Comparisons are written so that
// NaN fails them.
func (c Config) Validate() error {
	switch {
	case c.Cores < 1:
		return eris.Errorf("cores = %d: at least 1 is needed", c.Cores)
	case !(c.Speed > 0):
		return eris.Errorf("speed = %v: more than 0 is needed", c.Speed)
	case c.Slots < 1 || c.Queue < 0:
		return eris.Errorf("slots = %d, queue = %d: at least 1 and 0 are needed", c.Slots, c.Queue)
	case c.Warmup.Duration > 0 && !(c.Warmup.InitialCapacity > 0 && c.Warmup.InitialCapacity <= 1):
		return eris.Errorf("cold from = %v: a share above 0 and up to 1 is needed", c.Warmup.InitialCapacity)
	case c.Warmup.OverloadMultiple != 0 && !(c.Warmup.OverloadMultiple > 0 && c.Warmup.OverloadWindow > 0):
		return eris.Errorf("cold multiple = %v over %v: both have to be above 0", c.Warmup.OverloadMultiple, c.Warmup.OverloadWindow)
	case c.Congestion.Slowdown != 0 && !c.Congestion.valid():
		return eris.Errorf("crowd slower = %v: at least 1 is needed, with over, rest and most above 0", c.Congestion.Slowdown)
	}
	return nil
}

func (c Congestion) valid() bool {
	return c.Slowdown >= 1 && c.Window > 0 && c.RecoveryWindow > 0 && c.MaxDuration > 0
}
