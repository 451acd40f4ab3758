package controlplane

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/testing/linearizability"
)

const (
	// evacuatedZone is the zone that operators evacuate and restore.
	evacuatedZone = "north"
	// callerTimeout is how long a caller waits for one control process.
	callerTimeout = time.Second
	// maxSends bounds the attempts of a caller at one request.
	maxSends = 12
	// applyTime is the time within which every connected agent has to receive a change.
	applyTime = 2 * time.Second
	// freshAge is the maximum age of a state that counts as fresh.
	freshAge = 2 * time.Second
)

// simulatedOperators are the operators, and a record of their calls and the answers.
type simulatedOperators struct {
	sim                *simulation
	configurationCalls []porcupine.Operation
	evacuationCalls    []porcupine.Operation
	writes             int
	committed          int
	rejected           int
	newest             acknowledged // the newest configuration that was acknowledged
	retiring           int
	retired            map[string]time.Duration // when the retirement of each backend was acknowledged, by backend id
	powerOffUntil      time.Duration            // until then the control machines are without power
}

// acknowledged is a version and the time of its acknowledgement.
type acknowledged struct {
	version uint64
	at      time.Duration
}

// simulatedDocument is a configuration with one model, two tenants, and a mark that makes it unique.
func simulatedDocument(version uint64, mark string) string {
	const tenants = `"subscribers":[{"name":"north","access_keys":["key of north"]},{"name":"south","access_keys":["key of south"]}],`
	return strings.NewReplacer(`"config_version":1`, fmt.Sprintf(`"config_version":%d`, version), `"path_prefix":"/"`,
		fmt.Sprintf(`"path_prefix":"/%s/"`, mark), `"limits":{`, tenants+`"limits":{`).Replace(ownedDocument)
}

func newSimulatedOperators(sim *simulation) *simulatedOperators {
	ops := &simulatedOperators{sim: sim, retired: map[string]time.Duration{}}
	for operator := range 2 {
		ops.loop(350*time.Millisecond, func(done func()) { ops.change(operator, done) })
	}
	evacuated := false
	ops.loop(500*time.Millisecond, func(done func()) {
		ops.evacuate(!evacuated, func(known bool) {
			if known {
				evacuated = !evacuated
			}
			done()
		})
	})
	ops.loop(400*time.Millisecond, ops.retire)
	ops.loop(150*time.Millisecond, func(done func()) { ops.read(func(*newestState) { done() }) })
	return ops
}

// loop repeats an action, with a pause after each time that it was done, until operators are quiesced.
func (ops *simulatedOperators) loop(pause time.Duration, do func(done func())) {
	var again func()
	again = func() {
		if ops.sim.quiesced {
			return
		}
		do(func() { ops.sim.after(pause, again) })
	}
	ops.sim.after(time.Duration(ops.sim.rng.Int64N(int64(pause))), again)
}

// sendWithRetry makes a call of an operator to one control process after another, until one gives a definite answer.
// done gets nil if none did.
func sendWithRetry[A any](ops *simulatedOperators, serve func(c *simulatedControl, answer func(A)), definite func(A) bool, done func(*A)) {
	sim, sends := ops.sim, 0
	first := sim.rng.IntN(len(sim.controls))
	var again func()
	again = func() {
		if sends >= maxSends {
			done(nil)
			return
		}
		c := sim.controls[(first+sends)%len(sim.controls)]
		sends++
		callerGone := false
		call(sim, "operator", c.address, callerTimeout, func(answer func(A)) {
			c.run(func() {
				if callerGone { // the connection was closed right after the call
					sim.coverage["a caller had disconnected"]++
					return
				}
				serve(c, answer)
			})
		}, func(answer *A) {
			callerGone = true
			if answer != nil && definite(*answer) && sim.rng.Float64() >= sim.replyLoss {
				done(answer)
				return
			}
			sim.after(time.Duration(50+50*sends)*time.Millisecond, again)
		})
	}
	again()
}

// isDefinite reports whether an operation's outcome is known, so that callers don't retry.
func isDefinite(outcome *result.Error) bool {
	return outcome.Code != result.Unavailable && outcome.Code != result.OutcomeUnknown
}

// submit sends an operation and passes on its outcome, which is nil if it is not known.
func (ops *simulatedOperators) submit(operation *api.Operation, done func(outcome *result.Error)) {
	sendWithRetry(ops, func(c *simulatedControl, answer func(*result.Error)) { c.commitOperation(operation, answer) }, isDefinite, func(outcome **result.Error) {
		if outcome == nil {
			done(nil)
			return
		}
		done(*outcome)
	})
}

