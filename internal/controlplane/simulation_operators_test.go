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
	// evacuatedZone is the zone that operators evacuate and take back.
	evacuatedZone = "north"
	// callerTimeout is how long a caller waits for one control process.
	callerTimeout = time.Second
	// maxSends is how often a caller sends the same again.
	maxSends = 12
	// applyTime is within what time a change is in force at every agent in touch.
	applyTime = 2 * time.Second
	// freshAge is how old what a process counts as fresh may be.
	freshAge = 2 * time.Second
)

// simulatedOperators are the operators and what they were answered.
type simulatedOperators struct {
	sim       *simulation
	configs   []porcupine.Operation
	switches  []porcupine.Operation
	writes    int
	taken     int
	refused   int
	newest    acknowledged // the newest configuration that was acknowledged
	retiring  int
	retired   map[string]time.Duration // ends of backends that were acknowledged, and when
	darkUntil time.Duration            // power is lost
}

// acknowledged is a version and when it was acknowledged.
type acknowledged struct {
	version uint64
	at      time.Duration
}

// simulatedDocument is a configuration with one model and two tenants, and a mark by which it is known.
func simulatedDocument(version uint64, mark string) string {
	const tenants = `"subscribers":[{"name":"north","access_keys":["key of north"]},{"name":"south","access_keys":["key of south"]}],`
	return strings.NewReplacer(`"config_version":1`, fmt.Sprintf(`"config_version":%d`, version), `"path_prefix":"/"`,
		fmt.Sprintf(`"path_prefix":"/%s/"`, mark), `"limits":{`, tenants+`"limits":{`).Replace(ownedDocument)
}

func newSimulatedOperators(sim *simulation) *simulatedOperators {
	cl := &simulatedOperators{sim: sim, retired: map[string]time.Duration{}}
	for operator := range 2 {
		cl.loop(350*time.Millisecond, func(done func()) { cl.change(operator, done) })
	}
	on := false
	cl.loop(500*time.Millisecond, func(done func()) {
		cl.evacuate(!on, func(known bool) {
			if known {
				on = !on
			}
			done()
		})
	})
	cl.loop(400*time.Millisecond, cl.retire)
	cl.loop(150*time.Millisecond, func(done func()) { cl.read(func(*newestState) { done() }) })
	return cl
}

// loop does something ever again, some time after it was done, while operators make changes.
func (cl *simulatedOperators) loop(pause time.Duration, do func(done func())) {
	var again func()
	again = func() {
		if cl.sim.calm {
			return
		}
		do(func() { cl.sim.after(pause, again) })
	}
	cl.sim.after(time.Duration(cl.sim.rng.Int64N(int64(pause))), again)
}

// send makes a call of an operator to one control process after the other, until one gives a clear answer.
// done is given nil where none did.
func send[A any](cl *simulatedOperators, serve func(c *simulatedControl, answer func(A)), clear func(A) bool, done func(*A)) {
	sim, sends := cl.sim, 0
	first := sim.rng.IntN(len(sim.controls))
	var again func()
	again = func() {
		if sends >= maxSends {
			done(nil)
			return
		}
		c := sim.controls[(first+sends)%len(sim.controls)]
		sends++
		gone := false
		call(sim, "operator", c.address, callerTimeout, func(answer func(A)) {
			c.run(func() {
				if gone { // the end of the connection stands right behind the call
					sim.coverage["a caller had gone"]++
					return
				}
				serve(c, answer)
			})
		}, func(answer *A) {
			gone = true
			if answer != nil && clear(*answer) && sim.rng.Float64() >= sim.ackLoss {
				done(answer)
				return
			}
			sim.after(time.Duration(50+50*sends)*time.Millisecond, again)
		})
	}
	again()
}

// isClear reports whether an order's outcome is one that callers don't send again for.
func isClear(outcome *result.Error) bool {
	return outcome.Code != result.Unavailable && outcome.Code != result.OutcomeUnknown
}

// operate has an operation done.
func (cl *simulatedOperators) operate(operation *api.Operation, done func(outcome *result.Error)) {
	send(cl, func(c *simulatedControl, answer func(*result.Error)) { c.commitOperation(operation, answer) }, isClear, func(outcome **result.Error) {
		if outcome == nil {
			done(nil)
			return
		}
		done(*outcome)
	})
}

