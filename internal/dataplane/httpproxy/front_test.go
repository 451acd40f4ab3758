package httpproxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// What is owed to bad clients is owed within 3 s of connecting.
func TestTimeoutsKeepWhatIsOwed(t *testing.T) {
	t.Parallel()
	h := stillEngine(t).front.http
	if h.ReadHeaderTimeout >= 3*time.Second || h.ReadTimeout >= 3*time.Second || h.IdleTimeout < 2*time.Second {
		t.Errorf("head %v, request %v, idle %v", h.ReadHeaderTimeout, h.ReadTimeout, h.IdleTimeout)
	}
}

// However long a client says it waits, its class bounds what it may hold here.
func TestTheClassBoundsTheTime(t *testing.T) {
	t.Parallel()
	l := stillEngine(t)
	r := httptest.NewRequest(http.MethodGet, "/lot-list", nil)
	r.Header.Set(headerID, "00000000000000aa")
	r.Header.Set(headerAccount, "obala")
	r.Header.Set(headerTimeout, "3599000m")
	_, left, a := l.front.parse(r, l.front.engine.SettingsSnapshot())
	if a.status != 0 || left != l.Settings().Classes[0].ClientTimeout {
		t.Errorf("%d %s: %v", a.status, a.body, left)
	}
}

// Who is turned away before the module hears of him is told when to come again, where the settings let
// it be told. What a backend says goes on as it is.
func TestWhoIsTurnedAwayIsToldWhen(t *testing.T) {
	t.Parallel()
	l := stillEngine(t)
	told := strconv.FormatFloat(l.RetryAfter().Seconds(), 'f', 3, 64)
	if l.RetryAfter() == 0 {
		t.Fatal("these settings tell nobody")
	}
	l.front.Refuse()
	r := httptest.NewRequest(http.MethodGet, "/lot-list", nil)
	r.Header.Set(headerID, "00000000000000ab")
	r.Header.Set(headerAccount, "obala")
	r.Header.Set(headerTimeout, "1000m")
	w := httptest.NewRecorder()
	l.front.ServeHTTP(w, r)
	if got := w.Header().Get("Retry-After"); w.Code != http.StatusServiceUnavailable || got != told {
		t.Errorf("at the stop: %d, Retry-After %q, want %q", w.Code, got, told)
	}
	full := httptest.NewRecorder()
	l.front.write(full, r, nil, bodyTrouble(errNoRoom))
	if got := full.Header().Get("Retry-After"); full.Code != http.StatusServiceUnavailable || got != told {
		t.Errorf("with no room for its body: %d, Retry-After %q, want %q", full.Code, got, told)
	}
	bad := httptest.NewRecorder()
	l.front.write(bad, r, nil, bodyTrouble(errTooLong))
	if got := bad.Header().Get("Retry-After"); got != "" {
		t.Errorf("%d with Retry-After %q: coming again helps nobody", bad.Code, got)
	}
}

// Without any list it can't serve, and doesn't say so.
func TestNotReadyWithoutAList(t *testing.T) {
	t.Parallel()
	l := stillEngine(t)
	ask := func() int {
		w := httptest.NewRecorder()
		l.front.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	l.Dispatch(func() { l.ApplyMembership(engine.Membership{Kind: balancer.MembershipCached}) })
	if got := ask(); got != http.StatusServiceUnavailable {
		t.Errorf("/ready before any list: %d", got)
	}
	l.Dispatch(func() { l.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 1}) })
	if got := ask(); got != http.StatusOK {
		t.Errorf("/ready with discovery's list: %d", got)
	}
}
