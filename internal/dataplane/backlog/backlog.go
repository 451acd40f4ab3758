// Package backlog counts the work that backends have been sent and have not begun to answer, over all
// proxies. Each proxy knows its own part; the parts are told to the home of the service in their zone, and
// from there to the holder of the service's placement role, and the answers carry back what the others have.
// The package is pure: it is told the time.
package backlog

import (
	"hash/fnv"
	"io"
	"time"
)

const (
	// ReportTTL is how long a node's word counts: some reports.
	ReportTTL = 1500 * time.Millisecond
	// mostWords bounds the words that are kept, and mostBackends the backends of one of them.
	mostWords    = 8192
	mostBackends = 4096
)

// Key stands for a backend: the hash of its id. Two of them with one key count as one.
func Key(id string) uint32 {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id) // a hash takes everything
	return hash.Sum32()
}

// Work is the work of backends by their keys, in ms by the hints of the requests.
type Work map[uint32]uint32

// Reporter is whose word something is.
type Reporter struct {
	// Node is the node whose proxy has sent the work; "" is all nodes of other zones together.
	Node string
	Zone string
}

// OtherZones speaks for all other zones.
var OtherZones = Reporter{}

type wordKey struct {
	service string
	speaker Reporter
}

type word struct {
	work Work
	at   time.Duration
}

// Table is the newest word of each speaker. Not safe for concurrent use.
type Table struct {
	words map[wordKey]word
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{words: map[wordKey]word{}} }

// RecordReport takes a speaker's word on a service in: all that it has, in place of what it said before.
func (t *Table) RecordReport(now time.Duration, service string, from Reporter, work Work) {
	key := wordKey{service, from}
	if _, known := t.words[key]; !known && len(t.words) >= mostWords {
		t.forget(now)
		if len(t.words) >= mostWords {
			return
		}
	}
	if len(work) > mostBackends {
		return
	}
	t.words[key] = word{work, now}
}

// forget drops what counts no more.
func (t *Table) forget(now time.Duration) {
	for key, w := range t.words {
		if now-w.at > ReportTTL {
			delete(t.words, key)
		}
	}
}

// Sum adds up what the speakers that count have sent to the backends of a service.
func (t *Table) Sum(now time.Duration, service string, counts func(Reporter) bool) Work {
	t.forget(now)
	sum := Work{}
	for key, w := range t.words {
		if key.service != service || !counts(key.speaker) {
			continue
		}
		for backend, ms := range w.work {
			sum[backend] += ms
		}
	}
	return sum
}
