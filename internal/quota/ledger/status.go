package ledger

import (
	"slices"
	"strings"
	"time"

	"marlreel/internal/quota/tokenbucket"
)

// Status is the state of one tenant's quota.
type Status struct {
	Subscriber string
	Shard      int
	Limit      tokenbucket.Limit
	Level      float64
	Capacity   float64
	// Granted is the cost of all grants net of refunds, and Refused the number of refused requests, both since the agent
	// took over the shard.
	Granted float64
	Refused uint64
	// Owned is the time since then.
	Owned time.Duration
}

// Statuses returns the state of the quotas of all tenants with a limit in owned shards, ordered by name.
func (l *Ledger) Statuses(now time.Duration, owned func(shard int) bool) []Status {
	var statuses []Status
	for number, tenure := range l.tenures {
		if !owned(number) {
			continue
		}
		for name, account := range tenure.accounts {
			statuses = append(statuses, Status{
				Subscriber: name, Shard: number, Limit: account.limit, Level: account.bucket.Level(now),
				Capacity: account.bucket.Parameters().Capacity, Granted: account.granted, Refused: account.refused,
				Owned: now - tenure.since,
			})
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Subscriber, b.Subscriber) })
	return statuses
}
