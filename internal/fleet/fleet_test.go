package fleet

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/balancer"
	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/peers"
	"marlreel/internal/standin"
	"marlreel/internal/stricttoml"
)

// testTimeout leaves enough time on a machine that is busy with other tests.
const testTimeout = time.Minute

// recordingHost is a proxy whose settings are a number of attempts.
type recordingHost struct {
	applied chan Settings
	states  chan *agree.State
	ready   []string
}

func (h *recordingHost) ApplySettings(s Settings, done func(error)) {
	h.applied <- s
	done(nil)
}

func (h *recordingHost) ExtendLease(time.Duration) {}

func (h *recordingHost) ParseSettings(text string) (balancer.Config, error) {
	attempts, err := strconv.Atoi(text)
	c := balancer.Config{Instances: 3, Classes: []balancer.Class{{Name: "bid", LatencyTarget: time.Second, ClientTimeout: time.Second}}}
	c.Caps.MaxAttempts, c.Caps.Hedging = attempts, true
	return c, err
}

func (h *recordingHost) StateChanged(s *agree.State) {
	select {
	case h.states <- s:
	default:
	}
}

func (h *recordingHost) ReadyBackends(done func(agree.Lists, []string)) {
	done(agree.Lists{Source: "registry", Revision: 7}, h.ready)
}

// awaitInForce waits until exactly the given versions are in force, and returns their settings.
func (h *recordingHost) awaitInForce(ctx context.Context, t *testing.T, versions ...uint64) Settings {
	t.Helper()
	for {
		select {
		case s := <-h.applied:
			if slices.Equal(s.Versions, versions) {
				return s
			}
		case <-ctx.Done():
			t.Fatalf("versions %v did not come into force", versions)
		}
	}
}

// awaitState waits until the fleet's state fulfils a condition.
func (h *recordingHost) awaitState(ctx context.Context, t *testing.T, condition func(*agree.State) bool) {
	t.Helper()
	for {
		select {
		case s := <-h.states:
			if condition(s) {
				return
			}
		case <-ctx.Done():
			t.Fatal("the fleet's state did not fulfil the condition in time")
		}
	}
}

// startFleet starts three proxies, all of them consensus members, whose files say "4".
func startFleet(t *testing.T) ([]*Fleet, []*recordingHost) {
	t.Helper()
	is := is.New(t)
	key := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(key, []byte("0123456789abcdef"), 0o600))
	names := []string{"n0", "n1", "n2"}
	var table []peers.Peer
	for _, name := range names {
		address, err := standin.Address()
		is.NoErr(err)
		table = append(table, peers.Peer{Name: name, Address: address})
	}
	var fleets []*Fleet
	var hosts []*recordingHost
	for i, name := range names {
		host := &recordingHost{applied: make(chan Settings, 64), states: make(chan *agree.State, 1024), ready: []string{"a0", "a" + name}}
		f, err := Start(Options{
			Config: Config{
				Name: "pier", Listen: table[i].Address, Peers: table, KeyFile: key, Keepers: names,
				AgreeWithin: stricttoml.Duration(2 * time.Second), Dir: t.TempDir(),
			},
			Proxy: name, File: "4", Host: host, Log: slog.New(slog.DiscardHandler),
			Check: func(_ []string, text string) error { _, err := strconv.Atoi(text); return err },
		})
		is.NoErr(err)
		t.Cleanup(f.Close)
		fleets, hosts = append(fleets, f), append(hosts, host)
	}
	return fleets, hosts
}

