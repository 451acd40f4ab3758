package rehearsal

import (
	"fmt"
	"maps"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marlreel/internal/standin"
)

// millis converts a span to milliseconds, the unit of the settings.
func millis(s Span) float64 { return float64(s.D()) / float64(time.Millisecond) }

// settings returns the settings object that the platform gives a proxy at the given time, with the platform's names and
// units. attempts is the limit of attempts in force.
func (s *Scenario) settings(rank, zone int, at time.Duration, attempts int) map[string]any {
	effects := map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
	var classes, houses []map[string]any
	for _, c := range s.Classes {
		if !c.inSettings(at) {
			continue
		}
		m := map[string]any{
			"Name": c.Name, "Aim": millis(c.Aim), "GiveUp": millis(c.GiveUp), "Effect": effects[c.Effect],
			"Value": c.Worth, "LateShare": 0.0,
		}
		if c.Effect == "keyed" {
			m["Group"], m["Window"] = "zone", millis(c.Window)
		}
		classes = append(classes, m)
	}
	total := 0.0
	for _, h := range s.Houses {
		total += h.Share
	}
	for _, h := range s.Houses {
		houses = append(houses, map[string]any{"Name": h.Name, "Share": h.Share, "QuotaPerS": s.quota() * h.Share / total})
	}
	var kinds []string
	for _, k := range s.Fleet.Nodes {
		kinds = append(kinds, k.Kind)
	}
	return map[string]any{
		"Balancers": s.Proxies.Count, "Rank": rank, "Zone": zone, "Tick": 5.0, "Discovery": "pushed",
		"FailureDomains": s.Fleet.Zones, "Kinds": kinds, "Feedback": map[string]any{"How": "off", "Names": []string{}},
		"OverShareWorth": s.Traffic.OverWorth, "WorthBy": "request", "Weights": "off",
		"Clients": map[string]any{"MarksRetry": s.Clients.MarkRetries},
		"Goal":    map[string]any{"Whole": weightWhole, "WorstClass": weightClass, "WorstTenant": weightHouse, "WorstWindow": weightWindow},
		"Prices":  map[string]any{"CrossZone": 0.02, "Waste": 0.04, "Probe": 0.01, "LateFail": 0.03, "Handshake": 0.03, "Connection": 0.03},
		"Caps": map[string]any{
			"Cancel": true, "Peers": false, "Probes": s.Fleet.ProbeWork > 0, "RetryAfter": s.Rules.RetryAfter,
			"SecondCopies": s.Rules.SecondCopies, "ConnIdle": millis(s.Fleet.Idle), "ConnectTimeout": 200.0,
			"MaxRetryAfter": millis(s.Rules.MaxRetryAfter), "MaxAttempts": attempts, "StreamsPerConn": 1, "MaxOpen": 20000,
		},
		"Obligations": map[string]any{
			"AnswerSlack": millis(s.Rules.AnswerSlack), "Cold": millis(s.Fleet.Cold.For),
			"DrainGrace": millis(s.Rules.DrainGrace), "Fall": millis(s.Fleet.Cold.Over), "FallMultiple": s.Fleet.Cold.Multiple,
			"StartCapacity": s.Fleet.Cold.From,
		},
		"Services": classes, "Tenants": houses,
	}
}

// config returns the content of a proxy's configuration file.
func (s *Scenario) config(n int, listen, discovery, seed string, known standin.List, at time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": proxyName(n), "listen": listen, "discovery": discovery, "seed": seed,
		"limits": map[string]any{"cores": s.Proxies.Cores, "memory_mb": s.Proxies.MemoryMB, "sockets": s.Proxies.Sockets},
		"known":  known, "settings": s.settings(n, n%len(s.Fleet.Zones), at, attempts),
	}
}

// rpcOffset is the difference between a node's RPC port and its HTTP port.
const rpcOffset = 3000

// OwnFile returns the operator's settings file of proxy k: the scenario's own settings, and those that the stand-in
// registry, fleet and RPC nodes need. "$DIR" in a string stands for the run's folder.
func (s *Scenario) OwnFile(k int, rpcListen, registry, dir string, mesh *standin.Mesh) string {
	own := maps.Clone(s.Proxies.Own)
	if own == nil {
		own = map[string]any{}
	}
	table := func(in map[string]any, name string) map[string]any {
		t, _ := in[name].(map[string]any)
		if t = maps.Clone(t); t == nil {
			t = map[string]any{}
		}
		in[name] = t
		return t
	}
	if registry != "" {
		t := table(own, "registry")
		t["kind"], t["endpoints"], t["prefix"] = s.Registry.Kind, []string{registry}, nodesPrefix(k)
		if s.Registry.Patience > 0 {
			t["patience"] = s.Registry.Patience.D().String()
		}
		if s.Registry.Settle > 0 {
			t["settle"] = s.Registry.Settle.D().String()
		}
	}
	if f := s.Proxies.Fleet; mesh != nil {
		t := table(own, "fleet")
		var keepers []string
		var peers []any
		for n := range s.Proxies.Count {
			if n < f.Keepers {
				keepers = append(keepers, proxyName(n))
			}
			peers = append(peers, map[string]any{"name": proxyName(n), "address": mesh.Addr(k, n)})
		}
		t["name"], t["listen"], t["key-file"], t["keepers"], t["agree-within"] = s.Name, mesh.Addr(k, k), filepath.Join(dir, fleetKey), keepers, f.Within.D().String()
		t["dir"], t["peers"] = filepath.Join(dir, proxyName(k)+fleetDir), peers
	}
	if s.RPC() {
		rpc := table(own, "rpc")
		rpc["listen"] = rpcListen
		var methods []any
		for _, c := range s.Classes {
			if c.Protocol == "rpc" {
				methods = append(methods, map[string]any{"name": "post." + c.Name, "class": c.Name})
			}
		}
		rpc["method"] = methods
		backend := table(rpc, "backend")
		backend["port-offset"], backend["cancel"] = rpcOffset, "$cancel"
	}
	data, err := toml.Marshal(replace(own, "$DIR", dir))
	if err != nil {
		panic(fmt.Sprintf("encoding operator settings as TOML: %v", err)) // they were decoded from TOML
	}
	return string(data)
}

// replace returns a copy of a decoded TOML value in which old is replaced by text in all strings.
func replace(in any, old, text string) any {
	switch v := in.(type) {
	case string:
		return strings.ReplaceAll(v, old, text)
	case map[string]any:
		out := make(map[string]any, len(v))
		for k, x := range v {
			out[k] = replace(x, old, text)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i, x := range v {
			out[i] = replace(x, old, text)
		}
		return out
	}
	return in
}
