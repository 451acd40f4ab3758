package agree

import (
	"encoding/json"
	"fmt"
	"time"
)

// Form is the form of messages. One of another form is not read.
const Form = 1

// MostMessage bounds a message: all that is kept, and room for what JSON makes of it.
const MostMessage = 4 << 20

// Message is what members and keepers send one another. One of its parts is there.
type Message struct {
	Form    int      `json:"f"`
	Raft    []byte   `json:"raft,omitempty"`    // between keepers
	Renew   *Renew   `json:"renew,omitempty"`   // a member to the keeper that leads
	Grant   *Grant   `json:"grant,omitempty"`   // its answer
	Propose *Change  `json:"propose,omitempty"` // to the keeper that leads
	Result  *Result  `json:"result,omitempty"`  // its answer
	Hello   *Hello   `json:"hello,omitempty"`   // a keeper shows its disk
	Known   *Known   `json:"known,omitempty"`   // what the other has seen of it
	Check   *Check   `json:"check,omitempty"`   // the leader to the other keepers
	Checked *Checked `json:"checked,omitempty"`
	Nudge   uint64   `json:"nudge,omitempty"` // there is a newer state
	Seat    *SeatAsk `json:"seat,omitempty"`  // an operator's word on keepers, to the one that leads
	Invite  bool     `json:"invite,omitempty"`
	Names   *Names   `json:"names,omitempty"` // a question, or its answer, on lists
}

// Names asks a proxy which backends its list has as ready, or tells.
type Names struct {
	ID       string   `json:"id"`
	Ask      bool     `json:"ask,omitempty"`
	Source   string   `json:"source,omitempty"`
	Revision int64    `json:"revision,omitempty"`
	Ready    []string `json:"ready,omitempty"`
}

// Renew asks for a lease.
type Renew struct {
	N    uint64 `json:"n"`    // of this process, ever rising
	Boot uint64 `json:"boot"` // of this process
	Born uint64 `json:"born"`
	Have uint64 `json:"have"` // the state that it has heard
	Held uint64 `json:"held"` // the state that it goes by
	List Lists  `json:"list"`
	// Within is the asker's agree-within: whoever counts its lease by another gets none.
	Within time.Duration `json:"within"`
}

// Lists is which list a member goes by.
type Lists struct {
	Source   string `json:"source,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Count    int    `json:"count,omitempty"`
	Hash     uint64 `json:"hash,omitempty"` // of the names that are ready
}

// Grant is a lease, or where to ask.
type Grant struct {
	N      uint64 `json:"n"`
	Boot   uint64 `json:"boot"`
	Seq    uint64 `json:"seq"`              // of the state that the lease is on
	State  *State `json:"state,omitempty"`  // where the asker had another
	Leader string `json:"leader,omitempty"` // ask there: no lease
}

// Hello shows a keeper's disk.
type Hello struct {
	Name  string `json:"name"`
	ID    uint64 `json:"id"`
	Life  uint64 `json:"life"`
	Boot  uint64 `json:"boot"` // of the process
	Term  uint64 `json:"term"`
	Last  uint64 `json:"last"`
	Empty bool   `json:"empty"`
}

// Known answers a Hello.
type Known struct {
	To    uint64 `json:"to"`   // whose Hello: its identity
	Life  uint64 `json:"life"` // and life
	Old   string `json:"old,omitempty"`
	ID    uint64 `json:"id"`    // of the one who answers; 0: it is no keeper
	Empty bool   `json:"empty"` // it is a keeper whose disk is empty
	Begun bool   `json:"begun"` // the fleet has begun
}

// Check asks a keeper to check settings.
type Check struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// Checked is its answer.
type Checked struct {
	ID  string `json:"id"`
	Bad string `json:"bad,omitempty"`
}

// SeatAsk asks for a keeper to be taken in or let go.
type SeatAsk struct {
	ID   string `json:"id"` // for the answer
	Name string `json:"name"`
	Add  bool   `json:"add"`
}

// Encode gives a message's bytes.
func Encode(m Message) []byte {
	m.Form = Form
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // it has nothing that can't be written
	}
	return text
}

// Decode reads a message.
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

// FormError is a message that can't be read.
type FormError struct {
	Form   int
	Reason string
}

// Error implements error.
func (e *FormError) Error() string { return "a message of the fleet can't be read: " + e.Reason }

// Advice says what an operator can do.
func (e *FormError) Advice() string {
	return "run the same release on all proxies of the fleet, and let nothing else send to the fleet's port"
}

// Action is what a machine wants done, in order.
type Action interface{ isAction() }

// Send is a message to a process by its name; its own name is itself.
type Send struct {
	To  string
	Msg Message
}

// Say is a line for the log.
type Say struct {
	Event string // a stable name
	Text  string
}

// Adopt puts a state in force: the host does so, then tells Member.InForce.
type Adopt struct{ State *State }

func (Send) isAction()  {}
func (Say) isAction()   {}
func (Adopt) isAction() {}
