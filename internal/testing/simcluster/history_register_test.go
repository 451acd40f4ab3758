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

// registerLog records operator calls and their responses. The configuration is a compare-and-swap register.
type registerLog struct {
	first      linearizability.Configuration
	operations []porcupine.Operation
	writes     int
}

func (l *registerLog) begin(text string) {
	l.first = linearizability.Configuration{Version: 1, Text: text}
}

// recordCall records a completed call.
func (r *historyRun) recordCall(began time.Time, call linearizability.ConfigurationRequest, answer linearizability.ConfigurationResponse) {
	ended := time.Now().UnixNano()
	if !call.Read && !answer.Definite {
		ended = math.MaxInt64 // it may still take effect
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.register.operations = append(r.register.operations, porcupine.Operation{
		ClientId: len(r.register.operations), Input: call,
		Call: began.UnixNano(), Output: answer, Return: ended,
	})
}

var versionField = regexp.MustCompile(`"config_version":(\d+)`)

// readConfiguration reads the configuration from the first control process that returns it.
func (r *historyRun) readConfiguration() (linearizability.Configuration, bool) {
	for _, m := range r.cluster.Controls {
		status, body, err := r.cluster.callControl(m, http.MethodGet, "/marlreel/config/read", "", "")
		if err != nil || status != http.StatusOK {
			continue
		}
		found := versionField.FindStringSubmatch(body)
		if found == nil {
			r.violation("a read returned a configuration without a version: %q", body)
			return linearizability.Configuration{}, false
		}
		version, err := strconv.ParseUint(found[1], 10, 64)
		if err != nil {
			r.violation("a read returned the invalid version %q", found[1])
			return linearizability.Configuration{}, false
		}
		return linearizability.Configuration{Version: version, Text: body}, true
	}
	return linearizability.Configuration{}, false
}

// changesEnded reports whether operators must stop making changes.
func (r *historyRun) changesEnded() bool {
	select {
	case <-r.changesOver:
		return true
	default:
		return false
	}
}

// read reads the configuration once.
func (r *historyRun) read() {
	began := time.Now()
	current, answered := r.readConfiguration()
	if answered {
		r.recordCall(began, linearizability.ConfigurationRequest{Read: true},
			linearizability.ConfigurationResponse{Definite: true, Version: current.Version, Text: current.Text})
	}
}

// maxSends limits how often a change is sent until there is a definite response.
const maxSends = 12

// write sends a change based on the newest version, and retries it until there is a definite response. It reports whether
// the change was committed. prefix is the path prefix of an additional plain route; if empty, an unused one is chosen.
func (r *historyRun) write(operator int, prefix string) bool {
	current, answered := r.readConfiguration()
	if !answered {
		return false
	}
	if prefix == "" && r.changesEnded() {
		return false
	}
	if prefix == "" {
		prefix = r.newPrefix()
	}
	return r.replace(operator, current.Version, historyDocument(prefix)(current.Version+1))
}

// newPrefix returns a prefix that no change has used yet.
func (r *historyRun) newPrefix() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.register.writes++
	return fmt.Sprintf("/w%d/", r.register.writes)
}

// replace replaces the configuration based on a version, and tries the operator's own control process first. It reports
// whether the change was committed.
func (r *historyRun) replace(operator int, base uint64, text string) bool {
	call, answer := linearizability.ConfigurationRequest{Base: base, Text: text}, linearizability.ConfigurationResponse{}
	began := time.Now()
	for send := 0; send < maxSends && !answer.Definite; send++ {
		m := r.cluster.control(operator + send)
		status, _, err := r.cluster.callControl(m, http.MethodPost, "/marlreel/config/replace", strconv.FormatUint(base, 10), text)
		switch {
		case err == nil && status == http.StatusOK:
			answer = linearizability.ConfigurationResponse{Definite: true, Committed: true}
		case err == nil && status == http.StatusPreconditionFailed:
			answer = linearizability.ConfigurationResponse{Definite: true}
		default:
			r.cluster.Sleep(100 * time.Millisecond)
		}
	}
	r.recordCall(began, call, answer)
	return answer.Committed
}
