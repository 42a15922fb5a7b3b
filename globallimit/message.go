package globallimit

import (
	"encoding/json"
	"time"
)

// Message is a message between limiters: [EpochReport], [VoteRequest], [Vote],
// [LoanRequest], [LoanResponse] or [LoanRecall]. Limiters tolerate messages
// that are lost, duplicated, late or out of order.
type Message interface{ message() }

// Envelope is a message and the host that it is addressed to.
type Envelope struct {
	To      string
	Message Message
}

// UnknownAge is the age of a confirmation that the sender does not have.
const UnknownAge time.Duration = -1

// EpochReport tells another host what the sender knows about the newest epoch.
// A report that wants a reply asks the receiver to confirm the epoch. Reports
// are not used to detect failures.
type EpochReport struct {
	From ProcessID `json:"from"`
	// Timestamp is the sender's clock. EchoedTimestamp is the newest Timestamp
	// that the sender received from the receiver.
	Timestamp       time.Duration `json:"stamp"`
	EchoedTimestamp time.Duration `json:"echo"`
	// EchoedIncarnation is the process that sent EchoedTimestamp.
	EchoedIncarnation uint64 `json:"echo-of"`
	Epoch             Epoch  `json:"epoch"`
	// SupportsEpoch says that the sender is a member of the epoch and has not
	// voted for a successor.
	SupportsEpoch bool `json:"pledge"`
	// ConfirmationAge is the time since the epoch was last known to be the
	// newest, or UnknownAge.
	ConfirmationAge time.Duration `json:"age"`
	// WantsReply asks the receiver to respond at once.
	WantsReply bool `json:"reply,omitempty"`
	// SupporterIndexes lists the members that have told the sender that they
	// support the epoch, as indexes into Allocation.Members. SupportAges tells
	// how old that knowledge is, in units of 0.1 s. Both are set only in
	// replies between store readers, while the sender can't read the store.
	SupporterIndexes []int  `json:"places,omitempty"`
	SupportAges      []byte `json:"ages,omitempty"`
	// Delta is set for a receiver that is one epoch behind, Allocation for one
	// that is further behind.
	Delta      *AllocationDelta `json:"change,omitempty"`
	Allocation *Allocation      `json:"allocation,omitempty"`
}

// supportAgeUnit is the unit of EpochReport.SupportAges.
const supportAgeUnit = 100 * time.Millisecond

// VoteRequest asks a member to vote for a new epoch, that is, to stop
// supporting the current one so that the new one can be written.
type VoteRequest struct {
	From ProcessID `json:"from"`
	// To is the member asked. A later process of its host may respond in its
	// place.
	To             ProcessID `json:"to"`
	Epoch          Epoch     `json:"epoch"`
	ProposalNumber uint64    `json:"proposal"`
	// Withdrawn says that this proposal has not been written and never will be.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Vote is a vote for a proposed epoch. A vote ends the voter's support of the
// current epoch. Members may vote for several competing proposals; the
// conditional write to the store decides between them.
type Vote struct {
	// Voter is the member that votes.
	Voter          ProcessID `json:"for"`
	Proposer       ProcessID `json:"to"`
	Epoch          Epoch     `json:"epoch"`
	ProposalNumber uint64    `json:"proposal"`
}

// LoanRequest requests loans, renews them, returns shares and acknowledges
// reduced shares.
type LoanRequest struct {
	From  ProcessID         `json:"from"`
	To    ProcessID         `json:"to"`
	Items []LoanRequestItem `json:"items"`
}

// LoanRequestItem is the request for a share of one limit.
type LoanRequestItem struct {
	Limit string `json:"limit"`
	// Sequence grows with each request of this process. The borrower ignores
	// responses to any but its newest request to the lender.
	Sequence uint64 `json:"seq"`
	// Held is the share of the limit that the borrower keeps using until the
	// response. Wanted is the whole share that it wants from this lender,
	// including Held.
	Held   float64 `json:"hold"`
	Wanted float64 `json:"want"`
}

// LoanResponse responds to a loan request.
type LoanResponse struct {
	From  ProcessID          `json:"from"`
	To    ProcessID          `json:"to"`
	Items []LoanResponseItem `json:"items"`
}

// LoanResponseItem grants a share of one limit.
type LoanResponseItem struct {
	Limit    string `json:"limit"`
	Sequence uint64 `json:"seq"`
	// Share replaces the share that the borrower had from this lender.
	Share float64 `json:"part"`
	// Tokens is the number of tokens that move to the borrower with an increase
	// of the share.
	Tokens float64 `json:"tokens"`
	// Duration counts from the sending of the request.
	Duration time.Duration `json:"duration"`
}

// LoanRecall tells a borrower that other hosts need the shares that it
// borrowed.
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

type wireEnvelope struct {
	To   string          `json:"to"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

func messageKind(message Message) string {
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

// MarshalJSON encodes the envelope with the kind of its message.
func (e Envelope) MarshalJSON() ([]byte, error) {
	body, err := json.Marshal(e.Message)
	if err != nil {
		return nil, &EncodingError{
			Cause: err,
		}
	}
	return json.Marshal(wireEnvelope{
		To:   e.To,
		Kind: messageKind(e.Message),
		Body: body,
	})
}

// UnmarshalJSON decodes an envelope. The error is an [EncodingError] or a
// [MessageKindError].
func (e *Envelope) UnmarshalJSON(data []byte) error {
	var wire wireEnvelope
	if err := json.Unmarshal(data, &wire); err != nil {
		return &EncodingError{
			Cause: err,
		}
	}
	message, err := decodeMessage(wire)
	if err != nil {
		return err
	}
	e.To = wire.To
	e.Message = message
	return nil
}

func decodeMessage(wire wireEnvelope) (Message, error) {
	switch wire.Kind {
	case "beat":
		return decodeBody[EpochReport](wire.Body)
	case "propose":
		return decodeBody[VoteRequest](wire.Body)
	case "consent":
		return decodeBody[Vote](wire.Body)
	case "ask":
		return decodeBody[LoanRequest](wire.Body)
	case "lend":
		return decodeBody[LoanResponse](wire.Body)
	case "recall":
		return decodeBody[LoanRecall](wire.Body)
	default:
		return nil, &MessageKindError{
			Kind: wire.Kind,
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
