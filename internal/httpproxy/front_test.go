package httpproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"marlreel"
	"marlreel/internal/engine"
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
	_, left, a := l.front.parse(r, l.front.engine.Book())
	if a.status != 0 || left != l.Settings().Classes[0].GiveUp {
		t.Errorf("%d %s: %v", a.status, a.body, left)
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
	l.Do(func() { l.List(engine.List{Kind: marlreel.ListCached}) })
	if got := ask(); got != http.StatusServiceUnavailable {
		t.Errorf("/ready before any list: %d", got)
	}
	l.Do(func() { l.List(engine.List{Kind: marlreel.ListFull, Version: 1}) })
	if got := ask(); got != http.StatusOK {
		t.Errorf("/ready with discovery's list: %d", got)
	}
}
