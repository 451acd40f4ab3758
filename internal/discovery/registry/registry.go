// Package registry follows a list of nodes in a key-value registry: over etcd's JSON gateway, or by Consul's
// blocking queries. It owns the calls, where they go on after they broke, and the form of a node's value. What
// a list means, and which one counts, is package members' to judge; this package only says what it was told,
// and never drops anything by itself.
package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"marlreel/internal/discovery/membership"
)

// Observer is what a client has to tell. Its methods are called on one goroutine.
type Observer interface {
	OnSnapshot(w membership.Snapshot)
	OnUpdate(c membership.Update)
	OnProgress(revision int64)
	OnCompacted()
	OnLost(why string)
}

// Client speaks one registry's protocol.
type Client interface {
	// ReadSnapshot reads all nodes at one revision.
	ReadSnapshot(ctx context.Context) (membership.Snapshot, error)
	// Watch tells what comes after a revision until it breaks. ErrCompacted and ErrHistory say that the whole
	// list is needed first.
	Watch(ctx context.Context, w membership.Snapshot, told Observer) error
	// NextEndpoint goes on to the next endpoint.
	NextEndpoint()
}

// Errors of Watch.
var (
	ErrCompacted       = errors.New("the changes behind this revision are no longer there")
	ErrHistoryReplaced = errors.New("the registry's history is another")
)

const (
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	callTimeout  = 5 * time.Second
	maxBodyBytes = 64 << 20 // of a page or an event
	pageSize     = 500      // keys
	maxNodes     = 20_000
)

// Follow keeps a list up to date until ctx ends. again asks for the whole list once more.
func Follow(ctx context.Context, c Client, told Observer, again <-chan struct{}) {
	backoff := minBackoff
	rest := func() {
		// Jitter: a registry that was restarted is not met by all proxies at once.
		d := backoff/2 + time.Duration(rand.Int64N(int64(backoff)))
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	var held membership.Snapshot
	have := false
	for ctx.Err() == nil {
		if !have {
			within, done := context.WithTimeout(ctx, 4*callTimeout)
			w, err := c.ReadSnapshot(within)
			done()
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				told.OnLost(oneLine(err))
				c.NextEndpoint()
				rest()
				continue
			}
			select { // an answer to what was asked before it began
			case <-again:
			default:
			}
			told.OnSnapshot(w)
			held, have = w, true
		}
		began := time.Now()
		watch, stop := context.WithCancel(ctx)
		asked := make(chan bool, 1)
		go func() {
			select {
			case <-again:
				asked <- true
				stop()
			case <-watch.Done():
				asked <- false
			}
		}()
		p := &trackingObserver{Observer: told, reached: &held}
		err := c.Watch(watch, held, p)
		stop()
		wantWhole := <-asked
		if ctx.Err() != nil {
			return
		}
		if p.moved || time.Since(began) > 2*maxBackoff {
			backoff = minBackoff
		}
		switch {
		case wantWhole:
			have = false
		case errors.Is(err, ErrCompacted):
			told.OnCompacted()
			have = false
		case errors.Is(err, ErrHistoryReplaced):
			have = false
		default:
			told.OnLost(oneLine(err))
			c.NextEndpoint()
		}
		rest()
	}
}

// trackingObserver follows how far a watch has come: the next one goes on from there.
type trackingObserver struct {
	Observer
	reached *membership.Snapshot
	moved   bool
}

func (p *trackingObserver) OnSnapshot(w membership.Snapshot) {
	*p.reached, p.moved = membership.Snapshot{History: w.History, Revision: w.Revision}, true
	p.Observer.OnSnapshot(w)
}

func (p *trackingObserver) OnUpdate(c membership.Update) {
	p.reached.Revision, p.moved = max(p.reached.Revision, c.Revision), true
	p.Observer.OnUpdate(c)
}

func (p *trackingObserver) OnProgress(revision int64) {
	p.reached.Revision, p.moved = max(p.reached.Revision, revision), true
	p.Observer.OnProgress(revision)
}

func oneLine(err error) string {
	if err == nil {
		return "it ended"
	}
	s := strings.Join(strings.Fields(err.Error()), " ")
	if len(s) > 300 {
		s = s[:300]
	}
	return s
}

// Value is a node's, as it stands in the registry under prefix and id: version 1.
type Value struct {
	Version int     `json:"v"`
	Address string  `json:"address"` // ip:port
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind,omitempty"`
	Cell    int     `json:"cell,omitempty"`
	State   string  `json:"state"` // ready, draining
	Weight  float64 `json:"weight,omitempty"`
	Started int64   `json:"started_ms,omitempty"` // Unix time
}

// maxValueBytes bounds what one node may take.
const maxValueBytes = 4096

// ParseItem reads a node's entry. What can't be read is an item that says why.
func ParseItem(prefix, key string, value []byte, mod int64) membership.Item {
	name, ok := strings.CutPrefix(key, prefix)
	i := membership.Item{Name: name, ModRevision: mod}
	if ok && name == membership.ConfirmKey {
		return i
	}
	v, err := parseValue(value)
	switch {
	case !ok || name == "" || len(name) > 128 || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' }):
		i.Malformed = fmt.Sprintf("key %.140q: %s and an id of printable characters without spaces and slashes is needed", key, prefix)
	case err != nil:
		i.Malformed = err.Error()
	default:
		weight := v.Weight
		if weight == 0 {
			weight = 1
		}
		i.Entry = membership.Entry{Addr: v.Address, Zone: v.Zone, Kind: v.Kind, Cell: v.Cell, Draining: v.State == "draining", Weight: weight, Started: v.Started}
	}
	return i
}

func parseValue(data []byte) (v Value, err error) {
	if len(data) > maxValueBytes {
		return v, &ValueError{fmt.Sprintf("%d bytes, and %d are the most", len(data), maxValueBytes)}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&v); err != nil {
		return v, &ValueError{fmt.Sprintf("no JSON: %s", oneLine(err))}
	}
	switch _, bad := netip.ParseAddrPort(v.Address); {
	case d.More():
		return v, &ValueError{"more than one value"}
	case v.Version != 1:
		return v, &ValueError{fmt.Sprintf("v = %d: 1 is needed", v.Version)}
	case bad != nil:
		return v, &ValueError{fmt.Sprintf("address = %.80q: ip:port is needed", v.Address)}
	case v.State != "ready" && v.State != "draining":
		return v, &ValueError{fmt.Sprintf("state = %.80q: ready or draining is needed", v.State)}
	case v.Zone == "" || len(v.Zone) > 128 || len(v.Kind) > 128:
		return v, &ValueError{"zone is needed, and zone and kind of up to 128 bytes"}
	case !(v.Weight >= 0) || math.IsInf(v.Weight, 0) || v.Weight > 1e6:
		return v, &ValueError{fmt.Sprintf("weight = %v: 0 (for 1) to a million is needed", v.Weight)}
	case v.Started < 0 || v.Cell < 0:
		return v, &ValueError{"started_ms and cell can't be below 0"}
	}
	return v, nil
}

// Encode is a node's value.
func (v Value) Encode() ([]byte, error) {
	v.Version = 1
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	_, err = parseValue(data)
	return data, err
}
