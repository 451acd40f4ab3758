package balancer

// The settings: their validation, and the settings of the models that are derived from them.

import (
	"fmt"
	"time"

	"marlreel/internal/balancer/goodput"
	"marlreel/internal/balancer/idempotency"
	"marlreel/internal/balancer/prediction"
	"marlreel/internal/balancer/retrystorm"
)

const (
	minHealthCheckInterval      = 100 * time.Millisecond
	minHealthCheckIntervalTicks = 20
)

// ConfigError reports an invalid setting. New, Validate and Reconfigure return it.
type ConfigError struct {
	Field  string // its name in the users' settings, with the index if it is in a list
	Reason string
}

var _ error = (*ConfigError)(nil)

// Error implements error.
func (e *ConfigError) Error() string { return "field " + e.Field + ": " + e.Reason }

// Validate runs the check that New makes, for callers that need the result beforehand. The error is a ConfigError.
func (c *Config) Validate() error { return c.check() }

// check returns a ConfigError for the first invalid setting, or nil.
func (c *Config) check() error {
	if err := c.checkClasses(); err != nil {
		return err
	}
	for i, t := range c.Tenants {
		if t.TrafficShare < 0 || t.QuotaPerS < 0 {
			return &ConfigError{fmt.Sprintf("Tenants[%d]", i), "Share or QuotaPerS is negative"}
		}
	}
	if err := c.checkBounds(); err != nil {
		return err
	}
	if c.Instances < 1 {
		return &ConfigError{"Instances", fmt.Sprintf("%d, must be 1 or more", c.Instances)}
	}
	return nil
}

func (c *Config) checkClasses() error {
	if len(c.Classes) == 0 {
		return &ConfigError{"Classes", "none given"}
	}
	for i, class := range c.Classes {
		if class.LatencyTarget <= 0 || class.ClientTimeout <= 0 {
			return &ConfigError{
				fmt.Sprintf("Classes[%d] (%s)", i, class.Name),
				fmt.Sprintf("Aim %v and GiveUp %v must be above 0", class.LatencyTarget, class.ClientTimeout),
			}
		}
		if class.IdempotencyWindow < 0 || class.Value < 0 || class.LatencyTargetStretch < 0 || class.LateValueRatio < 0 {
			return &ConfigError{fmt.Sprintf("Classes[%d]", i), "Window, Value, AimStretch or LateShare is negative"}
		}
	}
	return nil
}

// checkBounds returns a ConfigError for the first scalar setting that is negative, or nil.
func (c *Config) checkBounds() error {
	o, limits := &c.Obligations, &c.Caps
	for _, setting := range []struct {
		field    string
		negative bool
	}{
		{"Tick", c.Tick < 0},
		{"Rank", c.Rank < 0},
		{"OverShareWorth", c.OverQuotaValue < 0},
		{"Obligations.AnswerSlack", o.AnswerSlack < 0},
		{"Obligations.AskEvery", o.MaxMembershipAge < 0},
		{"Obligations.Cold", o.WarmupDuration < 0},
		{"Obligations.DrainGrace", o.DrainGrace < 0},
		{"Obligations.Fall", o.OverloadWindow < 0},
		{"Obligations.FallMultiple", o.OverloadMultiple < 0},
		{"Obligations.StartCapacity", o.InitialCapacity < 0},
		{"Caps.ConnIdle", limits.ConnIdle < 0},
		{"Caps.ConnectTimeout", limits.ConnectTimeout < 0},
		{"Caps.SweepEvery", limits.SweepEvery < 0},
		{"Caps.MaxRetryAfter", limits.MaxRetryAfter < 0},
		{"Caps.MaxAttempts", limits.MaxAttempts < 0},
	} {
		if setting.negative {
			return &ConfigError{setting.field, "is negative"}
		}
	}
	return nil
}

// healthCheckInterval is the time between two health checks of a suspect backend.
func (c *Config) healthCheckInterval() time.Duration {
	return max(suspectCheckTimeouts*c.Caps.ConnectTimeout, minHealthCheckIntervalTicks*c.Tick, minHealthCheckInterval)
}

// sweepEvery is the time between two sweeps.
func (c *Config) sweepEvery() time.Duration {
	if c.Caps.SweepEvery > 0 {
		return c.Caps.SweepEvery
	}
	return c.healthCheckInterval() / sweepsPerInterval
}

// advice returns the configured Advice, or NoAdvice.
func (c *Config) advice() Advice {
	if c.Advice == nil {
		return NoAdvice{}
	}
	return c.Advice
}

// retryStormConfig returns the settings of the retry storm model.
func (c *Config) retryStormConfig() retrystorm.Config {
	clientTimeout := time.Duration(0)
	for _, class := range c.Classes {
		clientTimeout = max(clientTimeout, class.ClientTimeout)
	}
	return retrystorm.Config{
		ClientTimeout:   clientTimeout,
		SendsRetryAfter: c.Caps.RetryAfter,
		CalmRetryAfter:  c.healthCheckInterval(),
		MaxRetryAfter:   c.Caps.MaxRetryAfter,
	}
}

// quotas returns the tenants' quotas in requests a second, over all proxies.
func (c *Config) quotas() []float64 {
	quotas := make([]float64, len(c.Tenants))
	for i, t := range c.Tenants {
		quotas[i] = t.QuotaPerS
	}
	return quotas
}

// costs returns the prices of sending, for the prediction model.
func (c *Config) costs() prediction.Costs {
	return prediction.Costs{Waste: c.Prices.Waste, CrossZone: c.Prices.CrossZone}
}

// weights returns the goal's weights for the goodput model.
func (g Goal) weights() goodput.Goal {
	return goodput.Goal{Total: g.Total, WorstClass: g.WorstClass, WorstTenant: g.WorstTenant, WorstWindow: g.WorstWindow}
}

// terms returns what a class allows for retries.
func (c *Class) terms() idempotency.Terms {
	t := idempotency.Terms{Window: c.IdempotencyWindow}
	switch {
	case c.Effect == Unsafe:
		return idempotency.Terms{}
	case c.Effect == Safe:
		return idempotency.Terms{Effect: idempotency.Safe}
	case c.Group == GroupCell:
		t.Scope = idempotency.Cell
	case c.Group == GroupZone:
		t.Scope = idempotency.Zone
	}
	t.Effect = idempotency.Keyed
	return t
}

// locationOf returns the zone and cell in which a backend deduplicates retries.
func locationOf(t *target) idempotency.Location {
	return idempotency.Location{Zone: t.Zone, Cell: t.Cell}
}
