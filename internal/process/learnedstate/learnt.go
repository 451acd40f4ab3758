// Package learnedstate has what a proxy's decision maker has learnt in words that another process
// understands: the one that takes over at an upgrade. It owns the form (versions, checks,
// bounds) and judges how much of it still holds after the time that has passed. It is pure;
// it never reads or writes anything, and never decides what a request gets. No rule rests on
// it: a process that is told nothing, or turns down what it is told, keeps them all.
//
// All times are ages at the moment at which the state was taken, as clocks differ between
// processes; one below 0 is that of what has not been. All names are those of the settings
// and of the list, as numbers differ too.
package learnedstate

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/balancer/goodput"
	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/balancer/prediction"
)

// Bounds of a state that is taken or given.
const (
	MostBackends = 2048
	MostClasses  = 64
	MostTenants  = 1024
	longestName  = 256
)

// Never is the age of what has not been.
const Never = time.Duration(-1)

// State is what one process has learnt.
type State struct {
	Of       string    // the proxy's name: another one's is of no use
	Taken    time.Time // by the machine's clock
	Common   Common
	Classes  []Class
	Tenants  []Tenant
	Backends []Backend
	Conns    connections.State
}

// Common is what is learnt of no class and no backend alone.
type Common struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Mean, MeanWork, MeanWorth, MeanRank, Over float64 // of requests, and over how many
	Gap                                       time.Duration
	Retries                                   float64 // budget that is left
	Alarms, Answered                          float64 // package breaks
	Asked                                     goodput.Tally
}

// Class is what is learnt of a class of requests.
type Class struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Name     string
	Line     [5]float64 // delay over hint: n, x, y, xx, xy
	Tail     [3]float64 // n, at, least
	Served   float64    // answers lately
	Forecast prediction.State
	Gray     grayfailure.KindState
	Asked    goodput.Tally
}

// Tenant is what is learnt of a tenant.
type Tenant struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Name  string
	Asked goodput.Tally
}

// Backend is what is learnt of a backend.
type Backend struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	ID   uint32 `msgpack:"-"` // its holder's; not told
	Name string
	Addr string

	Healthy                    bool
	Fails, Passes, Bad, Broken int
	LastOK, Ejected, Hold      time.Duration // Ejected: for how long still
	Cold                       time.Duration // since its last start, known or suspected
	Tokens                     float64       // of the cold budget
	Limit                      float64
	Delays, Answers            float64
	Tail                       [3]float64
	Cells                      []grayfailure.CellState // by State.Classes
}

// Check names the first thing that can't be: what comes from elsewhere is believed only as a
// whole.
func (s *State) Check() error {
	switch {
	case len(s.Backends) > MostBackends:
		return fmt.Errorf("learnt: %d backends, %d at most", len(s.Backends), MostBackends)
	case len(s.Classes) > MostClasses:
		return fmt.Errorf("learnt: %d classes, %d at most", len(s.Classes), MostClasses)
	case len(s.Tenants) > MostTenants:
		return fmt.Errorf("learnt: %d tenants, %d at most", len(s.Tenants), MostTenants)
	}
	for i := range s.Backends {
		if b := &s.Backends[i]; len(b.Cells) != len(s.Classes) {
			return fmt.Errorf("learnt: backend %q has %d classes, there are %d", b.Name, len(b.Cells), len(s.Classes))
		}
	}
	return sound(reflect.ValueOf(s).Elem(), "state")
}

var timeType = reflect.TypeFor[time.Time]()

// sound finds a number that is none, a span longer than any process lives, or a name that is
// too long. By reflection, so that no field can be forgotten; it runs once in a process's life.
func sound(v reflect.Value, path string) error {
	const longest = 1000 * time.Hour
	switch v.Kind() {
	case reflect.Float64:
		if f := v.Float(); math.IsNaN(f) || math.Abs(f) > 1e15 || f < 0 && !mayBeNegative(path) {
			return fmt.Errorf("learnt: %s is %v", path, f)
		}
	case reflect.Int64:
		if d := time.Duration(v.Int()); d > longest || d < -longest {
			return fmt.Errorf("learnt: %s is %v", path, d)
		}
	case reflect.Int:
		if n := v.Int(); n < 0 || n > math.MaxInt32 {
			return fmt.Errorf("learnt: %s is %d", path, n)
		}
	case reflect.String:
		if v.Len() > longestName {
			return fmt.Errorf("learnt: %s has %d bytes", path, v.Len())
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			if err := sound(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		if v.Type() == timeType {
			return nil
		}
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				if err := sound(v.Field(i), path+"."+f.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// mayBeNegative tells which numbers are not counts, sums or shares of what is positive: a budget
// that is overdrawn, and sums over logarithms.
func mayBeNegative(path string) bool {
	for _, field := range [...]string{".Tokens", ".Forecast.Sum", ".Gray.Dev"} {
		if strings.HasSuffix(path, field) {
			return true
		}
	}
	return false
}

// Away is how long ago the state was taken, by the clock of who asks, which is another's or
// may have been set since: what seems to come from the future was taken now.
func (s *State) Away(now time.Time) time.Duration { return max(0, now.Sub(s.Taken)) }
