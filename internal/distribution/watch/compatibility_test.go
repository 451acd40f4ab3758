package watch

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// Topics are sent as text. The expected ones are those of commit 6fb9894.
func TestCompatibilityOfTopics(t *testing.T) {
	if TopicState != "state" || ServiceTopic("llm") != "service/llm" {
		t.Errorf("the topics are %q and %q, not those of the recorded version", TopicState, ServiceTopic("llm"))
	}
}

// A state that is too large for one reply is sent in parts, which concatenated in order are the encoded state. A
// subscriber of the recorded version requests the part that follows those it has.
func TestCompatibilityOfStateParts(t *testing.T) {
	document := `{"config_version":1,"remark":"` + strings.Repeat("x", 3*maxReplyStateBytes) + `"}`
	store := New("source", time.Now)
	store.InstallSnapshot(7, 99, &api.State{Version: 1, Document: []byte(document), LastFencingToken: 5})
	request := &api.WatchRequest{}
	var data []byte
	for {
		reply := store.HandleWatch(context.Background(), request, 0)
		part := reply.StatePart
		if part == nil || reply.State != nil || part.Sequence != 7 || part.Hash != 99 || part.Offset != uint64(len(data)) || len(part.Data) == 0 {
			t.Fatalf("the reply after %d bytes has no part that continues there", len(data))
		}
		data = append(data, part.Data...)
		if uint64(len(data)) == part.Total {
			break
		}
		request = &api.WatchRequest{Source: reply.Source, StatePart: &api.StatePart{Sequence: 7, Hash: 99, Offset: uint64(len(data)), Total: part.Total}}
	}
	want, err := proto.MarshalOptions{Deterministic: true}.Marshal(&api.State{Version: 1, Document: []byte(document), LastFencingToken: 5})
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(data, want) {
		t.Errorf("the parts are %d bytes that differ from the encoded state of %d bytes", len(data), len(want))
	}
}
