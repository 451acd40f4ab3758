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

// Clients that send nothing or an incomplete request must get an error or a close within 3 s of connecting, and idle
// connections must stay open for at least 2 s.
func TestServerTimeoutsMeetClientLimits(t *testing.T) {
	t.Parallel()
	h := newManualEngine(t).front.server
	if h.ReadHeaderTimeout >= 3*time.Second || h.ReadTimeout >= 3*time.Second || h.IdleTimeout < 2*time.Second {
		t.Errorf("head %v, request %v, idle %v", h.ReadHeaderTimeout, h.ReadTimeout, h.IdleTimeout)
	}
}

// The timeout that a client asks for is limited to that of its class.
func TestClientTimeoutIsBoundedByTheClass(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t)
	r := httptest.NewRequest(http.MethodGet, "/lot-list", nil)
	r.Header.Set(headerID, "00000000000000aa")
	r.Header.Set(headerAccount, "obala")
	r.Header.Set(headerTimeout, "3599000m")
	_, left, a := l.front.parse(r, l.front.engine.SettingsSnapshot())
	if a.status != 0 || left != l.Settings().Classes[0].ClientTimeout {
		t.Errorf("%d %s: %v", a.status, a.body, left)
	}
}

// Requests that are rejected before they reach the balancer get a Retry-After header, if the settings
// provide one. Errors that a retry can't fix get none.
func TestRetryAfterOfRejectedRequests(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t)
	want := strconv.FormatFloat(l.RetryAfter().Seconds(), 'f', 3, 64)
	if l.RetryAfter() == 0 {
		t.Fatal("the settings provide no Retry-After")
	}
	l.front.RejectAll()
	r := httptest.NewRequest(http.MethodGet, "/lot-list", nil)
	r.Header.Set(headerID, "00000000000000ab")
	r.Header.Set(headerAccount, "obala")
	r.Header.Set(headerTimeout, "1000m")
	w := httptest.NewRecorder()
	l.front.ServeHTTP(w, r)
	if got := w.Header().Get("Retry-After"); w.Code != http.StatusServiceUnavailable || got != want {
		t.Errorf("while stopping: %d, Retry-After %q, want %q", w.Code, got, want)
	}
	full := httptest.NewRecorder()
	l.front.writeAnswer(full, r, nil, bodyError(errNoRoom))
	if got := full.Header().Get("Retry-After"); full.Code != http.StatusServiceUnavailable || got != want {
		t.Errorf("without memory for the body: %d, Retry-After %q, want %q", full.Code, got, want)
	}
	bad := httptest.NewRecorder()
	l.front.writeAnswer(bad, r, nil, bodyError(errTooLong))
	if got := bad.Header().Get("Retry-After"); got != "" {
		t.Errorf("%d with Retry-After %q: a retry can't succeed", bad.Code, got)
	}
}

// Without a membership list the proxy can't serve, and /ready must say so.
func TestNotReadyWithoutMembership(t *testing.T) {
	t.Parallel()
	l := newManualEngine(t)
	startCall := func() int {
		w := httptest.NewRecorder()
		l.front.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	l.Dispatch(func() { l.ApplyMembership(engine.Membership{Kind: balancer.MembershipCached}) })
	if got := startCall(); got != http.StatusServiceUnavailable {
		t.Errorf("/ready before any list: %d", got)
	}
	l.Dispatch(func() { l.ApplyMembership(engine.Membership{Kind: balancer.MembershipFull, Version: 1}) })
	if got := startCall(); got != http.StatusOK {
		t.Errorf("/ready with discovery's list: %d", got)
	}
}
