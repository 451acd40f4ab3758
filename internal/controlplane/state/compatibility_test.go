package state

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894. They represent the compacted
// states and logs on the disks of running systems. They must not be regenerated to make a test pass: if this test
// fails, the code can no longer read stored data, or replicas of different versions would reach different states.
//
//   - entries.pb is a log: api.Entry messages, each preceded by its length.
//   - state.pb is the api.State that results from the log.
//
// To write a missing file, run
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/controlplane/state
//
// Files that exist are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// storedDocument returns a configuration with one route, as it is in the stored log.
func storedDocument(version int, prefix string) string {
	return fmt.Sprintf(`{"config_version":%d,"route_list":[{"name":"r","host":"h.example","path_prefix":"/%s/","timeout_ms":9,"service":"s"}],`+
		`"service_list":[{"name":"s"}],"limits":{}}`, version, prefix)
}

// storedChange modifies the stored configuration: it adds a route and a service, and removes others.
const storedChange = `{"config_version":5,"upsert":{"route_list":[{"name":"r2","host":"h2.example","path_prefix":"/c/","timeout_ms":8,"service":"s2"}],` +
	`"service_list":[{"name":"s2"}]},"remove":{"route_list":["r"],"service_list":["s"]}}`

// storedOperations returns the operations of the stored log, by entry.
func storedOperations() [][]*api.Operation {
	nobody, second := uint64(0), uint64(2)
	grantIf := func(key, holder, address string, replaces *uint64) *api.Operation {
		return &api.Operation{Kind: &api.Operation_Grant{Grant: &api.GrantOwnership{Key: key, Holder: holder, Address: address, ReplacesFencingToken: replaces}}}
	}
	return [][]*api.Operation{
		{replace(0, []byte(storedDocument(3, "a")))},
		{replace(3, []byte(storedDocument(4, "b"))), modify(4, storedChange)},
		{evacuation("zone-a", true), evacuation("zone-b", true), evacuation("zone-c", true)},
		{evacuation("zone-b", false)},
		{retire("llm-1/5f"), retire("llm-2/60")},
		{grantIf("placement/llm", "node-1/0000beef", "10.0.0.1:7200", nil)},
		{grantIf("placement/img", "node-2/0000cafe", "10.0.0.2:7200", &nobody)},
		{grantIf("placement/img", "node-3/00000abc", "10.0.0.3:7200", &second)},
		// Rejected, because the lease has a newer fencing token by now.
		{grantIf("placement/img", "node-4/00000def", "10.0.0.4:7200", &second)},
	}
}

// storedState returns the state that results from the stored log.
func storedState() *api.State {
	return &api.State{
		Version:  5,
		Document: []byte(wantDocument),
		Digests: []*api.Digest{
			{Version: 3, Sum: mustHex("f1ad771e87920510d075d484a54e8aa5")},
			{Version: 4, Sum: mustHex("47197ecb5b6f4d099ddc8eaf6ebfc459")},
			{Version: 5, Sum: mustHex("2c21f91ce8811e2f24cd0c5061c15d25")},
		},
		Evacuations: []*api.Evacuation{{Zone: "zone-a"}, {Zone: "zone-c"}},
		Retired:     []*api.Retired{{Id: "llm-1/5f"}, {Id: "llm-2/60"}},
		Ownerships: []*api.Ownership{
			{Key: "placement/llm", Holder: "node-1/0000beef", Address: "10.0.0.1:7200", FencingToken: 1},
			{Key: "placement/img", Holder: "node-3/00000abc", Address: "10.0.0.3:7200", FencingToken: 3},
		},
		LastFencingToken: 3,
	}
}

// wantDocument is the configuration after the stored change.
const wantDocument = `{"config_version":5,"limits":{},"route_list":[{"name":"r2","host":"h2.example","path_prefix":"/c/","timeout_ms":8,"service":"s2"}],` +
	`"service_list":[{"name":"s2"}]}`

func mustHex(text string) []byte {
	data, err := hex.DecodeString(text)
	if err != nil {
		panic(err)
	}
	return data
}

// TestCompatibilityOfStoredState decodes a stored state, restores a machine from it, and encodes it again.
func TestCompatibilityOfStoredState(t *testing.T) {
	writeMissingFiles(t)
	data := readStored(t, "state.pb")
	stored := new(api.State)
	if err := proto.Unmarshal(data, stored); err != nil {
		t.Fatal(err)
	}
	compareState(t, stored, storedState())

	m := New()
	m.Restore(stored)
	compareState(t, m.State(), storedState())
	if again := encode(t, m.State()); !bytes.Equal(again, data) {
		t.Errorf("the state is encoded as\n%x\nand is stored as\n%x", again, data)
	}
	if m.Version() != 5 || m.Document() == nil {
		t.Errorf("version %d, document %v", m.Version(), m.Document())
	}
	if !m.IsEvacuated("zone-a") || m.IsEvacuated("zone-b") || !m.IsEvacuated("zone-c") {
		t.Errorf("the evacuated zones are %q", m.EvacuatedZones())
	}
	if !m.IsRetired("llm-1/5f") || !m.IsRetired("llm-2/60") || m.IsRetired("llm-3/61") {
		t.Error("the retired backends differ from the stored ones")
	}
	if o := m.Lease("placement/img"); o.GetHolder() != "node-3/00000abc" || o.GetAddress() != "10.0.0.3:7200" || o.GetFencingToken() != 3 {
		t.Errorf("the lease of placement/img is %v", o)
	}
}

