package simcluster

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerCall is an operator's call: a read, or a configuration on top of a version.
type registerCall struct {
	read bool
	base uint64
	text string
}

// registerAnswer is what came of a call.
type registerAnswer struct {
	known   bool // there was a clear answer
	taken   bool
	version uint64 // of a read
	text    string // of a read
}

// registerState is the configuration.
type registerState struct {
	version uint64
	text    string
}

// configurationModel says what a register with one order of changes may answer.
func configurationModel(first registerState) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, output any) (bool, any) {
			s, call, answer := state.(registerState), input.(registerCall), output.(registerAnswer)
			switch {
			case call.read:
				return answer.version == s.version && answer.text == s.text, s
			case answer.known && !answer.taken:
				return call.base != s.version, s
			case call.base == s.version:
				return true, registerState{s.version + 1, call.text}
			}
			return !answer.known, s // what came to nothing is taken to come after all others
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// registerLog is what operators called and were answered.
type registerLog struct {
	first      registerState
	operations []porcupine.Operation
	writes     int
}

func (l *registerLog) begin(text string) { l.first = registerState{1, text} }

// note writes a call down.
func (w *witness) note(began time.Time, call registerCall, answer registerAnswer) {
	ended := time.Now().UnixNano()
	if !call.read && !answer.known {
		ended = math.MaxInt64 // it may still come true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.register.operations = append(w.register.operations, porcupine.Operation{ClientId: len(w.register.operations), Input: call,
		Call: began.UnixNano(), Output: answer, Return: ended})
}

var versionField = regexp.MustCompile(`"config_version":(\d+)`)

// newest reads the configuration, from whichever control process answers.
func (w *witness) newest() (registerState, bool) {
	for _, m := range w.cluster.Controls {
		status, body, err := w.cluster.callOne(m, http.MethodGet, "/marlreel/config/read", "", "")
		if err != nil || status != http.StatusOK {
			continue
		}
		found := versionField.FindStringSubmatch(body)
		if found == nil {
			w.fault("a read gave %q", body)
			return registerState{}, false
		}
		version, _ := strconv.ParseUint(found[1], 10, 64)
		return registerState{version, body}, true
	}
	return registerState{}, false
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
		w.note(began, registerCall{read: true}, registerAnswer{known: true, version: state.version, text: state.text})
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
	text := historyDocument(prefix)(state.version + 1)
	call, answer := registerCall{base: state.version, text: text}, registerAnswer{}
	began := time.Now()
	for send := 0; send < mostSends && !answer.known; send++ {
		m := w.cluster.control(operator + send)
		status, _, err := w.cluster.callOne(m, http.MethodPost, "/marlreel/config/replace", strconv.FormatUint(call.base, 10), text)
		switch {
		case err == nil && status == http.StatusOK:
			answer = registerAnswer{known: true, taken: true}
		case err == nil && status == http.StatusPreconditionFailed:
			answer = registerAnswer{known: true}
		default:
			w.cluster.Pass(100 * time.Millisecond)
		}
	}
	w.note(began, call, answer)
	return answer.taken
}

// auditRegister checks that all answers are those of one register.
func (w *witness) auditRegister() {
	const patience = 20 * time.Second
	if porcupine.CheckOperationsTimeout(configurationModel(w.register.first), w.register.operations, patience) != porcupine.Ok {
		w.fault("the answers to %d calls are not those of one register", len(w.register.operations))
	}
}
