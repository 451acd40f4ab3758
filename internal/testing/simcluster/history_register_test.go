package simcluster

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"

	"marlreel/internal/testing/linearizability"
)

// registerLog is what operators called and were answered.
type registerLog struct {
	first      linearizability.Configuration
	operations []porcupine.Operation
	writes     int
}

func (l *registerLog) begin(text string) {
	l.first = linearizability.Configuration{Version: 1, Text: text}
}

// recordCall writes a call down.
func (w *historyRun) recordCall(began time.Time, call linearizability.ConfigurationCall, answer linearizability.ConfigurationAnswer) {
	ended := time.Now().UnixNano()
	if !call.Read && !answer.Known {
		ended = math.MaxInt64 // it may still come true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.register.operations = append(w.register.operations, porcupine.Operation{
		ClientId: len(w.register.operations), Input: call,
		Call: began.UnixNano(), Output: answer, Return: ended,
	})
}

var versionField = regexp.MustCompile(`"config_version":(\d+)`)

// readConfiguration reads the configuration, from whichever control process answers.
func (w *historyRun) readConfiguration() (linearizability.Configuration, bool) {
	for _, m := range w.cluster.Controls {
		status, body, err := w.cluster.callControl(m, http.MethodGet, "/marlreel/config/read", "", "")
		if err != nil || status != http.StatusOK {
			continue
		}
		found := versionField.FindStringSubmatch(body)
		if found == nil {
			w.violation("a read gave %q", body)
			return linearizability.Configuration{}, false
		}
		version, _ := strconv.ParseUint(found[1], 10, 64)
		return linearizability.Configuration{Version: version, Text: body}, true
	}
	return linearizability.Configuration{}, false
}

// changesEnded tells whether operators are to make no more changes.
func (w *historyRun) changesEnded() bool {
	select {
	case <-w.changesOver:
		return true
	default:
		return false
	}
}

// read reads the configuration once.
func (w *historyRun) read() {
	began := time.Now()
	if state, answered := w.readConfiguration(); answered {
		w.recordCall(began, linearizability.ConfigurationCall{Read: true}, linearizability.ConfigurationAnswer{Known: true, Version: state.Version, Text: state.Text})
	}
}

// maxSends bounds how often a change is sent until there is a clear answer.
const maxSends = 12

// write sends a change on top of the newest version, again while there is no clear answer, and
// tells whether it was taken. prefix is where the plain route goes; empty: to a place of its own.
func (w *historyRun) write(operator int, prefix string) bool {
	state, answered := w.readConfiguration()
	if !answered {
		return false
	}
	if prefix == "" && w.changesEnded() {
		return false
	}
	w.mu.Lock()
	w.register.writes++
	if prefix == "" {
		prefix = fmt.Sprintf("/w%d/", w.register.writes)
	}
	w.mu.Unlock()
	text := historyDocument(prefix)(state.Version + 1)
	call, answer := linearizability.ConfigurationCall{Base: state.Version, Text: text}, linearizability.ConfigurationAnswer{}
	began := time.Now()
	for send := 0; send < maxSends && !answer.Known; send++ {
		m := w.cluster.control(operator + send)
		status, _, err := w.cluster.callControl(m, http.MethodPost, "/marlreel/config/replace", strconv.FormatUint(call.Base, 10), text)
		switch {
		case err == nil && status == http.StatusOK:
			answer = linearizability.ConfigurationAnswer{Known: true, Taken: true}
		case err == nil && status == http.StatusPreconditionFailed:
			answer = linearizability.ConfigurationAnswer{Known: true}
		default:
			w.cluster.Sleep(100 * time.Millisecond)
		}
	}
	w.recordCall(began, call, answer)
	return answer.Taken
}
