package learnedstate

import (
	"time"

	"marlreel/internal/balancer/connections"
	"marlreel/internal/balancer/goodput"
	"marlreel/internal/balancer/grayfailure"
	"marlreel/internal/balancer/prediction"
)

// Bounds of a state.
const (
	MaxBackends  = 2048
	MaxClasses   = 64
	MaxTenants   = 1024
	maxNameBytes = 256
)

// Never is the age of what has not happened.
const Never = time.Duration(-1)

// State is what one process learned.
//
// Its stored form has the names of the msgpack tags here, and the order of the fields in all structures below: a field
// that is moved or renamed there can't be read by other versions. The json tags are the names under which
// 'marlreel state show --json' prints the fields and Check reports them.
type State struct {
	ProxyName   string            `msgpack:"Of" json:"Of"`       // another proxy's state is of no use
	TakenAt     time.Time         `msgpack:"Taken" json:"Taken"` // by the wall clock
	Common      Common            `msgpack:"Common"`
	Classes     []Class           `msgpack:"Classes"`
	Tenants     []Tenant          `msgpack:"Tenants"`
	Backends    []Backend         `msgpack:"Backends"`
	Connections connections.State `msgpack:"Conns" json:"Conns"`
}

// Common is what was learned of no class and no backend alone.
type Common struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	MeanDelay          float64       `json:"Mean"` // of a request, ms
	MeanWork           float64       // of a request, ms
	MeanUtility        float64       `json:"MeanWorth"` // of a request
	MeanUtilityPerWork float64       `json:"MeanRank"`
	MeanWindow         float64       `json:"Over"`     // requests that these means are taken over
	RequestGap         time.Duration `json:"Gap"`      // between two requests, on average
	RetryTokens        float64       `json:"Retries"`  // left of the retry budget
	FalseAlarms        float64       `json:"Alarms"`   // see package connectionfailure
	Answers            float64       `json:"Answered"` // likewise
	Offered            goodput.Tally `json:"Asked"`
}

// Class is what was learned of a class of requests.
type Class struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Name       string
	DelayFit   [5]float64             `json:"Line"` // least squares of delay over cost hint, ms: n, x, y, xx, xy
	DelayTail  [3]float64             `json:"Tail"` // quantile: n, value, minimum
	Served     float64                // answers, decayed
	Prediction prediction.State       `json:"Forecast"`
	Gray       grayfailure.ClassState // see package grayfailure
	Offered    goodput.Tally          `json:"Asked"`
}

// Tenant is what was learned of a tenant.
type Tenant struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Name    string
	Offered goodput.Tally `json:"Asked"`
}

// Backend is what was learned of a backend.
type Backend struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint32 `msgpack:"-"` // of the process that has the state; not stored
	Name    string
	Address string `json:"Addr"`

	Healthy             bool
	FailedChecks        int           `json:"Fails"`  // in a row
	PassedChecks        int           `json:"Passes"` // in a row
	ConsecutiveFailures int           `json:"Bad"`    // attempts without an answer since the last answer
	ConsecutiveBreaks   int           `json:"Broken"` // attempts whose connection broke since the last answer
	LastOK              time.Duration // age of the last answer
	EjectedFor          time.Duration `json:"Ejected"` // how long it stays ejected
	EjectionDuration    time.Duration `json:"Hold"`    // of the last ejection; the next one lasts twice as long
	SinceStart          time.Duration `json:"Cold"`    // age of its last start, known or suspected
	WarmupTokens        float64       `json:"Tokens"`  // work that it may be sent while it warms up, ms; may be a debt
	ConcurrencyLimit    float64       `json:"Limit"`
	DelayRatios         float64       `json:"Delays"` // sum, decayed
	Answers             float64       // number of delay ratios, decayed
	DelayTail           [3]float64    `json:"Tail"` // quantile: n, value, minimum
	Cells               []grayfailure.CellState
}

// Age is how long before now the state was taken. The clock may be another machine's, or may have been set since: a
// state that seems to come from the future was taken now.
func (s *State) Age(now time.Time) time.Duration { return max(0, now.Sub(s.TakenAt)) }
