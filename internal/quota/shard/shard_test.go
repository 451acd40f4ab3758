package shard

import (
	"fmt"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// Proxies, agents and control processes of different versions have to compute the same shard and lease for a tenant.
func TestCompatibilityOfShards(t *testing.T) {
	var out strings.Builder
	for _, name := range []string{"", "harbor", "quay", "huka270", "a", "b", "c", "tenant-1", "tenant-2", "tenant-3"} {
		fmt.Fprintf(&out, "%q %s\n", name, LeaseKey(Of(name)))
	}
	recorded.Check(t, "shards.txt", out.String())
}

// No shard has many more tenants than the average.
func TestTenantsAreSpread(t *testing.T) {
	const tenants = 3200
	var counts [Count]int
	for i := range tenants {
		counts[Of(fmt.Sprintf("tenant-%d", i))]++
	}
	for number, count := range counts {
		if count > 3*tenants/Count/2 {
			t.Errorf("shard %d has %d of %d tenants", number, count, tenants)
		}
	}
}
