package control

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/system/api"
)

// Exchanges of operators, backends and peers with a control process are recorded with the tests of
// the simulated cluster (simcluster), where such a process runs as a whole.

// recordedMessage is a message of the chain as a process of commit 6fb9894 sends it, by numbers of
// fields: from, to, view, and an acknowledgement.
func recordedMessage() []byte {
	member := func(address string) []byte {
		data := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), address)
		return protowire.AppendVarint(protowire.AppendTag(data, 2, protowire.VarintType), 5)
	}
	acknowledge := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 41)
	data := protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), member("10.1.0.1:7660"))
	data = protowire.AppendBytes(protowire.AppendTag(data, 2, protowire.BytesType), member("10.1.0.2:7660"))
	data = protowire.AppendVarint(protowire.AppendTag(data, 3, protowire.VarintType), 3)
	return protowire.AppendBytes(protowire.AppendTag(data, 20, protowire.BytesType), acknowledge)
}

// A message in parts, as a process of the recorded version divides it, is put together again.
func TestCompatibilityOfFragments(t *testing.T) {
	data := recordedMessage()
	in := newIncoming()
	const size = 7
	var message *api.ChainMessage
	for offset := 0; offset < len(data); offset += size {
		got, err := in.take(&api.Fragment{
			Sender: 1, Message: 2, Offset: uint64(offset), Total: uint64(len(data)),
			Data: data[offset:min(offset+size, len(data))],
		})
		if err != nil {
			t.Fatal(err)
		}
		message = got
	}
	if message == nil {
		t.Fatal("the last part gives no message")
	}
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, data) {
		t.Errorf("put together as %x, not as %x", again, data)
	}
}

// A message is divided into parts of its bytes, in order.
func TestCompatibilityOfDividing(t *testing.T) {
	message := new(api.ChainMessage)
	if err := proto.Unmarshal(recordedMessage(), message); err != nil {
		t.Fatal(err)
	}
	out := (&Peers{life: 77}).divide(message)
	part := out.next()
	if part.Sender != 77 || part.Offset != 0 || part.Total != uint64(len(recordedMessage())) || !bytes.Equal(part.Data, recordedMessage()) {
		t.Errorf("divided as %v", part)
	}
}
