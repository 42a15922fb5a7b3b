package share

import (
	"encoding/json"
	"time"
)

// Message is what holders say to each other: [Beat], [Propose], [Consent],
// [Ask] or [Lend]. Messages may be lost, repeated, late and out of order.
type Message interface{ message() }

// Envelope is a message and the host that it goes to.
type Envelope struct {
	To      string
	Message Message
}

// NoAge stands for an age that is not known.
const NoAge time.Duration = -1

// Beat exchanges what two hosts know of the newest epoch.
type Beat struct {
	From Identity `json:"from"`
	// Stamp is the sender's clock; Echo is the receiver's, as last received.
	Stamp time.Duration `json:"stamp"`
	Echo  time.Duration `json:"echo"`
	// EchoOf is the process that Echo belongs to.
	EchoOf uint64 `json:"echo-of"`
	Epoch  Epoch  `json:"epoch"`
	// Pledge says that the sender holds the epoch and promised no successor.
	Pledge bool `json:"pledge"`
	// Age is how long ago the epoch is known to have been the newest.
	Age time.Duration `json:"age"`
	// Reply asks for an answer at once.
	Reply bool `json:"reply,omitempty"`
	// Places lists the holders of whose pledges the sender knows, and Ages how
	// old these are in units of 0.1 s, if it can't read the store.
	Places []int  `json:"places,omitempty"`
	Ages   []byte `json:"ages,omitempty"`
	// Change is sent to a host that is one epoch behind, and Allocation to one
	// that is further behind.
	Change     *Change     `json:"change,omitempty"`
	Allocation *Allocation `json:"allocation,omitempty"`
}

// ageUnit is the unit of Beat.Ages.
const ageUnit = 100 * time.Millisecond

// Propose asks a holder to confirm the epoch before no more, so that a
// successor can be written.
type Propose struct {
	From Identity `json:"from"`
	// To is the holder asked; a successor process may answer for it.
	To       Identity `json:"to"`
	Epoch    Epoch    `json:"epoch"`
	Proposal uint64   `json:"proposal"`
	// Withdrawn says that this proposal was not and will not be written.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Consent answers a proposal.
type Consent struct {
	// For is the holder whose consent this is.
	For      Identity `json:"for"`
	To       Identity `json:"to"`
	Epoch    Epoch    `json:"epoch"`
	Proposal uint64   `json:"proposal"`
}

// Ask asks for loans, renews them and hands parts back.
type Ask struct {
	From  Identity  `json:"from"`
	To    Identity  `json:"to"`
	Items []AskItem `json:"items"`
}

// AskItem is the wish for a part of one limit.
type AskItem struct {
	Limit string `json:"limit"`
	// Sequence grows with each ask of this process to this lender; only the answer to the
	// newest is taken.
	Sequence uint64 `json:"seq"`
	// Hold is the part of the limit that the borrower keeps until the answer.
	Hold float64 `json:"hold"`
	Want float64 `json:"want"`
}

// Lend answers an ask.
type Lend struct {
	From  Identity   `json:"from"`
	To    Identity   `json:"to"`
	Items []LendItem `json:"items"`
}

// LendItem is the part of one limit that is lent.
type LendItem struct {
	Limit    string `json:"limit"`
	Sequence uint64 `json:"seq"`
	// Part replaces what the borrower held of this lender.
	Part float64 `json:"part"`
	// Tokens come with the growth of the part.
	Tokens float64 `json:"tokens"`
	// Duration counts from the sending of the ask.
	Duration time.Duration `json:"duration"`
}

func (Beat) message()    {}
func (Propose) message() {}
func (Consent) message() {}
func (Ask) message()     {}
func (Lend) message()    {}

type frame struct {
	To   string          `json:"to"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

func kindOf(message Message) string {
	switch message.(type) {
	case Beat:
		return "beat"
	case Propose:
		return "propose"
	case Consent:
		return "consent"
	case Ask:
		return "ask"
	case Lend:
		return "lend"
	default:
		return ""
	}
}

// MarshalJSON writes the envelope with the kind of its message.
func (e Envelope) MarshalJSON() ([]byte, error) {
	body, err := json.Marshal(e.Message)
	if err != nil {
		return nil, &EncodingError{
			Cause: err,
		}
	}
	return json.Marshal(frame{
		To:   e.To,
		Kind: kindOf(e.Message),
		Body: body,
	})
}

// UnmarshalJSON reads an envelope, or returns an [EncodingError] or a
// [MessageKindError].
func (e *Envelope) UnmarshalJSON(data []byte) error {
	var f frame
	if err := json.Unmarshal(data, &f); err != nil {
		return &EncodingError{
			Cause: err,
		}
	}
	message, err := decodeMessage(f)
	if err != nil {
		return err
	}
	e.To = f.To
	e.Message = message
	return nil
}

func decodeMessage(f frame) (Message, error) {
	switch f.Kind {
	case "beat":
		return decodeBody[Beat](f.Body)
	case "propose":
		return decodeBody[Propose](f.Body)
	case "consent":
		return decodeBody[Consent](f.Body)
	case "ask":
		return decodeBody[Ask](f.Body)
	case "lend":
		return decodeBody[Lend](f.Body)
	default:
		return nil, &MessageKindError{
			Kind: f.Kind,
		}
	}
}

func decodeBody[M Message](body json.RawMessage) (Message, error) {
	var m M
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, &EncodingError{
			Cause: err,
		}
	}
	return m, nil
}
