package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"marlreel/internal/config"
	"marlreel/internal/testutil"
)

// settingsWith returns the test settings with a change applied.
func settingsWith(t *testing.T, change func(map[string]any)) map[string]any {
	t.Helper()
	var s map[string]any
	if err := json.Unmarshal([]byte(testSettings), &s); err != nil {
		t.Fatal(err)
	}
	change(s)
	return s
}

func services(s map[string]any) []any { return s["Services"].([]any) }

// classLike returns a copy of a class with another name and changes.
func classLike(of any, name string, change map[string]any) map[string]any {
	c := map[string]any{}
	for k, v := range of.(map[string]any) {
		c[k] = v
	}
	c["Name"] = name
	for k, v := range change {
		c[k] = v
	}
	return c
}

// file returns a configuration with other settings, parsed as at a SIGHUP.
func file(t *testing.T, discovery string, settings any) Reload {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f",
		"settings": settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.ParsePlatform(text, func(string) string { return "" })
	return Reload{Config: cfg, Err: err}
}

// metric returns the value of a metric, or "" if it is missing.
func metric(t *testing.T, p *running, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + p.control + "/control/counters")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if key, value, _ := strings.Cut(lines.Text(), ":"); key == "proxy."+name {
			return value
		}
	}
	return ""
}

func expect(t *testing.T, p *running, name, value string) {
	t.Helper()
	testutil.Eventually(t, fmt.Sprintf("%s to be %s", name, value), func() bool { return metric(t, p, name) == value })
}

// SIGHUP can add and remove classes and change their effects. An invalid file changes nothing. Both outcomes
// are counted.
func TestSettingsAtSIGHUP(t *testing.T) {
	t.Parallel()
	addr := closedAddr(t)
	cfg := testConfig(t, addr, ready("s-1", named(t, "a")))
	cfg.ControlAddress = "127.0.0.1:0"
	p := start(t, cfg)
	status := func(class, method string) int {
		r := newRequest(t, p, class, "")
		r.Method = method
		got, _, _ := do(t, r)
		return got
	}
	if got := status("quote", "GET"); got != http.StatusNotFound {
		t.Fatalf("a class that does not exist: %d", got)
	}
	appears := settingsWith(t, func(s map[string]any) {
		s["Services"] = append([]any{classLike(services(s)[0], "quote", map[string]any{"Effect": "fragile"})}, services(s)...)
	})
	p.reloads <- file(t, addr, appears)
	expect(t, p, "sighup_applied", "1|c")
	if got := status("quote", "POST"); got != 200 {
		t.Errorf("an added class: %d", got)
	}
	if got := status("bid", "POST"); got != 200 {
		t.Errorf("an unchanged class, at another position in the file: %d", got)
	}
	expect(t, p, "succeeded.quote", "1|c")
	expect(t, p, "succeeded.bid", "1|c")

	vanishes := settingsWith(t, func(s map[string]any) { s["Services"] = services(s)[1:] })
	gone := services(settingsWith(t, func(map[string]any) {}))[0].(map[string]any)["Name"].(string)
	p.reloads <- file(t, addr, vanishes)
	expect(t, p, "sighup_applied", "2|c")
	if got := status(gone, "GET"); got != http.StatusNotFound {
		t.Errorf("a removed class: %d", got)
	}

	n := 0
	for name, change := range map[string]func(map[string]any){
		"no classes":       func(s map[string]any) { s["Services"] = []any{} },
		"short of a key":   func(s map[string]any) { delete(s, "Caps") },
		"short of one":     func(s map[string]any) { delete(s["Caps"].(map[string]any), "MaxAttempts") },
		"a class's key":    func(s map[string]any) { delete(services(s)[1].(map[string]any), "Effect") },
		"no deadline":      func(s map[string]any) { services(s)[1].(map[string]any)["GiveUp"] = 0.0 },
		"a wrong deadline": func(s map[string]any) { services(s)[1].(map[string]any)["GiveUp"] = -5.0 },
		"no attempts":      func(s map[string]any) { s["Caps"].(map[string]any)["MaxAttempts"] = 0 },
		"a null":           func(s map[string]any) { services(s)[1].(map[string]any)["Effect"] = nil },
		"twice":            func(s map[string]any) { s["Services"] = append(services(s), services(s)[0]) },
		"a wrong word":     func(s map[string]any) { services(s)[1].(map[string]any)["Effect"] = "rash" },
	} {
		before := strings.Count(p.log.String(), "not reloaded")
		p.reloads <- file(t, addr, settingsWith(t, change))
		n++
		expect(t, p, "sighup_rejected", fmt.Sprintf("%d|c", n))
		if got := strings.Count(p.log.String(), "not reloaded"); got != before+1 {
			t.Errorf("%s: %d lines", name, got-before)
		}
		if got := status("bid", "POST"); got != 200 {
			t.Errorf("%s: the old settings no longer hold: %d", name, got)
		}
		if got := status(gone, "GET"); got != http.StatusNotFound {
			t.Errorf("%s: the file was applied in part: %d", name, got)
		}
	}
	expect(t, p, "sighup_applied", "2|c")
	expect(t, p, "outstanding", "0|g")
}

// A request in flight keeps the class it arrived with. If that class was safe to retry, the request may be retried even
// after the class has been removed.
func TestRequestsUnderWayKeepTheirClass(t *testing.T) {
	t.Parallel()
	came, fail := make(chan string, 4), make(chan struct{})
	var calls atomic.Int64
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		if calls.Add(1) == 1 {
			came <- r.URL.Path
			<-fail
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		io.WriteString(w, "served")
	}))
	t.Cleanup(b.Close)
	addr := closedAddr(t)
	cfg := testConfig(t, addr, ready("s-1", b.Listener.Addr().String()))
	cfg.ControlAddress = "127.0.0.1:0"
	p := start(t, cfg)
	answered := make(chan int, 1)
	r := newRequest(t, p, "lot-list", "")
	go func() {
		status, _, _ := do(t, r)
		answered <- status
	}()
	receive(t, came, "the first attempt")
	p.reloads <- file(t, addr, settingsWith(t, func(s map[string]any) {
		s["Services"] = []any{classLike(services(s)[1], "other", nil)}
	}))
	expect(t, p, "sighup_applied", "1|c")
	close(fail)
	if got := receive(t, answered, "the answer"); got != 200 {
		t.Errorf("answered %d: it was safe to retry when it arrived", got)
	}
}
