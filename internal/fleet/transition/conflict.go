package transition

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"marlreel/internal/balancer"
)

// Conflict describes the first thing that one of two versions allows and the other forbids, or returns "" if there is
// none.
func Conflict(a, b balancer.Config) string {
	for _, class := range a.Classes {
		other, exists := findClass(b.Classes, class.Name)
		if !exists {
			return fmt.Sprintf("class %s is in one only", class.Name)
		}
		if conflict := classConflict(class, other); conflict != "" {
			return conflict
		}
	}
	for _, class := range b.Classes {
		if _, exists := findClass(a.Classes, class.Name); !exists {
			return fmt.Sprintf("class %s is in one only", class.Name)
		}
	}
	switch {
	case a.Caps.MaxAttempts != b.Caps.MaxAttempts:
		return fmt.Sprintf("attempts %d and %d", a.Caps.MaxAttempts, b.Caps.MaxAttempts)
	case a.Caps.Hedging != b.Caps.Hedging:
		return "second copies"
	case a.Obligations.DrainGrace != b.Obligations.DrainGrace:
		return "the grace of drains"
	case !isPrefix(a.Tenants, b.Tenants):
		return "tenants' shares"
	}
	return ""
}

func classConflict(a, b balancer.Class) string {
	switch {
	case a.Effect != b.Effect:
		return fmt.Sprintf("class %s: effect", a.Name)
	case a.Effect == balancer.Keyed && (a.Group != b.Group || a.IdempotencyWindow != b.IdempotencyWindow):
		return fmt.Sprintf("class %s: group or window", a.Name)
	case a.ClientTimeout != b.ClientTimeout:
		return fmt.Sprintf("class %s: deadline %v and %v", a.Name, a.ClientTimeout, b.ClientTimeout)
	}
	return ""
}

// isPrefix reports whether b begins with the tenants of a.
func isPrefix(a, b []balancer.Tenant) bool {
	return len(a) <= len(b) && slices.Equal(a, b[:len(a)])
}

// ValidateSuccessor returns an error that says why a version can't follow another. While the newer version is rolled
// out, proxies do only what both allow, so the two need a class in common.
func ValidateSuccessor(older, newer balancer.Config) error {
	both := Strictest(older, newer)
	if len(both.Classes) == 0 {
		return eris.New("settings.Services: no class is in the version in force as well: change them in two steps")
	}
	if len(older.Tenants) != len(newer.Tenants) && len(older.Tenants) > 0 && len(newer.Tenants) > 0 {
		for _, tenant := range older.Tenants {
			if _, exists := findTenant(newer.Tenants, tenant.Name); !exists {
				return eris.Errorf("settings.Tenants: %s is missing, which the version in force has", tenant.Name)
			}
		}
	}
	return both.Validate()
}
