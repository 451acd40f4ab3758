//go:build linux

package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Status is the part of a proxy's status at its control address that the harness reads.
type Status struct {
	Versions []uint64 `json:"versions"`
	Strict   bool     `json:"strict"`
	Leader   string   `json:"leader"`
	Leads    bool     `json:"leads"`
	Keeper   string   `json:"keeper"`
	Taken    bool     `json:"taken"`
	Behind   int64    `json:"behind"`
	Held     uint64   `json:"held"`
	Sent     int64    `json:"sent_bytes"`
	Members  []struct {
		Name, State string
	} `json:"members"`
	View struct {
		Seq      uint64 `json:"seq"`
		Open     uint64 `json:"open"`
		Versions []struct {
			Number uint64 `json:"number"`
			By     string `json:"by"`
			Text   string `json:"text"`
		} `json:"versions"`
		Keepers []struct {
			Name string `json:"name"`
		} `json:"keepers"`
		Ends []struct {
			Name string `json:"name"`
		} `json:"ends"`
	} `json:"view"`
}

// Status fetches the status from the proxy's control address.
func (p *Proxy) Status() (s Status, err error) {
	status, body, err := p.Ask("/control/fleet")
	if err != nil {
		return s, err
	}
	if status != http.StatusOK {
		return s, fmt.Errorf("%s: %d %s", p.Name, status, body)
	}
	return s, json.Unmarshal(body, &s)
}

// Goes reports whether a version is the only one in force at a proxy and the proxy holds a lease.
func (s Status) Goes(version uint64) bool {
	return !s.Strict && len(s.Versions) == 1 && s.Versions[0] == version
}

// Reply is a response of a proxy's operator socket.
type Reply struct {
	Version uint64 `json:"version"`
	Same    bool   `json:"same"`
	By      string `json:"by"`
	Error   string `json:"error"`
	Advice  string `json:"advice"`
	Status  int    `json:"-"`
}

// Operator sends a request to a proxy's operator socket.
func (p *Proxy) Operator(method, path string, query url.Values, body []byte, patience time.Duration) (r Reply, err error) {
	socket := filepath.Join(p.Disk, "fleet.sock")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", socket)
		},
	}}
	req, err := http.NewRequest(method, "http://fleet"+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return r, err
	}
	r.Status = resp.StatusCode
	return r, json.Unmarshal(text, &r)
}

// register records what operators observe of the replicated log: proposals on a base version and reads of the newest.
type register struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

type regIn struct {
	read bool
	base uint64
	text string
}

type regOut struct {
	known   bool // a response arrived
	taken   bool
	version uint64 // accepted proposal: its version; rejected proposal or read: the newest version
}

type regState struct {
	version uint64
	text    string
}

// model is the sequential specification of the log for the linearizability check.
var model = porcupine.Model{
	Init: func() any { return regState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(regState), input.(regIn), output.(regOut)
		if in.read {
			return !out.known || out.version == s.version, s
		}
		next := regState{s.version + 1, in.text}
		switch {
		case !out.known && in.base == s.version:
			return true, next // a proposal without effect is modelled by ordering it after all others
		case !out.known:
			return true, s
		case out.taken && in.text == s.text:
			return out.version == s.version, s
		case out.taken:
			return in.base == s.version && out.version == next.version, next
		}
		return out.version == s.version && in.base != s.version, s
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v: %+v", input, output)
	},
}

// note records an operation.
func (g *register) note(client int, from, to time.Duration, in regIn, out regOut) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !out.known {
		to = time.Hour // without a response, it may take effect at any later time
	}
	g.ops = append(g.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(from), Output: out, Return: int64(to)})
}

// Propose proposes settings through a proxy, based on the newest version that the proxy shows, and records the outcome
// for the linearizability check.
func (f *Fleet) Propose(p *Proxy, s Settings, patience time.Duration) (Reply, error) {
	base := uint64(0)
	if st, err := p.Status(); err == nil && len(st.View.Versions) > 0 {
		base = st.View.Versions[len(st.View.Versions)-1].Number
	}
	f.mu.Lock()
	f.texts = append(f.texts, s) // it may be decided even if the call fails
	f.mu.Unlock()
	from := f.Note("%s proposes %d attempts, %d classes on %d", p.Name, s.Attempts, len(s.Classes), base)
	r, err := p.Operator(http.MethodPost, "/fleet/propose", url.Values{"by": {"harness"}, "base": {fmt.Sprint(base)}}, f.Text(s), patience)
	to := f.Note("%s: version %d, %s %v", p.Name, r.Version, r.Error, err)
	out := regOut{}
	if err == nil && r.Version != 0 {
		out = regOut{true, r.Error == "", r.Version}
	}
	f.log.note(p.N, from, to, regIn{base: base, text: string(f.Text(s))}, out)
	return r, err
}

// Read reads the newest version, confirmed by a majority, through a proxy and records it for the linearizability check.
func (f *Fleet) Read(p *Proxy, patience time.Duration) {
	from := f.Clock.Now()
	r, err := p.Operator(http.MethodGet, "/fleet/newest", nil, nil, patience)
	if err == nil && r.Error == "" {
		f.log.note(1000+p.N, from, f.Clock.Now(), regIn{read: true}, regOut{known: true, version: r.Version})
	}
}

// Linearizable returns an error if the responses to operators are not linearizable. The fleet's initial settings count
// as the first operation, which created version 1.
func (f *Fleet) Linearizable() error {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	ops := append([]porcupine.Operation{{ClientId: 9999, Input: regIn{base: 0, text: string(f.Text(f.Options.Settings))}, Call: -2, Output: regOut{true, true, 1}, Return: -1}}, f.log.ops...)
	if porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) == porcupine.Illegal {
		text := ""
		for _, o := range ops {
			text += fmt.Sprintf("%.3f to %.3f: %s\n", time.Duration(o.Call).Seconds(), time.Duration(o.Return).Seconds(), model.DescribeOperation(o.Input, o.Output))
		}
		return fmt.Errorf("the responses to operators are not linearizable:\n%s", text)
	}
	return nil
}
