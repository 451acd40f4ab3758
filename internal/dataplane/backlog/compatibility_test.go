package backlog

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with
// WRITE_COMPATIBILITY=1. They record formats that other processes, backends and operators rely on.
// They must not be regenerated to make a test pass.

// Messages identify backends by a hash of their ids and list them in the order of the hashes.
func TestCompatibilityOfMessages(t *testing.T) {
	work := Work{}
	for i, id := range []string{"i-7f3a91c2", "i-1", "i-2", ""} {
		work[Key(id)] = uint32(10 * (i + 1))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(ToProto("llm", work))
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "message.hex", hex.EncodeToString(data)+"\n")
}

// A recorded message is decoded to the work of the same backends. Backends that are not in it have no work.
func TestCompatibilityOfReading(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "compatibility", "message.hex"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	message := new(api.Backlog)
	if err := proto.Unmarshal(data, message); err != nil {
		t.Fatal(err)
	}
	work := FromProto(message)
	var out strings.Builder
	for _, id := range []string{"i-7f3a91c2", "i-1", "i-2", "", "i-unknown"} {
		fmt.Fprintf(&out, "%q key %d work %d\n", id, Key(id), work[Key(id)])
	}
	recorded.Check(t, "work.txt", out.String())
}