// Without a lease a proxy retries nothing that may have run; the file becomes the first version; while a version is
// rolled out, what both it and its predecessor allow is in force; a stale base and a stale file are rejected; a rollback
// is a new version.
func TestVersionsComeIntoForceAtAllProxies(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	fleets, hosts := startFleet(t)
	file, err := hosts[0].ParseSettings("4")
	is.NoErr(err)
	initial := fleets[0].InitialSettings(file)
	is.Equal(initial.InForce.Caps.MaxAttempts, 4)
	is.True(initial.WithoutLease.Classes[0].NeverRerun && !initial.WithoutLease.Caps.Hedging)
	for _, h := range hosts {
		is.Equal(h.awaitInForce(ctx, t, 1).InForce.Caps.MaxAttempts, 4)
	}

	result, err := fleets[1].Propose(ctx, "6", "ana", "more", BaseNewest)
	is.NoErr(err)
	is.Equal(result.Version, uint64(2))
	for _, h := range hosts {
		is.Equal(h.awaitInForce(ctx, t, 1, 2).InForce.Caps.MaxAttempts, 4) // the stricter one
		s := h.awaitInForce(ctx, t, 2)
		is.Equal(s.InForce.Caps.MaxAttempts, 6)
		is.Equal(s.WithoutLease.Caps.MaxAttempts, 4)
	}

	_, err = fleets[2].Propose(ctx, "5", "bo", "", 1)
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Result.Version, uint64(2))
	_, err = fleets[2].ProposeFile(ctx, "4")
	var stale *StaleFileError
	is.True(errors.As(err, &stale))
	is.Equal(*stale, StaleFileError{Version: 1, Newest: 2, By: "ana"})

	result, err = fleets[2].Rollback(ctx, 1, "bo")
	is.NoErr(err)
	is.Equal(result.Version, uint64(3))
	for _, h := range hosts {
		is.Equal(h.awaitInForce(ctx, t, 3).InForce.Caps.MaxAttempts, 4)
	}
	newest, err := fleets[0].NewestVersion(ctx)
	is.NoErr(err)
	is.Equal(newest.Version, uint64(3))
}

// A proxy's report on its membership reaches the fleet's state, and a comparison names the backends that are ready at
// only some proxies.
func TestMembershipsAreReportedAndCompared(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	fleets, hosts := startFleet(t)
	for _, h := range hosts {
		h.awaitInForce(ctx, t, 1)
	}
	end := agree.End{Source: "registry", Name: "a9", Revision: 7, Gone: true}
	fleets[0].ReportMembership(agree.Lists{Source: "registry", Revision: 7}, []agree.End{end})
	for _, h := range hosts {
		h.awaitState(ctx, t, func(s *agree.State) bool {
			recorded, exists := s.End("registry", "a9")
			return exists && recorded.Gone && s.Floors["registry"].Revision == 7
		})
	}

	comparison, err := fleets[1].CompareMemberships(ctx)
	for err == nil && len(comparison.Proxies) < len(fleets) && ctx.Err() == nil { // some proxies do not know each other yet
		comparison, err = fleets[1].CompareMemberships(ctx)
	}
	is.NoErr(err)
	is.Equal(comparison.Proxies[0], ProxyMembership{Proxy: "n0", Source: "registry", Revision: 7, Ready: 2})
	is.Equal(len(comparison.Partial), 3) // all but a0, which is ready at all proxies
	is.Equal(comparison.Partial[0], PartlyReadyBackend{Name: "an0", ReadyAt: []string{"n0"}, NotReadyAt: []string{"n1", "n2"}})
}

// Requests of a closed fleet end with an error, and do not block their callers.
func TestRequestsOfAClosedFleetFail(t *testing.T) {
	is := is.New(t)
	fleets, _ := startFleet(t)
	fleets[0].Close()
	fleets[0].Close()
	var noLeader *NoLeaderError
	_, err := fleets[0].NewestVersion(t.Context())
	is.True(errors.As(err, &noLeader))
	_, err = fleets[0].CompareMemberships(t.Context())
	is.True(errors.As(err, &noLeader))
	_, err = fleets[0].ProposeFile(t.Context(), "5")
	is.True(errors.As(err, &noLeader))
	fleets[0].ResetFloor("registry")
}