// ids are the backends whose ends were acknowledged.
func (cl *simulatedOperators) ids() []string {
	ids := make([]string, 0, len(cl.retired))
	for id := range cl.retired {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// read reads the newest state. Whoever is not sure of it gives none.
func (cl *simulatedOperators) read(done func(*newestState)) {
	sim, began, ids := cl.sim, cl.sim.now, cl.ids()
	send(cl, func(c *simulatedControl, answer func(*newestState)) { c.read(ids, answer) }, func(s *newestState) bool { return s != nil },
		func(answer **newestState) {
			if answer == nil {
				done(nil)
				return
			}
			s := *answer
			sim.record("read %d", s.version)
			cl.addConfig(began, linearizability.ConfigurationRequest{Read: true}, linearizability.ConfigurationResponse{Definite: true, Version: s.version, Text: s.text})
			cl.addSwitch(began, linearizability.FlagRequest{Read: true}, linearizability.FlagResponse{Definite: true, On: s.evacuated})
			for _, id := range ids {
				if !s.retired[id] {
					sim.failf("the end of %s was acknowledged at %v, and a read that began at %v knows nothing of it", id, cl.retired[id], began)
				}
			}
			done(s)
		})
}

// returned is when a call was answered; one without a clear answer may still come true.
func (cl *simulatedOperators) returned(known bool) int64 {
	if known {
		return int64(cl.sim.now)
	}
	return math.MaxInt64
}

func (cl *simulatedOperators) addConfig(began time.Duration, input linearizability.ConfigurationRequest, answer linearizability.ConfigurationResponse) {
	cl.configs = append(cl.configs, porcupine.Operation{
		ClientId: len(cl.configs), Input: input, Call: int64(began), Output: answer,
		Return: cl.returned(answer.Definite),
	})
}

func (cl *simulatedOperators) addSwitch(began time.Duration, input linearizability.FlagRequest, answer linearizability.FlagResponse) {
	cl.switches = append(cl.switches, porcupine.Operation{
		ClientId: len(cl.switches), Input: input, Call: int64(began), Output: answer,
		Return: cl.returned(answer.Definite),
	})
}

// change has a change taken on top of the newest configuration; two operators do so at once.
func (cl *simulatedOperators) change(operator int, done func()) {
	cl.read(func(s *newestState) {
		if s == nil {
			done()
			return
		}
		cl.writes++
		write := nextWrite(s, cl.writes)
		began, base := cl.sim.now, s.version
		cl.operate(write.operation, func(outcome *result.Error) {
			if write.invalid {
				cl.checkRefusal(outcome) // it has no effect, whatever the answer: the next reads show that
			} else {
				cl.onChanged(operator, began, linearizability.ConfigurationRequest{Base: base, Text: write.text}, outcome)
			}
			done()
		})
	})
}

// onChanged records what a valid change was answered.
func (cl *simulatedOperators) onChanged(operator int, began time.Duration, request linearizability.ConfigurationRequest, outcome *result.Error) {
	sim, base := cl.sim, request.Base
	answer := linearizability.ConfigurationResponse{Definite: outcome != nil, Committed: outcome != nil && outcome.Code.Succeeded()}
	if answer.Definite && !answer.Committed && outcome.Code != result.VersionConflict {
		sim.failf("operator %d: a change on %d was answered with %v", operator, base, outcome)
	}
	sim.record("change %d by %d: %v", base, operator, answer)
	if answer.Committed {
		cl.taken++
		if base+1 > cl.newest.version {
			cl.newest = acknowledged{base + 1, sim.now}
		}
	} else if answer.Definite {
		cl.refused++
	}
	cl.addConfig(began, request, answer)
}

// evacuate begins or ends an evacuation.
func (cl *simulatedOperators) evacuate(on bool, done func(known bool)) {
	sim, began := cl.sim, cl.sim.now
	operation := &api.Operation{Kind: &api.Operation_Evacuation{Evacuation: &api.SetEvacuation{Zone: evacuatedZone, Active: on}}}
	cl.operate(operation, func(outcome *result.Error) {
		if outcome != nil && !outcome.Code.Succeeded() {
			sim.failf("an evacuation was refused: %v", outcome)
		}
		sim.record("evacuation %v: %v", on, outcome)
		cl.addSwitch(began, linearizability.FlagRequest{On: on}, linearizability.FlagResponse{Definite: outcome != nil})
		done(outcome != nil)
	})
}

// retire announces a backend's end.
func (cl *simulatedOperators) retire(done func()) {
	sim := cl.sim
	cl.retiring++
	id := fmt.Sprintf("b%d", cl.retiring)
	cl.operate(&api.Operation{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: id}}}, func(outcome *result.Error) {
		if outcome != nil && !outcome.Code.Succeeded() {
			sim.failf("the end of a backend was refused: %v", outcome)
		}
		if outcome != nil {
			cl.retired[id] = sim.now
		}
		sim.record("end of %s: %v", id, outcome)
		done()
	})
}

// auditFresh checks that a process whose word counts as fresh has what was acknowledged some time ago.
func (cl *simulatedOperators) auditFresh(c *simulatedControl) {
	if c.replica.Machine().Version() < cl.newest.version && cl.sim.now-cl.newest.at > freshAge {
		cl.sim.failf("%s counts as fresh with version %d; %d was acknowledged at %v", c.address, c.replica.Machine().Version(),
			cl.newest.version, cl.newest.at)
	}
}

// powerIsLost ends all control processes at once, and starts them again after a while.
func (cl *simulatedOperators) powerIsLost() {
	sim := cl.sim
	if cl.darkUntil > sim.now {
		return
	}
	const dark = 400 * time.Millisecond
	cl.darkUntil = sim.now + dark
	for _, c := range sim.controls {
		c.dieAt = 0
		c.kill()
	}
	sim.after(dark, func() {
		for _, c := range sim.controls {
			if !c.replaced && !c.up {
				c.start()
			}
		}
	})
}

// auditAnswers checks that all answers are those of one register, and of one switch.
func (cl *simulatedOperators) auditAnswers() {
	const patience = 30 * time.Second
	sim := cl.sim
	if porcupine.CheckOperationsTimeout(linearizability.ConfigurationModel(linearizability.Configuration{}), cl.configs, patience) != porcupine.Ok {
		sim.failf("the answers to %d calls are not those of one register", len(cl.configs))
	}
	if porcupine.CheckOperationsTimeout(linearizability.FlagModel(), cl.switches, patience) != porcupine.Ok {
		sim.failf("the answers to %d calls are not those of one switch", len(cl.switches))
	}
}
