package api

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"marlreel/internal/testing/recorded"
)

// writeCompatibility is the environment variable that makes TestCompatibilityOfMessages write
// the sample messages. The files under testdata/compatibility were written by the code of
// commit 6fb9894, with WRITE_COMPATIBILITY=1, and hold what processes of that version send. Never
// regenerate them to make a test pass: a difference means that the two versions are incompatible.
const writeCompatibility = "WRITE_COMPATIBILITY"

// schema numbers the messages of a .proto file in the order in which they are reached from the
// methods of its services. The numbers stand in for the names of messages and fields, which are
// not on the wire and may change.
type schema struct {
	index    map[protoreflect.FullName]int
	messages []protoreflect.MessageDescriptor
	// firstUses holds, for each of messages, the place where it is first reached.
	firstUses []string
}

func (s *schema) visit(message protoreflect.MessageDescriptor, firstUse string) {
	if _, seen := s.index[message.FullName()]; seen {
		return
	}
	s.index[message.FullName()] = len(s.messages)
	s.messages = append(s.messages, message)
	s.firstUses = append(s.firstUses, firstUse)
	for _, field := range fieldsByNumber(message) {
		if field.Message() != nil {
			s.visit(field.Message(), fmt.Sprintf("%s.%d", firstUse, field.Number()))
		}
	}
}

func fieldsByNumber(message protoreflect.MessageDescriptor) []protoreflect.FieldDescriptor {
	var fields []protoreflect.FieldDescriptor
	for i := range message.Fields().Len() {
		fields = append(fields, message.Fields().Get(i))
	}
	slices.SortFunc(fields, func(a, b protoreflect.FieldDescriptor) int { return int(a.Number() - b.Number()) })
	return fields
}

func methodPath(method protoreflect.MethodDescriptor) string {
	return fmt.Sprintf("/twirp/%s/%s", method.Parent().FullName(), method.Name())
}

func methods(file protoreflect.FileDescriptor) []protoreflect.MethodDescriptor {
	var all []protoreflect.MethodDescriptor
	services := file.Services()
	for i := range services.Len() {
		for j := range services.Get(i).Methods().Len() {
			all = append(all, services.Get(i).Methods().Get(j))
		}
	}
	slices.SortFunc(all, func(a, b protoreflect.MethodDescriptor) int {
		return strings.Compare(methodPath(a), methodPath(b))
	})
	return all
}

func newSchema(file protoreflect.FileDescriptor) *schema {
	s := &schema{index: map[protoreflect.FullName]int{}}
	for _, method := range methods(file) {
		s.visit(method.Input(), methodPath(method)+" request")
		s.visit(method.Output(), methodPath(method)+" reply")
	}
	messages := file.Messages()
	for i := range messages.Len() {
		s.visit(messages.Get(i), "no service")
	}
	return s
}

func (s *schema) describeField(field protoreflect.FieldDescriptor) string {
	kind := field.Kind().String()
	if field.Message() != nil {
		kind = fmt.Sprintf("message %d", s.index[field.Message().FullName()])
	}
	text := fmt.Sprintf("  %d %s %s", field.Number(), field.Cardinality(), kind)
	if field.IsMap() {
		text += " map"
	}
	if field.IsPacked() {
		text += " packed"
	}
	if field.HasOptionalKeyword() {
		text += " presence"
	} else if oneof := field.ContainingOneof(); oneof != nil {
		text += fmt.Sprintf(" oneof %d", oneof.Index())
	}
	return text
}

func TestCompatibilityOfSchema(t *testing.T) {
	recorded.Check(t, "schema.txt", describeSchema(File_system_proto))
	recorded.Check(t, "schema-tenantquota.txt", describeSchema(File_tenantquota_proto))
}

