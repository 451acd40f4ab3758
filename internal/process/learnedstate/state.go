package learnedstate

import (
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/balancer/goodput"
	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/balancer/prediction"
)

// Bounds of the lists and names of a state.
const (
	MaxBackends  = 2048
	MaxClasses   = 64
	MaxTenants   = 1024
	maxNameBytes = 256
)

// Never is the age of an event that has not happened.
const Never = time.Duration(-1)

// State is what one process has learned.
//
// The stored form uses the names in the msgpack tags here, and the order of the fields in the structures below: if one
// is moved or its tag changed, other versions can't read the state. 'marlreel state show --json' and the errors of Check
// use the names in the json tags.
type State struct {
	ProxyName   string            `msgpack:"Of" json:"Of"`       // the state is useless to other proxies
	TakenAt     time.Time         `msgpack:"Taken" json:"Taken"` // by the wall clock
	Common      Common            `msgpack:"Common"`
	Classes     []Class           `msgpack:"Classes"`
	Tenants     []Tenant          `msgpack:"Tenants"`
	Backends    []Backend         `msgpack:"Backends"`
	Connections connections.State `msgpack:"Conns" json:"Conns"`
}

// Common is the learned state that doesn't belong to one class, tenant or backend.
type Common struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	MeanDelay          float64       `json:"Mean"` // of a request, ms
	MeanWork           float64       // of a request, ms
	MeanUtility        float64       `json:"MeanWorth"` // of a request
	MeanUtilityPerWork float64       `json:"MeanRank"`
	MeanWindow         float64       `json:"Over"`     // number of requests in these means
	RequestGap         time.Duration `json:"Gap"`      // mean time between two requests
	RetryTokens        float64       `json:"Retries"`  // remaining tokens of the retry budget
	FalseAlarms        float64       `json:"Alarms"`   // see package connectionfailure
	Answers            float64       `json:"Answered"` // likewise
	Offered            goodput.Tally `json:"Asked"`
}

// Class is the learned state of a request class.
type Class struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Name       string
	DelayFit   [5]float64             `json:"Line"` // least-squares sums of delay (ms) over cost hint: n, x, y, xx, xy
	DelayTail  [3]float64             `json:"Tail"` // quantile estimate: n, value, minimum
	Served     float64                // responses, decayed
	Prediction prediction.State       `json:"Forecast"`
	Gray       grayfailure.ClassState // see package grayfailure
	Offered    goodput.Tally          `json:"Asked"`
}

// Tenant is the learned state of a tenant.
type Tenant struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Name    string
	Offered goodput.Tally `json:"Asked"`
}

// Backend is the learned state of a backend.
type Backend struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint32 `msgpack:"-"` // as numbered by this process; not stored
	Name    string
	Address string `json:"Addr"`

	Healthy             bool
	FailedChecks        int           `json:"Fails"`  // consecutive
	PassedChecks        int           `json:"Passes"` // consecutive
	ConsecutiveFailures int           `json:"Bad"`    // attempts without a response since the last response
	ConsecutiveBreaks   int           `json:"Broken"` // attempts with a broken connection since the last response
	LastOK              time.Duration // age of the last response
	EjectedFor          time.Duration `json:"Ejected"` // remaining time of the ejection
	EjectionDuration    time.Duration `json:"Hold"`    // length of the last ejection; the next one is twice as long
	SinceStart          time.Duration `json:"Cold"`    // time since its last known or suspected start
	WarmupTokens        float64       `json:"Tokens"`  // slow start: work that it may be sent now, ms; negative is a debt
	ConcurrencyLimit    float64       `json:"Limit"`
	DelayRatios         float64       `json:"Delays"` // sum, decayed
	Answers             float64       // number of delay ratios, decayed
	DelayTail           [3]float64    `json:"Tail"` // quantile estimate: n, value, minimum
	Cells               []grayfailure.CellState
}

// Age returns how long before now the state was taken. The clocks of two machines may differ, or a clock may have been
// set, so a state that seems to come from the future counts as taken now.
func (s *State) Age(now time.Time) time.Duration { return max(0, now.Sub(s.TakenAt)) }
