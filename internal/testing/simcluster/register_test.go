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

// note writes a call down.
func (w *witness) note(began time.Time, call linearizability.ConfigurationCall, answer linearizability.ConfigurationAnswer) {
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

// newest reads the configuration, from whichever control process answers.
func (w *witness) newest() (linearizability.Configuration, bool) {
	for _, m := range w.cluster.Controls {
		status, body, err := w.cluster.callOne(m, http.MethodGet, "/marlreel/config/read", "", "")
		if err != nil || status != http.StatusOK {
			continue
		}
		found := versionField.FindStringSubmatch(body)
		if found == nil {
			w.fault("a read gave %q", body)
			return linearizability.Configuration{}, false
		}
		version, _ := strconv.ParseUint(found[1], 10, 64)
		return linearizability.Configuration{Version: version, Text: body}, true
	}
	return linearizability.Configuration{}, false
}

// isCalm tells whether operators are to make no more changes.
func (w *witness) isCalm() bool {
	select {
	case <-w.calm:
		return true
	default:
		return false
	}
}

// read reads the configuration once.
func (w *witness) read() {
	began := time.Now()
	if state, answered := w.newest(); answered {
		w.note(began, linearizability.ConfigurationCall{Read: true}, linearizability.ConfigurationAnswer{Known: true, Version: state.Version, Text: state.Text})
	}
}

// mostSends bounds how often a change is sent until there is a clear answer.
const mostSends = 12

// write sends a change on top of the newest version, again while there is no clear answer, and
// tells whether it was taken. prefix is where the plain route goes; empty: to a place of its own.
func (w *witness) write(operator int, prefix string) bool {
	state, answered := w.newest()
	if !answered {
		return false
	}
	if prefix == "" && w.isCalm() {
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
	for send := 0; send < mostSends && !answer.Known; send++ {
		m := w.cluster.control(operator + send)
		status, _, err := w.cluster.callOne(m, http.MethodPost, "/marlreel/config/replace", strconv.FormatUint(call.Base, 10), text)
		switch {
		case err == nil && status == http.StatusOK:
			answer = linearizability.ConfigurationAnswer{Known: true, Taken: true}
		case err == nil && status == http.StatusPreconditionFailed:
			answer = linearizability.ConfigurationAnswer{Known: true}
		default:
			w.cluster.Pass(100 * time.Millisecond)
		}
	}
	w.note(began, call, answer)
	return answer.Taken
}

// auditRegister checks that all answers are those of one register.
func (w *witness) auditRegister() {
	const patience = 20 * time.Second
	if porcupine.CheckOperationsTimeout(linearizability.ConfigurationModel(w.register.first), w.register.operations, patience) != porcupine.Ok {
		w.fault("the answers to %d calls are not those of one register", len(w.register.operations))
	}
}