// retiredIDs returns the ids of the backends whose retirement was acknowledged, sorted.
func (ops *simulatedOperators) retiredIDs() []string {
	ids := make([]string, 0, len(ops.retired))
	for id := range ops.retired {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// read reads the newest state, and passes on nil if no control process could answer.
func (ops *simulatedOperators) read(done func(*newestState)) {
	sim, began, ids := ops.sim, ops.sim.now, ops.retiredIDs()
	sendWithRetry(ops, func(c *simulatedControl, answer func(*newestState)) { c.read(ids, answer) }, func(s *newestState) bool { return s != nil },
		func(answer **newestState) {
			if answer == nil {
				done(nil)
				return
			}
			s := *answer
			sim.record("read %d", s.version)
			ops.addConfigurationCall(began, linearizability.ConfigurationRequest{Read: true}, linearizability.ConfigurationResponse{Definite: true, Version: s.version, Text: s.text})
			ops.addEvacuationCall(began, linearizability.FlagRequest{Read: true}, linearizability.FlagResponse{Definite: true, On: s.evacuated})
			for _, id := range ids {
				if !s.retired[id] {
					sim.failf("the retirement of %s was acknowledged at %v, but is missing from a read that began at %v", id, ops.retired[id], began)
				}
			}
			done(s)
		})
}

// returnTime is when a call returned. A call without a definite answer may still take effect at any time.
func (ops *simulatedOperators) returnTime(known bool) int64 {
	if known {
		return int64(ops.sim.now)
	}
	return math.MaxInt64
}

func (ops *simulatedOperators) addConfigurationCall(began time.Duration, input linearizability.ConfigurationRequest, answer linearizability.ConfigurationResponse) {
	ops.configurationCalls = append(ops.configurationCalls, porcupine.Operation{
		ClientId: len(ops.configurationCalls), Input: input, Call: int64(began), Output: answer,
		Return: ops.returnTime(answer.Definite),
	})
}

func (ops *simulatedOperators) addEvacuationCall(began time.Duration, input linearizability.FlagRequest, answer linearizability.FlagResponse) {
	ops.evacuationCalls = append(ops.evacuationCalls, porcupine.Operation{
		ClientId: len(ops.evacuationCalls), Input: input, Call: int64(began), Output: answer,
		Return: ops.returnTime(answer.Definite),
	})
}

// change submits a change of the newest configuration. Two operators do so concurrently.
func (ops *simulatedOperators) change(operator int, done func()) {
	ops.read(func(s *newestState) {
		if s == nil {
			done()
			return
		}
		ops.writes++
		write := nextWrite(s, ops.writes)
		began, base := ops.sim.now, s.version
		ops.submit(write.operation, func(outcome *result.Error) {
			if write.invalid {
				ops.checkRefusal(outcome) // it must have no effect, whatever the answer: later reads check that
			} else {
				ops.onChanged(operator, began, linearizability.ConfigurationRequest{Base: base, Text: write.text}, outcome)
			}
			done()
		})
	})
}

// onChanged records the outcome of a valid change.
func (ops *simulatedOperators) onChanged(operator int, began time.Duration, request linearizability.ConfigurationRequest, outcome *result.Error) {
	sim, base := ops.sim, request.Base
	answer := linearizability.ConfigurationResponse{Definite: outcome != nil, Committed: outcome != nil && outcome.Code.Succeeded()}
	if answer.Definite && !answer.Committed && outcome.Code != result.VersionConflict {
		sim.failf("operator %d: a change based on version %d was answered with %v", operator, base, outcome)
	}
	sim.record("change %d by %d: %v", base, operator, answer)
	if answer.Committed {
		ops.committed++
		if base+1 > ops.newest.version {
			ops.newest = acknowledged{base + 1, sim.now}
		}
	} else if answer.Definite {
		ops.rejected++
	}
	ops.addConfigurationCall(began, request, answer)
}

// evacuate begins or ends an evacuation.
func (ops *simulatedOperators) evacuate(on bool, done func(known bool)) {
	sim, began := ops.sim, ops.sim.now
	operation := &api.Operation{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: evacuatedZone, Active: on}}}
	ops.submit(operation, func(outcome *result.Error) {
		if outcome != nil && !outcome.Code.Succeeded() {
			sim.failf("an evacuation was rejected: %v", outcome)
		}
		sim.record("evacuation %v: %v", on, outcome)
		ops.addEvacuationCall(began, linearizability.FlagRequest{On: on}, linearizability.FlagResponse{Definite: outcome != nil})
		done(outcome != nil)
	})
}

// retire retires a backend.
func (ops *simulatedOperators) retire(done func()) {
	sim := ops.sim
	ops.retiring++
	id := fmt.Sprintf("b%d", ops.retiring)
	ops.submit(&api.Operation{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: id}}}, func(outcome *result.Error) {
		if outcome != nil && !outcome.Code.Succeeded() {
			sim.failf("the retirement of a backend was rejected: %v", outcome)
		}
		if outcome != nil {
			ops.retired[id] = sim.now
		}
		sim.record("retirement of %s: %v", id, outcome)
		done()
	})
}

// auditFresh checks that a process whose state counts as fresh has everything acknowledged longer than freshAge ago.
func (ops *simulatedOperators) auditFresh(c *simulatedControl) {
	if c.replica.Machine().Version() < ops.newest.version && ops.sim.now-ops.newest.at > freshAge {
		ops.sim.failf("%s counts as fresh with version %d; %d was acknowledged at %v", c.address, c.replica.Machine().Version(),
			ops.newest.version, ops.newest.at)
	}
}

// losePower kills all control processes at once, and starts them again after an outage.
func (ops *simulatedOperators) losePower() {
	sim := ops.sim
	if ops.powerOffUntil > sim.now {
		return
	}
	const outage = 400 * time.Millisecond
	ops.powerOffUntil = sim.now + outage
	for _, c := range sim.controls {
		c.writesUntilPowerLoss = 0
		c.kill()
	}
	sim.after(outage, func() {
		for _, c := range sim.controls {
			if !c.replaced && !c.up {
				c.start()
			}
		}
	})
}

// auditAnswers checks that all answers are linearizable: those about the configuration as a register, those about the
// evacuation as a flag.
func (ops *simulatedOperators) auditAnswers() {
	const checkTimeout = 30 * time.Second
	sim := ops.sim
	if porcupine.CheckOperationsTimeout(linearizability.ConfigurationModel(linearizability.Configuration{}), ops.configurationCalls, checkTimeout) != porcupine.Ok {
		sim.failf("the answers to %d configuration calls are not linearizable", len(ops.configurationCalls))
	}
	if porcupine.CheckOperationsTimeout(linearizability.FlagModel(), ops.evacuationCalls, checkTimeout) != porcupine.Ok {
		sim.failf("the answers to %d evacuation calls are not linearizable", len(ops.evacuationCalls))
	}
}