// TestCompatibilityOfStoredDigests repeats changes that an earlier version has accepted. They must be acknowledged
// again.
func TestCompatibilityOfStoredDigests(t *testing.T) {
	writeMissingFiles(t)
	stored := new(api.State)
	if err := proto.Unmarshal(readStored(t, "state.pb"), stored); err != nil {
		t.Fatal(err)
	}
	for name, operation := range map[string]*api.Operation{
		"replace at the start": replace(0, []byte(storedDocument(3, "a"))),
		"replace":              replace(3, []byte(storedDocument(4, "b"))),
		"modify":               modify(4, storedChange),
		"retire":               retire("llm-1/5f"),
		"evacuate":             evacuation("zone-a", true),
		"end an evacuation":    evacuation("zone-b", false),
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			m.Restore(stored)
			changed, failure := m.Execute(operation)
			if changed || failure != nil {
				t.Errorf("changed is %t and the failure is %v; want no change and no failure", changed, failure)
			}
			compareState(t, m.State(), storedState())
		})
	}
}

// TestCompatibilityOfStoredLog applies a stored log. Replicas of all versions must reach the same state.
func TestCompatibilityOfStoredLog(t *testing.T) {
	writeMissingFiles(t)
	data := readStored(t, "entries.pb")
	m := New()
	operations := storedOperations()
	entries := 0
	for in := bytes.NewReader(data); in.Len() > 0; entries++ {
		entry := new(api.Entry)
		if err := protodelim.UnmarshalFrom(in, entry); err != nil {
			t.Fatal(err)
		}
		want := &api.Entry{Sequence: uint64(entries + 1), PreviousHash: uint64(100 + entries), Hash: uint64(101 + entries), Operations: operations[entries]}
		if !proto.Equal(entry, want) {
			t.Errorf("entry %d is\n%v\nwant\n%v", entries, entry, want)
		}
		m.Apply(entry)
	}
	if entries != len(operations) {
		t.Errorf("there are %d entries, want %d", entries, len(operations))
	}
	compareState(t, m.State(), storedState())
	if state := readStored(t, "state.pb"); !bytes.Equal(encode(t, m.State()), state) {
		t.Errorf("the state is encoded as\n%x\nand is stored as\n%x", encode(t, m.State()), state)
	}
	if again := encodeLog(t); !bytes.Equal(again, data) {
		t.Errorf("the log is encoded as\n%x\nand is stored as\n%x", again, data)
	}
}

// compareState compares two states field by field.
func compareState(t *testing.T, got, want *api.State) {
	t.Helper()
	if got.Version != want.Version {
		t.Errorf("Version is %d, want %d", got.Version, want.Version)
	}
	if !bytes.Equal(got.Document, want.Document) {
		t.Errorf("Document is\n%s\nwant\n%s", got.Document, want.Document)
	}
	compareMessages(t, "Digests", got.Digests, want.Digests)
	compareMessages(t, "Evacuations", got.Evacuations, want.Evacuations)
	compareMessages(t, "Retired", got.Retired, want.Retired)
	compareMessages(t, "Ownerships", got.Ownerships, want.Ownerships)
	if got.LastFencingToken != want.LastFencingToken {
		t.Errorf("LastFencingToken is %d, want %d", got.LastFencingToken, want.LastFencingToken)
	}
	if got.ForgottenVersion != want.ForgottenVersion {
		t.Errorf("ForgottenVersion is %d, want %d", got.ForgottenVersion, want.ForgottenVersion)
	}
	if !proto.Equal(got, want) {
		t.Errorf("the state is\n%v\nwant\n%v", got, want)
	}
}

func compareMessages[M proto.Message](t *testing.T, field string, got, want []M) {
	t.Helper()
	if !slices.EqualFunc(got, want, func(a, b M) bool { return proto.Equal(a, b) }) {
		t.Errorf("%s are\n%v\nwant\n%v", field, got, want)
	}
}

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(compatibilityFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func encode(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// encodeLog encodes the entries of the stored log. Their hashes are made up, since a machine doesn't check them.
func encodeLog(t *testing.T) []byte {
	t.Helper()
	var out bytes.Buffer
	for i, operations := range storedOperations() {
		entry := &api.Entry{Sequence: uint64(i + 1), PreviousHash: uint64(100 + i), Hash: uint64(101 + i), Operations: operations}
		if _, err := protodelim.MarshalTo(&out, entry); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// writeMissingFiles writes missing files if writeVariable is set.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	if os.Getenv(writeVariable) == "" {
		return
	}
	m := New()
	for _, operations := range storedOperations() {
		m.Apply(&api.Entry{Operations: operations})
	}
	if err := os.MkdirAll(compatibilityFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"entries.pb": encodeLog(t), "state.pb": encode(t, m.State())} {
		path := filepath.Join(compatibilityFolder, name)
		if _, err := os.Stat(path); err == nil {
			continue
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
