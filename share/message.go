package share

import (
	"encoding/json"
	"time"
)

// Message is what holders say to each other: [EpochReport], [VoteRequest], [Vote],
// [LoanRequest], [LoanResponse] or [LoanRecall]. Messages may be lost, repeated, late and out of order.
type Message interface{ message() }

// Envelope is a message and the host that it goes to.
type Envelope struct {
	To      string
	Message Message
}

// UnknownAge stands for an age that is not known.
const UnknownAge time.Duration = -1

// Heartbeat exchanges what two hosts know of the newest epoch.
type EpochReport struct {
	From ProcessID `json:"from"`
	// Timestamp is the sender's clock; Echo is the receiver's, as last received.
	Timestamp       time.Duration `json:"stamp"`
	EchoedTimestamp time.Duration `json:"echo"`
	// EchoedIncarnation is the process that Echo belongs to.
	EchoedIncarnation uint64 `json:"echo-of"`
	Epoch             Epoch  `json:"epoch"`
	// SupportsEpoch says that the sender holds the epoch and promised no successor.
	SupportsEpoch bool `json:"pledge"`
	// ConfirmationAge is how long ago the epoch is known to have been the newest.
	ConfirmationAge time.Duration `json:"age"`
	// WantsReply asks for an answer at once.
	WantsReply bool `json:"reply,omitempty"`
	// SupporterIndexes lists the holders of whose pledges the sender knows, and Ages how
	// old these are in units of 0.1 s, if it can't read the store.
	SupporterIndexes []int  `json:"places,omitempty"`
	SupportAges      []byte `json:"ages,omitempty"`
	// Delta is sent to a host that is one epoch behind, and Allocation to one
	// that is further behind.
	Delta      *AllocationDelta `json:"change,omitempty"`
	Allocation *Allocation      `json:"allocation,omitempty"`
}

// ageUnit is the unit of Beat.Ages.
const ageUnit = 100 * time.Millisecond

// VoteRequest asks a holder to confirm the epoch before no more, so that a
// successor can be written.
type VoteRequest struct {
	From ProcessID `json:"from"`
	// To is the holder asked; a successor process may answer for it.
	To             ProcessID `json:"to"`
	Epoch          Epoch     `json:"epoch"`
	ProposalNumber uint64    `json:"proposal"`
	// Withdrawn says that this proposal was not and will not be written.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Vote answers a proposal.
type Vote struct {
	// Voter is the holder whose consent this is.
	Voter          ProcessID `json:"for"`
	Proposer       ProcessID `json:"to"`
	Epoch          Epoch     `json:"epoch"`
	ProposalNumber uint64    `json:"proposal"`
}

// LoanRequest asks for loans, renews them and hands parts back.
type LoanRequest struct {
	From  ProcessID         `json:"from"`
	To    ProcessID         `json:"to"`
	Items []LoanRequestItem `json:"items"`
}

// LoanRequestItem is the wish for a part of one limit.
type LoanRequestItem struct {
	Limit string `json:"limit"`
	// Sequence grows with each ask of this process to this lender; only the answer to the
	// newest is taken.
	Sequence uint64 `json:"seq"`
	// Held is the part of the limit that the borrower keeps until the answer.
	Held   float64 `json:"hold"`
	Wanted float64 `json:"want"`
}

// LoanResponse answers an ask.
type LoanResponse struct {
	From  ProcessID          `json:"from"`
	To    ProcessID          `json:"to"`
	Items []LoanResponseItem `json:"items"`
}

// LoanResponseItem is the part of one limit that is lent.
type LoanResponseItem struct {
	Limit    string `json:"limit"`
	Sequence uint64 `json:"seq"`
	// Share replaces what the borrower held of this lender.
	Share float64 `json:"part"`
	// Tokens come with the growth of the part.
	Tokens float64 `json:"tokens"`
	// Duration counts from the sending of the ask.
	Duration time.Duration `json:"duration"`
}

// LoanRecall tells a borrower that others need what it holds.
type LoanRecall struct {
	From   ProcessID `json:"from"`
	To     ProcessID `json:"to"`
	Limits []string  `json:"limits"`
}

func (LoanRecall) message()   {}
func (EpochReport) message()  {}
func (VoteRequest) message()  {}
func (Vote) message()         {}
func (LoanRequest) message()  {}
func (LoanResponse) message() {}

type frame struct {
	To   string          `json:"to"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

func kindOf(message Message) string {
	switch message.(type) {
	case EpochReport:
		return "beat"
	case VoteRequest:
		return "propose"
	case Vote:
		return "consent"
	case LoanRequest:
		return "ask"
	case LoanResponse:
		return "lend"
	case LoanRecall:
		return "recall"
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
		return decodeBody[EpochReport](f.Body)
	case "propose":
		return decodeBody[VoteRequest](f.Body)
	case "consent":
		return decodeBody[Vote](f.Body)
	case "ask":
		return decodeBody[LoanRequest](f.Body)
	case "lend":
		return decodeBody[LoanResponse](f.Body)
	case "recall":
		return decodeBody[LoanRecall](f.Body)
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