// describeSchema returns a text form of all that affects the wire format of a file's services and
// messages.
func describeSchema(file protoreflect.FileDescriptor) string {
	s := newSchema(file)
	var out strings.Builder
	for _, method := range methods(file) {
		fmt.Fprintf(&out, "%s: message %d -> message %d, streams %t %t\n", methodPath(method),
			s.index[method.Input().FullName()], s.index[method.Output().FullName()],
			method.IsStreamingClient(), method.IsStreamingServer())
	}
	for i, message := range s.messages {
		fmt.Fprintf(&out, "message %d: %s\n", i, s.firstUses[i])
		for _, field := range fieldsByNumber(message) {
			fmt.Fprintln(&out, s.describeField(field))
		}
		for j := range message.ReservedRanges().Len() {
			fmt.Fprintf(&out, "  reserved %v\n", message.ReservedRanges().Get(j))
		}
	}
	enums := file.Enums()
	for i := range enums.Len() {
		fmt.Fprintf(&out, "enum %d\n", i)
		for j := range enums.Get(i).Values().Len() {
			fmt.Fprintf(&out, "  %d\n", enums.Get(i).Values().Get(j).Number())
		}
	}
	return out.String()
}

// sampler fills messages with sample values. All values but booleans are distinct, so that swapped
// fields are noticed.
type sampler struct{ last uint64 }

func (s *sampler) next() uint64 {
	s.last++
	return s.last
}

// fill sets all fields of a message. Of a oneof it sets the field with the number oneofField, or the
// first one if that is 0.
func (s *sampler) fill(message protoreflect.Message, oneofField protoreflect.FieldNumber) {
	for _, field := range fieldsByNumber(message.Descriptor()) {
		oneof := field.ContainingOneof()
		if oneof != nil && !oneof.IsSynthetic() {
			chosen := oneofField
			if chosen == 0 {
				chosen = oneof.Fields().Get(0).Number()
			}
			if field.Number() != chosen {
				continue
			}
		}
		if field.IsList() {
			list := message.Mutable(field).List()
			for range 2 {
				list.Append(s.value(field, list.NewElement))
			}
			continue
		}
		message.Set(field, s.value(field, func() protoreflect.Value { return message.NewField(field) }))
	}
}

func (s *sampler) value(field protoreflect.FieldDescriptor, newValue func() protoreflect.Value) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.MessageKind:
		value := newValue()
		s.fill(value.Message(), 0)
		return value
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text %d", s.next()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "bytes %d", s.next()))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(70000 + s.next()))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(1<<40 + s.next())
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(s.next()) + 0.5)
	}
	panic("no sample value for a field of kind " + field.Kind().String())
}

// describeContent returns a text form of a message's content. Fields are given by their numbers.
func describeContent(message protoreflect.Message, indent string) string {
	var out strings.Builder
	for _, field := range fieldsByNumber(message.Descriptor()) {
		if !message.Has(field) {
			continue
		}
		values := []protoreflect.Value{message.Get(field)}
		if field.IsList() {
			list := values[0].List()
			values = nil
			for i := range list.Len() {
				values = append(values, list.Get(i))
			}
		}
		for _, value := range values {
			if field.Message() != nil {
				fmt.Fprintf(&out, "%s%d:\n%s", indent, field.Number(), describeContent(value.Message(), indent+"  "))
				continue
			}
			if field.Kind() == protoreflect.BytesKind {
				fmt.Fprintf(&out, "%s%d: %q\n", indent, field.Number(), value.Bytes())
				continue
			}
			fmt.Fprintf(&out, "%s%d: %v\n", indent, field.Number(), value.Interface())
		}
	}
	if unknown := message.GetUnknown(); len(unknown) > 0 {
		fmt.Fprintf(&out, "%sunknown: %x\n", indent, []byte(unknown))
	}
	return out.String()
}

// sample describes one recorded message. All of its fields are set, but only one field of a oneof.
type sample struct {
	name       string
	descriptor protoreflect.MessageDescriptor
	oneofField protoreflect.FieldNumber
}

// samples returns one sample for each message without a oneof, and otherwise one for each field of
// the oneof.
func (s *schema) samples() []sample {
	var all []sample
	for i, message := range s.messages {
		name := fmt.Sprintf("message-%02d", i)
		noOneof := true
		for _, field := range fieldsByNumber(message) {
			if oneof := field.ContainingOneof(); oneof != nil && !oneof.IsSynthetic() {
				noOneof = false
				all = append(all, sample{fmt.Sprintf("%s-case-%d", name, field.Number()), message, field.Number()})
			}
		}
		if noOneof {
			all = append(all, sample{name, message, 0})
		}
	}
	return all
}

