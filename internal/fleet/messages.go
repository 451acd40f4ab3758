package fleet

import (
	"fmt"
	"time"

	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/peers"
)

const eventNotJoined = "fleet-not-joined"

// join joins the peers. During an upgrade the previous process still has the port: until that process has ended, this one
// runs without a lease.
func (f *Fleet) join() {
	p, err := peers.Join(peers.Config{
		Fleet: f.options.Name, Name: f.options.Proxy, Listen: f.options.Listen, Peers: f.options.Peers, Key: f.key,
		Boot: f.cfg.Boot, Started: time.Now(), Receive: f.receive,
		Refused: func(err error) { f.post(func() { f.warn("fleet-refused", err) }) },
	})
	if err != nil {
		f.warnOnce(eventNotJoined, err)
		f.nextJoin = f.ticks + retryJoinTicks
		return
	}
	f.logged[eventNotJoined] = false
	f.peers = p
}

// receive handles a message from a peer, on any goroutine.
func (f *Fleet) receive(from string, data []byte) {
	message, err := agree.Decode(data)
	f.post(func() {
		if err != nil {
			f.warnOnce("fleet-form "+from, fmt.Errorf("from %s: %w", from, err))
			return
		}
		f.dispatch(from, message)
	})
}

func (f *Fleet) dispatch(from string, message agree.Message) {
	now := Now()
	switch {
	case message.Result != nil:
		f.completeRequest(*message.Result)
		return
	case message.Names != nil:
		f.handleReadyBackends(from, *message.Names)
		return
	case f.keeper != nil:
		f.execute(f.keeper.Receive(now, from, message))
	case message.Hello != nil: // this proxy is no consensus member and has seen nothing of the sender
		f.send(from, agree.Message{Known: &agree.Known{To: message.Hello.ID, Life: message.Hello.Life}})
	case message.Renew != nil:
		f.send(from, agree.Message{Grant: &agree.Grant{N: message.Renew.N, Boot: message.Renew.Boot}})
	}
	f.execute(f.member.Receive(now, from, message))
}

// send sends a message to a proxy, which may be this one. It may be lost.
func (f *Fleet) send(to string, message agree.Message) {
	if to == f.options.Proxy {
		message.Form = agree.Form
		select { // must not block, as this goroutine is the one that reads the events
		case f.events <- func() { f.dispatch(to, message) }:
		default:
		}
		return
	}
	if f.peers != nil && !f.peers.Taken() {
		f.peers.Send(to, agree.Encode(message))
	}
}

// sendToLeader sends a change to the consensus member that is known to lead, if any.
func (f *Fleet) sendToLeader(change *agree.Change) {
	if to := f.member.Target(); to != "" {
		f.send(to, agree.Message{Propose: change})
	}
}

// execute carries out the actions of a keeper or a member, in their order. An action that follows a save which failed
// must not happen.
func (f *Fleet) execute(actions []agree.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case agree.Send:
			f.send(action.To, action.Msg)
		case agree.Save:
			if err := f.disk.Save(action); err != nil {
				f.stopKeeper(err)
				return
			}
		case agree.Say:
			f.options.Log.Info(action.Text, "event", action.Event)
		case agree.Adopt:
			f.adopt(action.State)
		}
	}
	if f.applied != nil && f.applying == nil {
		f.extendLease()
	}
}
