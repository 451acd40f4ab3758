package agree

import (
	"encoding/json"
	"fmt"
	"time"
)

// Form is the version of the message format. Decode rejects messages with another one.
const Form = 1

// MostMessage is the maximum length of a message in bytes: enough for a whole state with the overhead of JSON.
const MostMessage = 4 << 20

// Message is a message between members and keepers. One of its parts is set.
type Message struct {
	Form    int      `json:"f"`
	Raft    []byte   `json:"raft,omitempty"`    // a raft message between keepers
	Renew   *Renew   `json:"renew,omitempty"`   // from a member to the leader
	Grant   *Grant   `json:"grant,omitempty"`   // the answer to Renew
	Propose *Change  `json:"propose,omitempty"` // to the leader
	Result  *Result  `json:"result,omitempty"`  // the answer to Propose or Seat
	Hello   *Hello   `json:"hello,omitempty"`   // describes a keeper's disk
	Known   *Known   `json:"known,omitempty"`   // the answer to Hello
	Check   *Check   `json:"check,omitempty"`   // from the leader to the other keepers
	Checked *Checked `json:"checked,omitempty"` // the answer to Check
	Nudge   uint64   `json:"nudge,omitempty"`   // the Seq of a newer state, from the leader
	Seat    *SeatAsk `json:"seat,omitempty"`    // to the leader: an operator adds or removes a keeper
	Invite  bool     `json:"invite,omitempty"`  // asks a keeper with an empty disk for its Hello
	Names   *Names   `json:"names,omitempty"`   // asks for a proxy's ready backends, or answers
}

// Names asks a proxy which backends are ready in its list, or is the answer.
type Names struct {
	ID       string   `json:"id"`
	Ask      bool     `json:"ask,omitempty"`
	Source   string   `json:"source,omitempty"`
	Revision int64    `json:"revision,omitempty"`
	Ready    []string `json:"ready,omitempty"`
}

// Renew asks for a lease.
type Renew struct {
	N    uint64 `json:"n"`    // number of the request: increases within a process
	Boot uint64 `json:"boot"` // of the asking process
	Born uint64 `json:"born"` // founding that the known state belongs to
	Have uint64 `json:"have"` // Seq of the newest state known to the member
	Held uint64 `json:"held"` // Seq of the state in force at the member
	List Lists  `json:"list"`
	// Within is the member's agree-within. A member whose value differs from the keeper's gets no lease.
	Within time.Duration `json:"within"`
}

// Lists describes the backend list that a member uses.
type Lists struct {
	Source   string `json:"source,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Count    int    `json:"count,omitempty"`
	Hash     uint64 `json:"hash,omitempty"` // of the names of the ready backends
}

// Grant is a lease, or says where to ask for one.
type Grant struct {
	N      uint64 `json:"n"`
	Boot   uint64 `json:"boot"`
	Seq    uint64 `json:"seq"`              // of the state that the lease is on
	State  *State `json:"state,omitempty"`  // set if the member knows another one
	Leader string `json:"leader,omitempty"` // if set, the leader to ask; no lease is granted
}

// Hello describes a keeper's disk.
type Hello struct {
	Name  string `json:"name"`
	ID    uint64 `json:"id"`
	Life  uint64 `json:"life"`
	Boot  uint64 `json:"boot"` // of the process
	Term  uint64 `json:"term"`
	Last  uint64 `json:"last"`  // index of the last log entry
	Empty bool   `json:"empty"` // the disk has no log
}

// Known answers a Hello.
type Known struct {
	To    uint64 `json:"to"`            // the identity in the Hello
	Life  uint64 `json:"life"`          // the life in the Hello
	Old   string `json:"old,omitempty"` // why the disk is outdated; "" if it is not known to be
	ID    uint64 `json:"id"`            // of the sender; 0 if it is no keeper
	Empty bool   `json:"empty"`         // the sender is a keeper whose disk is empty
	Begun bool   `json:"begun"`         // the sender's log belongs to a founded fleet
}

// Check asks a keeper to validate proposed settings.
type Check struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// Checked is the answer to a Check. Bad says why the settings are invalid.
type Checked struct {
	ID  string `json:"id"`
	Bad string `json:"bad,omitempty"`
}

// SeatAsk asks the leader to add or remove a keeper.
type SeatAsk struct {
	ID   string `json:"id"` // repeated in the Result
	Name string `json:"name"`
	Add  bool   `json:"add"`
}

// Encode encodes a message.
func Encode(m Message) []byte {
	m.Form = Form
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // all fields of Message can be encoded
	}
	return text
}

// Decode decodes a message. It fails with a *FormError.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > MostMessage {
		return m, &FormError{Reason: fmt.Sprintf("%d bytes, %d at most", len(data), MostMessage)}
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, &FormError{Reason: err.Error()}
	}
	if m.Form != Form {
		return m, &FormError{Form: m.Form, Reason: fmt.Sprintf("form %d, this program speaks %d", m.Form, Form)}
	}
	return m, nil
}

// FormError is a fleet message that can't be decoded.
type FormError struct {
	Form   int
	Reason string
}

// Error implements error.
func (e *FormError) Error() string { return "can't decode a fleet message: " + e.Reason }

// Advice says what an operator can do.
func (e *FormError) Advice() string {
	return "run the same release on all proxies of the fleet, and let no other program send to fleet.listen"
}

// Action is something that a Keeper or Member asks its host to do. Actions have to be executed in order.
type Action interface{ isAction() }

// Send sends a message to a proxy by its name, which may be this proxy's own.
type Send struct {
	To  string
	Msg Message
}

// Say writes a log line.
type Say struct {
	Event string // stable, for searches and alerts
	Text  string
}

// Adopt asks the host to put a state in force and then to call Member.InForce.
type Adopt struct{ State *State }

func (Send) isAction()  {}
func (Say) isAction()   {}
func (Adopt) isAction() {}
