package simwire

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/testing/recorded"
)

// Every key of the platform's settings takes effect: leaving it out changes the parsed settings. The names are those
// of the user documentation and of the recorded file.
func TestCompatibilitySettingsKeys(t *testing.T) {
	file := recorded.Read(t, "settings.json")
	var tree map[string]any
	if err := json.Unmarshal(file, &tree); err != nil {
		t.Fatal(err)
	}
	complete, err := ParseSettings(file)
	if err != nil {
		t.Fatal(err)
	}
	flat := settings{values: map[string]setting{}}
	flat.flatten("", tree)
	text := func(without string) string {
		var b strings.Builder
		for _, key := range slices.Sorted(maps.Keys(flat.values)) {
			if key != without && key != "Services" && key != "Tenants" {
				fmt.Fprintf(&b, "%s=%s\n", key, flat.values[key].text)
			}
		}
		return b.String()
	}
	// The simulator's adapter gets the same settings as lines of text.
	recorded.Check(t, "settings.txt", text(""))
	if lines, err := ParseBootInfo(text("")); err != nil || !reflect.DeepEqual(lines, complete) {
		t.Errorf("lines of text and JSON give different settings: %v\n got %+v\nwant %+v", err, lines, complete)
	}
	// A list of objects is parsed by its items, and a list of words as one text.
	composite := map[string]bool{"Services": true, "Tenants": true, "Feedback.Names.count": true, "Feedback.Names.0": true, "Feedback.Names.1": true}
	for key := range flat.values {
		if composite[key] {
			continue
		}
		if got, err := ParseBootInfo(text(key)); err == nil && reflect.DeepEqual(got, complete) {
			t.Errorf("removing %s changes nothing: it is not parsed", key)
		}
	}
}

// Each word that a setting allows gives a different configuration.
func TestCompatibilitySettingsWords(t *testing.T) {
	for key, words := range map[string][]string{
		"WorthBy": {"request", "work"}, "Discovery": {"pushed", "on_request"}, "Weights": {"off", "nominal", "live"},
		"Services.0.Effect": {"fragile", "dedup", "retryable"}, "Services.0.Group": {"cell", "zone", "all"},
		"Feedback.Names": {"busy_reqs", "pending", "failed_ps", "another"},
	} {
		var seen []balancer.Config
		for _, word := range words {
			c, err := ParseBootInfo("Services.count=1\nFeedback.How=inline\n" + key + "=" + word)
			if err != nil {
				t.Errorf("%s=%s: %v", key, word, err)
			}
			if slices.ContainsFunc(seen, func(o balancer.Config) bool { return reflect.DeepEqual(o, c) }) {
				t.Errorf("%s=%s gives the same configuration as another word", key, word)
			}
			seen = append(seen, c)
		}
	}
	for _, line := range []string{"Weights=rough", "Feedback.How=off", "Feedback.How=inline", "Feedback.How=on_probe"} {
		if _, err := ParseBootInfo(line); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
	rough, _ := ParseBootInfo("Weights=rough")
	nominal, _ := ParseBootInfo("Weights=nominal")
	if !reflect.DeepEqual(rough, nominal) {
		t.Error("Weights=rough and Weights=nominal give different configurations")
	}
}

// Each action of a reply is encoded as the recorded bytes.
func TestCompatibilityActions(t *testing.T) {
	var got bytes.Buffer
	for _, c := range []struct {
		name string
		do   func(balancer.Host)
	}{
		{"send", func(h balancer.Host) { h.Send(9, 70, 1500*time.Microsecond, 0) }},
		{"refuse", func(h balancer.Host) { h.Reject(9, 240*ms) }},
		{"fail", func(h balancer.Host) { h.Fail(9) }},
		{"cancel", func(h balancer.Host) { h.Cancel(9, 2) }},
		{"timer", func(h balancer.Host) { h.StartTimer(500*ms, 77) }},
		{"probe", func(h balancer.Host) { h.CheckHealth(70) }},
		{"release", func(h balancer.Host) { h.Release(70) }},
		{"peer message", func(h balancer.Host) { h.SendToPeer(balancer.AllPeers, []byte("hi")) }},
		{"peer message, cut to its bound", func(h balancer.Host) { h.SendToPeer(3, bytes.Repeat([]byte{7}, 300)) }},
		{"log", func(h balancer.Host) { h.Log("a line") }},
		{"watch on", func(h balancer.Host) { h.Watch(true) }},
		{"watch off", func(h balancer.Host) { h.Watch(false) }},
		{"fetch", func(h balancer.Host) { h.Fetch() }},
	} {
		var r Reply
		r.Reset(6)
		c.do(Actions{Reply: &r, Instance: 3})
		fmt.Fprintf(&got, "%s: %s\n", c.name, hex.EncodeToString(r.Bytes()))
	}
	recorded.Check(t, "actions.txt", got.String())
}