// TestCompatibilityOfMessages decodes bytes recorded from the earlier version into the generated
// types that the program uses. The decoded content must be the recorded one, and encoding it again
// must give the same bytes.
func TestCompatibilityOfMessages(t *testing.T) {
	for i, sample := range newSchema(File_system_proto).samples() {
		t.Run(sample.name, func(t *testing.T) {
			bytesFile := filepath.Join("testdata", "compatibility", "messages", sample.name+".hex")
			if os.Getenv(writeCompatibility) != "" {
				writeSample(t, bytesFile, sample, uint64(100*i))
			}
			text, err := os.ReadFile(bytesFile)
			if err != nil {
				t.Fatal(err)
			}
			recordedBytes, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
			if err != nil {
				t.Fatal(err)
			}
			message := newGeneratedMessage(t, sample.descriptor)
			if err := proto.Unmarshal(recordedBytes, message); err != nil {
				t.Fatal(err)
			}
			recorded.Check(t, filepath.Join("messages", sample.name+".txt"), describeContent(message.ProtoReflect(), ""))
			encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encoded, recordedBytes) {
				t.Errorf("encoding the decoded message again gives different bytes:\n got %x\nwant %x", encoded, recordedBytes)
			}
		})
	}
	recordedFiles, err := filepath.Glob("testdata/compatibility/messages/*.hex")
	if err != nil {
		t.Fatal(err)
	}
	if want := len(newSchema(File_system_proto).samples()); len(recordedFiles) != want {
		t.Errorf("found %d .hex files in testdata/compatibility/messages, want one for each of %d samples", len(recordedFiles), want)
	}
}

// newGeneratedMessage returns an empty message of the type that protoc-gen-go generated.
func newGeneratedMessage(t *testing.T, descriptor protoreflect.MessageDescriptor) proto.Message {
	t.Helper()
	messages := File_system_proto.Messages()
	for i := range messages.Len() {
		if messages.Get(i).FullName() == descriptor.FullName() {
			return file_system_proto_msgTypes[i].New().Interface()
		}
	}
	t.Fatalf("system.proto has no top-level message %s", descriptor.FullName())
	return nil
}

func writeSample(t *testing.T, path string, sample sample, seed uint64) {
	t.Helper()
	message := dynamicpb.NewMessage(sample.descriptor)
	(&sampler{last: seed}).fill(message, sample.oneofField)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	var lines strings.Builder
	for part := range slices.Chunk(data, 48) {
		fmt.Fprintf(&lines, "%x\n", part)
	}
	if err := os.WriteFile(path, []byte(lines.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestCompatibilityOfPaths checks that each method is still served under its recorded path. The
// request body is malformed, so the method's own decoder rejects it and the implementation, which
// is nil here, is never called. A path that is not served gives a different error.
func TestCompatibilityOfPaths(t *testing.T) {
	servers := []interface {
		http.Handler
		PathPrefix() string
	}{NewChainPeerServer(nil), NewControlServer(nil), NewAgentServer(nil)}
	const malformed = `{"code":"malformed","msg":"the protobuf request could not be decoded"}`
	for _, path := range []string{
		"/twirp/marlreel.system.ChainPeer/Deliver",
		"/twirp/marlreel.system.Control/Submit",
		"/twirp/marlreel.system.Control/Read",
		"/twirp/marlreel.system.Control/Share",
		"/twirp/marlreel.system.Control/Watch",
		"/twirp/marlreel.system.Control/Renew",
		"/twirp/marlreel.system.Control/Lease",
		"/twirp/marlreel.system.Control/Observe",
		"/twirp/marlreel.system.Agent/Watch",
		"/twirp/marlreel.system.Agent/ReportDemand",
		"/twirp/marlreel.system.Agent/PassDemand",
	} {
		t.Run(path, func(t *testing.T) {
			matching := 0
			for _, server := range servers {
				if !strings.HasPrefix(path, server.PathPrefix()) {
					continue
				}
				matching++
				request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("\xff"))
				request.Header.Set("Content-Type", "application/protobuf")
				reply := httptest.NewRecorder()
				server.ServeHTTP(reply, request)
				if reply.Code != http.StatusBadRequest || reply.Body.String() != malformed {
					t.Errorf("malformed body: got status %d and body %s, want status 400 and a \"malformed\" error", reply.Code, reply.Body)
				}
			}
			if matching != 1 {
				t.Errorf("%d servers have a path prefix that matches, want 1", matching)
			}
		})
	}
}
