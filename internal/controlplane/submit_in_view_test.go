package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

// A grant is committed only in the view in which the head decided it. In another view it is rejected, both when it is
// submitted and when it is still queued after a view change.
func TestGrantDecidedInAnotherViewIsRejected(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 3)
	sim.advance(3 * time.Second)
	head := sim.controlAt(chainStatusOf(sim.controls[0].replica).Head)
	view := head.replica.Node().View().GetNumber()
	grant := func(view uint64) *result.Code {
		answer := new(result.Code)
		token := head.replica.Machine().Lease("a lease").GetFencingToken()
		operation := &api.Operation{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{Key: "a lease", Holder: "x/1", ReplacesFencingToken: &token}}}
		head.replica.SubmitInView(head.clock(sim.now), operation, view, head.clock(sim.now+operationTimeout),
			func(code result.Code, _ string) { *answer = code })
		return answer
	}
	next, other := grant(view+1), grant(view+7)
	sim.advance(time.Second)
	is.Equal(*next, result.Unavailable)
	is.Equal(*other, result.Unavailable)
	is.True(head.replica.Machine().Lease("a lease") == nil)

	inView := grant(view)
	sim.advance(time.Second)
	is.Equal(*inView, result.Committed)
	is.Equal(head.replica.Machine().Lease("a lease").GetHolder(), "x/1")
	for _, c := range sim.controls {
		c.kill()
	}
}
