package fleet

import (
	"encoding/json"
	"fmt"

	"trefoilline.example/trefoilline/objectstore"
)

// Message is a message between the nodes of two hosts.
type Message interface {
	// header returns the part that all messages have.
	header() *Header
}

// Envelope is a message with the host to send it to.
type Envelope struct {
	To      Host
	Message Message
}

// Header is part of every message. Timestamps are in milliseconds on the
// timeline of the host that set them, plus its incarnation. Only that host
// interprets them.
type Header struct {
	From string `json:"from"`
	// Timestamp is the time at which the message was written.
	Timestamp int64 `json:"stamp"`
	// EchoedTimestamp is the latest timestamp that the sender has received from
	// the addressee, or zero if there is none.
	EchoedTimestamp int64 `json:"echo,omitempty"`
}

func (h *Header) header() *Header { return h }

// Status summarizes what a host knows. Polls and their replies carry it.
type Status struct {
	// RecordsHash is a hash of all member records.
	RecordsHash uint32 `json:"members"`
	// Feeds has one entry for each feed, in the order of [Node.Feeds].
	Feeds []FeedStatus `json:"feeds,omitempty"`
	// Records are the records that changed recently.
	Records []MemberRecord `json:"records,omitempty"`
	// CrashCounts are the crash counts that changed recently.
	CrashCounts []CrashCount `json:"notices,omitempty"`
	// ZoneAges are the ages of what the sender knows of each zone.
	ZoneAges *ZoneAges `json:"zones,omitempty"`
	// HostOutageAges are the ages of what the sender knows of the hosts of its own
	// zone.
	HostOutageAges *HostOutageAges `json:"roll,omitempty"`
}

// FeedStatus describes a host's view of one feed.
type FeedStatus struct {
	Version objectstore.Version `json:"version"`
	// ConfirmationAge is the time since the view was confirmed, in milliseconds,
	// or -1 if it never was.
	ConfirmationAge int64 `json:"age"`
	// StoreUnreachable is true while the sender cannot reach the store or, if it
	// is not a store reader, while the host that it polls cannot.
	StoreUnreachable bool `json:"cut,omitempty"`
}

// Poll requests the status of a host and carries the sender's own.
type Poll struct {
	Header
	Status
}

// PollReply is the reply to a [Poll].
type PollReply struct {
	Header
	Status
}

// RecordsRequest requests the records of all zones except those whose hash is
// equal at both hosts.
type RecordsRequest struct {
	Header
	ZoneHashes []ZoneHash `json:"zones"`
}

// ZoneHash is a hash of the member records of one zone.
type ZoneHash struct {
	Zone string `json:"zone"`
	Hash uint64 `json:"hash"`
}

// RecordsReply is the reply to a [RecordsRequest].
type RecordsReply struct {
	Header
	Records []MemberRecord `json:"records"`
}

// FeedRequest requests the objects of a feed that changed after a version.
type FeedRequest struct {
	Header
	Feed  string              `json:"feed"`
	After objectstore.Version `json:"after"`
}

// FeedReply is the reply to a [FeedRequest]. Objects are all changes up to the
// version in Status.
type FeedReply struct {
	Header
	Feed    string               `json:"feed"`
	Status  FeedStatus           `json:"status"`
	Objects []objectstore.Object `json:"objects"`
}

// InvalidMessageError reports a message that could not be encoded or decoded.
type InvalidMessageError struct {
	Kind  string
	Cause error
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("fleet message of kind %q cannot be encoded or decoded: %v", e.Kind, e.Cause)
}

func (e *InvalidMessageError) Unwrap() error { return e.Cause }

// UnknownKindError reports a message of a kind that this version of the program
// does not know.
type UnknownKindError struct {
	Kind string
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind of fleet message: %q", e.Kind)
}

// encodedMessage is the JSON form of a message: its kind and its fields.
type encodedMessage struct {
	Kind    string          `json:"kind"`
	Message json.RawMessage `json:"message"`
}

func kindOf(message Message) string {
	switch message.(type) {
	case *Poll:
		return "poll"
	case *PollReply:
		return "poll-reply"
	case *RecordsRequest:
		return "records-request"
	case *RecordsReply:
		return "records"
	case *FeedRequest:
		return "feed-request"
	case *FeedReply:
		return "feed-reply"
	}
	return ""
}

func newMessage(kind string) (Message, bool) {
	switch kind {
	case "poll":
		return &Poll{}, true
	case "poll-reply":
		return &PollReply{}, true
	case "records-request":
		return &RecordsRequest{}, true
	case "records":
		return &RecordsReply{}, true
	case "feed-request":
		return &FeedRequest{}, true
	case "feed-reply":
		return &FeedReply{}, true
	}
	return nil, false
}

// Encode returns the JSON form of the message, with its kind. It returns an
// [InvalidMessageError] if the message cannot be encoded.
func Encode(message Message) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, &InvalidMessageError{
			Kind:  kindOf(message),
			Cause: err,
		}
	}
	return json.Marshal(encodedMessage{
		Kind:    kindOf(message),
		Message: body,
	})
}

// Decode parses the output of [Encode]. It returns an [InvalidMessageError] or
// an [UnknownKindError].
func Decode(body []byte) (Message, error) {
	var encoded encodedMessage
	if err := json.Unmarshal(body, &encoded); err != nil {
		return nil, &InvalidMessageError{
			Cause: err,
		}
	}
	message, ok := newMessage(encoded.Kind)
	if !ok {
		return nil, &UnknownKindError{
			Kind: encoded.Kind,
		}
	}
	if err := json.Unmarshal(encoded.Message, message); err != nil {
		return nil, &InvalidMessageError{
			Kind:  encoded.Kind,
			Cause: err,
		}
	}
	return message, nil
}
