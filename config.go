package marlreel

import "fmt"

// check returns an error that names the setting that makes no sense, or nil.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("Classes: none given")
	}
	for i, s := range c.Classes {
		if s.Aim <= 0 || s.GiveUp <= 0 {
			return fmt.Errorf("Classes[%d]: Aim %v and GiveUp %v must be above 0", i, s.Aim, s.GiveUp)
		}
		if s.Window < 0 || s.Value < 0 || s.AimStretch < 0 || s.LateShare < 0 {
			return fmt.Errorf("Classes[%d]: Window, Value, AimStretch or LateShare is negative", i)
		}
	}
	for i, t := range c.Tenants {
		if t.Share < 0 || t.QuotaPerS < 0 {
			return fmt.Errorf("Tenants[%d]: Share or QuotaPerS is negative", i)
		}
	}
	o, k := &c.Obligations, &c.Caps
	for _, s := range []struct {
		name     string
		negative bool
	}{
		{"Tick", c.Tick < 0},
		{"Rank", c.Rank < 0},
		{"OverShareWorth", c.OverShareWorth < 0},
		{"Obligations.AnswerSlack", o.AnswerSlack < 0},
		{"Obligations.AskEvery", o.AskEvery < 0},
		{"Obligations.Cold", o.Cold < 0},
		{"Obligations.DrainGrace", o.DrainGrace < 0},
		{"Obligations.Fall", o.Fall < 0},
		{"Obligations.FallMultiple", o.FallMultiple < 0},
		{"Obligations.StartCapacity", o.StartCapacity < 0},
		{"Caps.ConnIdle", k.ConnIdle < 0},
		{"Caps.ConnectTimeout", k.ConnectTimeout < 0},
		{"Caps.MaxRetryAfter", k.MaxRetryAfter < 0},
		{"Caps.MaxAttempts", k.MaxAttempts < 0},
	} {
		if s.negative {
			return fmt.Errorf("%s is negative", s.name)
		}
	}
	if c.Instances < 1 {
		return fmt.Errorf("Instances: %d, must be 1 or more", c.Instances)
	}
	return nil
}

// quotas are the tenants' requests a second, over all proxies.
func (c *Config) quotas() []float64 {
	q := make([]float64, len(c.Tenants))
	for i, t := range c.Tenants {
		q[i] = t.QuotaPerS
	}
	return q
}
