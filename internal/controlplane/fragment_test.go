package controlplane

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// largeMessage is a message of slightly more than size bytes.
func largeMessage(size int, fill byte) *api.ChainMessage {
	return &api.ChainMessage{ViewNumber: uint64(fill), Body: &api.ChainMessage_CatchUp{CatchUp: &api.CatchUp{
		Snapshot: &api.Snapshot{State: &api.State{Document: bytes.Repeat([]byte{fill}, size)}},
	}}}
}

// sendFragments sends a message in fragments until it is done, and returns the message that arrived and the number of
// calls. lost determines for each call whether its answer is lost, and whether the fragment arrives nevertheless.
func sendFragments(t *testing.T, out *fragmentedMessage, in *reassembler, lost func(call int) (noAnswer, arrives bool)) (*api.ChainMessage, int) {
	t.Helper()
	var arrived *api.ChainMessage
	for call := range 1000 {
		noAnswer, arrives := lost(call)
		var err error
		if !noAnswer || arrives {
			var message *api.ChainMessage
			message, err = in.onFragment(out.next())
			if message != nil {
				arrived = message
			}
		}
		if noAnswer {
			err = errNoAnswer
		}
		if out.onSent(err) {
			return arrived, call + 1
		}
	}
	t.Fatal("the message is not done after 1000 calls")
	return nil, 0
}

var errNoAnswer = errors.New("no answer")

func TestLargeMessageIsSentInFragments(t *testing.T) {
	peers := &PeerSender{incarnation: 7}
	for name, lost := range map[string]func(call int) (bool, bool){
		"nothing is lost":                  func(int) (bool, bool) { return false, false },
		"every second fragment is lost":    func(call int) (bool, bool) { return call%2 == 0, false },
		"every second answer is lost":      func(call int) (bool, bool) { return call%2 == 0, true },
		"the first three answers are lost": func(call int) (bool, bool) { return call < 3, true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, size := range []int{maxFragmentBytes, 3*maxFragmentBytes - 100, 10 * maxFragmentBytes} {
				message := largeMessage(size, 3)
				got, calls := sendFragments(t, peers.split(message), newReassembler(), lost)
				is.True(proto.Equal(got, message))
				is.True(calls >= size/maxFragmentBytes)
			}
		})
	}
}

// A receiver that is restarted during a message rejects the remaining fragments, and the sender gives the message up.
func TestRestartedReceiverRejectsTheRest(t *testing.T) {
	is := is.New(t)
	out := (&PeerSender{incarnation: 7}).split(largeMessage(4*maxFragmentBytes, 1))
	before := newReassembler()
	_, err := before.onFragment(out.next())
	is.NoErr(err)
	is.Equal(out.onSent(err), false)
	_, err = newReassembler().onFragment(out.next())
	is.True(err != nil)
	is.True(out.onSent(err))
}

// Fragments of different messages or senders, or out of order, are never combined.
func TestFragmentsDoNotMix(t *testing.T) {
	is := is.New(t)
	in := newReassembler()
	first, second := &PeerSender{incarnation: 1}, &PeerSender{incarnation: 2}
	a, b := first.split(largeMessage(2*maxFragmentBytes, 1)), second.split(largeMessage(2*maxFragmentBytes, 2))
	for _, out := range []*fragmentedMessage{a, b, b, a, a, b} { // three fragments each
		message, err := in.onFragment(out.next())
		is.NoErr(err)
		if out.onSent(err) {
			is.Equal(message.ViewNumber, uint64(message.GetCatchUp().Snapshot.State.Document[0]))
		}
	}
	is.Equal(len(in.partial), 0)

	// A newer message from the same sender replaces the older one.
	old, newer := first.split(largeMessage(2*maxFragmentBytes, 1)), first.split(largeMessage(2*maxFragmentBytes, 4))
	_, err := in.onFragment(old.next())
	is.NoErr(err)
	is.Equal(old.onSent(err), false)
	_, err = in.onFragment(newer.next())
	is.NoErr(err)
	is.Equal(newer.onSent(err), false)
	_, err = in.onFragment(old.next()) // its offset would fit the newer message
	is.True(err != nil)
	got, _ := sendFragments(t, newer, in, func(int) (bool, bool) { return false, false })
	is.Equal(got.ViewNumber, uint64(4))
	_, err = in.onFragment(old.next())
	is.True(err != nil)
}

func TestFragmentsAreBounded(t *testing.T) {
	is := is.New(t)
	in := newReassembler()
	for _, wrong := range []*api.Fragment{
		{SenderIncarnation: 1, Message: 1, Total: maxFragmentedBytes + 1, Data: []byte{1}},
		{SenderIncarnation: 1, Message: 1, Total: 1, Data: []byte{1, 2}},
		{SenderIncarnation: 1, Message: 1, Total: 4},
		{SenderIncarnation: 1, Message: 1, Total: 1, Data: []byte{0xff}}, // can't be decoded
	} {
		_, err := in.onFragment(wrong)
		var rejection twirp.Error
		is.True(errors.As(err, &rejection))
		is.Equal(rejection.Code(), twirp.InvalidArgument)
	}
	for sender := range uint64(3 * maxSenders) {
		_, err := in.onFragment(&api.Fragment{SenderIncarnation: sender, Message: 1, Total: 2, Data: []byte{1}})
		is.NoErr(err)
	}
	is.Equal(len(in.partial), maxSenders)
}
