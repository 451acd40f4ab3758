package fakesystem

import "marlreel/internal/process/bootstrap"

// Bounds returns the bounds in the platform's settings file for tests, as far as processes use them. They are those of
// the users' small sites (SYSTEM.md).
func Bounds() bootstrap.Bounds {
	return bootstrap.Bounds{
		ShutdownGraceS: 8, ConfigApplyMS: 2000, RetryBudgetRatio: 0.2, RetryWindowS: 10, RetrySlack: 52,
		QuotaWindowS: 8, QuotaExcess: 0.1, QuotaSlack: 17000,
		WarmupExcess: 1.5, WarmupSlack: 5, Fencing: true, LeaseDurationMS: 3000, DrainMS: 2000,
	}
}
