package fleet

import (
	"context"
	"fmt"
	"time"

	"marlreel/internal/fleet/agree"
)

// BaseNewest as the base of a proposal means the newest version that this proxy knows.
const BaseNewest = ^uint64(0)

// maxFoundingWait is how many ticks ProposeFile waits for the fleet's first version: three times agree-within.
const maxFoundingWait = 300

// Propose proposes settings to the fleet as the successor of a base version. If another version has been decided on that
// base, it stands, and the error is a *RefusedError. The other error is *NoLeaderError: the proposal may still be
// decided.
func (f *Fleet) Propose(ctx context.Context, text, by, why string, base uint64) (agree.Result, error) {
	return f.askLeader(ctx, func(id string) agree.Message {
		if newest, _ := f.member.View().Newest(); base == BaseNewest {
			base = newest.Number
		}
		return agree.Message{Propose: &agree.Change{Kind: "propose", ID: id, Base: base, Text: text, By: by, Why: why, At: time.Now()}}
	})
}

// ProposeFile proposes this proxy's file after it was read again. A text that a newer version has replaced is not
// proposed, and the error is a *StaleFileError: the file is more likely outdated than meant as a rollback. Other errors
// are those of Propose.
func (f *Fleet) ProposeFile(ctx context.Context, text string) (agree.Result, error) {
	hash := agree.Hash(text)
	f.post(func() { f.fileText, f.fileHash = text, hash })
	state, err := f.awaitFirstVersion(ctx)
	if err != nil {
		return agree.Result{}, err
	}
	newest, _ := state.Newest()
	for _, version := range state.Versions {
		if version.Hash == hash && newest.Hash != hash {
			return agree.Result{}, &StaleFileError{version.Number, newest.Number, newest.By}
		}
	}
	return f.Propose(ctx, text, f.options.Proxy, "the file at SIGHUP", BaseNewest)
}

// awaitFirstVersion returns the fleet's state once it has a version, or after maxFoundingWait without one. While the
// fleet is being founded, its first version may still be decided before a proposal, which would then be refused.
func (f *Fleet) awaitFirstVersion(ctx context.Context) (*agree.State, error) {
	states := make(chan *agree.State, 1)
	for attempt := 0; ; attempt++ {
		f.post(func() { states <- f.member.View() })
		var state *agree.State
		select {
		case state = <-states:
		case <-f.done:
			return nil, f.noLeader()
		}
		if _, exists := state.Newest(); exists || attempt >= maxFoundingWait {
			return state, nil
		}
		select {
		case <-time.After(f.cfg.Tick()):
		case <-ctx.Done():
			return nil, f.noLeader()
		}
	}
}

// proposeFirstVersion proposes this proxy's file as the fleet's first version while this proxy leads and there is none.
func (f *Fleet) proposeFirstVersion(now time.Duration) {
	if f.keeper == nil || !f.keeper.Leads() || !f.keeper.Complete() || f.ticks%foundTicks != 0 {
		return
	}
	if _, exists := f.keeper.View().Newest(); exists {
		return
	}
	f.execute(f.keeper.Receive(now, f.options.Proxy, agree.Message{Propose: &agree.Change{
		Kind: "propose", ID: f.newRequestID(), Text: f.fileText, By: f.options.Proxy, Why: "the file of the one that led first", At: time.Now(),
	}}))
}

// Rollback proposes an earlier version's text. Besides those of Propose its error is *NoVersionError.
func (f *Fleet) Rollback(ctx context.Context, number uint64, by string) (agree.Result, error) {
	version, exists := f.Status().State.Get(number)
	if !exists || version.Text == "" {
		return agree.Result{}, &NoVersionError{number}
	}
	return f.Propose(ctx, version.Text, by, fmt.Sprintf("back to version %d", number), BaseNewest)
}

// ChangeKeeper adds a proxy to the consensus members, or removes it. Its errors are those of Propose.
func (f *Fleet) ChangeKeeper(ctx context.Context, name string, add bool) (agree.Result, error) {
	return f.askLeader(ctx, func(id string) agree.Message {
		return agree.Message{Seat: &agree.SeatAsk{ID: id, Name: name, Add: add}}
	})
}

// NewestVersion asks the leader for the newest version's number, after a majority has confirmed that it leads. Its
// error is *NoLeaderError.
func (f *Fleet) NewestVersion(ctx context.Context) (agree.Result, error) {
	return f.askLeader(ctx, func(id string) agree.Message {
		return agree.Message{Propose: &agree.Change{Kind: "read", ID: id}}
	})
}

// LeaseHolders asks the leader which proxies may hold a lease, and on which state. Its error is *NoLeaderError.
func (f *Fleet) LeaseHolders(ctx context.Context) ([]agree.Holder, error) {
	result, err := f.askLeader(ctx, func(id string) agree.Message {
		return agree.Message{Propose: &agree.Change{Kind: "holders", ID: id}}
	})
	return result.Holders, err
}
