package fleet

import (
	"encoding/json"
	"fmt"

	"trefoilline.example/trefoilline/objectstore"
)

// Message is what nodes send each other.
type Message interface {
	// header returns what all messages carry.
	header() *Header
}

// Envelope is a message and the host that it goes to.
type Envelope struct {
	To      Host
	Message Message
}

// Header is part of every message. Stamps are milliseconds on their writer's
// own timeline, offset by its incarnation; nobody else interprets them.
type Header struct {
	From string `json:"from"`
	// Timestamp is when the message was written.
	Timestamp int64 `json:"stamp"`
	// EchoedTimestamp is the last stamp that the sender got from the addressee, or zero.
	EchoedTimestamp int64 `json:"echo,omitempty"`
}

func (h *Header) header() *Header { return h }

// Status is a host's state in brief, sent in both directions of a poll.
type Status struct {
	// RecordsHash is a hash of all records.
	RecordsHash uint32 `json:"members"`
	// Feeds has one entry for each feed, in the order of the settings.
	Feeds []FeedStatus `json:"feeds,omitempty"`
	// RecordsReply are recent changes.
	Records []MemberRecord `json:"records,omitempty"`
	// CrashCounts are recent notices.
	CrashCounts []CrashCount `json:"notices,omitempty"`
	// ZoneAges tells how old the sender's knowledge of each zone is.
	ZoneAges *ZoneAges `json:"zones,omitempty"`
	// HostOutageAges tells how old the sender's knowledge of its own zone's hosts is.
	HostOutageAges *HostOutageAges `json:"roll,omitempty"`
}

// FeedStatus is how far a host's view of a feed goes.
type FeedStatus struct {
	Version objectstore.Version `json:"version"`
	// ConfirmationAge is the milliseconds since the view was confirmed; -1 for never.
	ConfirmationAge int64 `json:"age"`
	// StoreUnreachable is set while the sender, or the host that it polls, doesn't reach the
	// store.
	StoreUnreachable bool `json:"cut,omitempty"`
}

// Poll asks a host for its status and carries the sender's.
type Poll struct {
	Header
	Status
}

// PollReply answers a [Poll].
type PollReply struct {
	Header
	Status
}

// RecordsRequest asks for the records of the zones whose hash differs.
type RecordsRequest struct {
	Header
	ZoneHashes []ZoneHash `json:"zones"`
}

// ZoneHash is the hash of a zone's records.
type ZoneHash struct {
	Zone string `json:"zone"`
	Hash uint64 `json:"hash"`
}

// Records answers a [RecordsRequest].
type RecordsReply struct {
	Header
	Records []MemberRecord `json:"records"`
}

// FeedRequest asks for what changed in a feed after a version.
type FeedRequest struct {
	Header
	Feed  string              `json:"feed"`
	After objectstore.Version `json:"after"`
}

// FeedReply answers a [FeedRequest] with all changes up to the version.
type FeedReply struct {
	Header
	Feed    string               `json:"feed"`
	Status  FeedStatus           `json:"status"`
	Objects []objectstore.Object `json:"objects"`
}

// MessageError reports bytes that are no message.
type InvalidMessageError struct {
	Kind  string
	Cause error
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("fleet message of kind %q can't be read: %v", e.Kind, e.Cause)
}

func (e *InvalidMessageError) Unwrap() error { return e.Cause }

// UnknownKindError reports a message of a kind that this version doesn't know.
type UnknownKindError struct {
	Kind string
}

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("no fleet message is of kind %q", e.Kind)
}

// wire is a message with its kind.
type wire struct {
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

// Encode returns the message as JSON with its kind.
func Encode(message Message) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, &InvalidMessageError{
			Kind:  kindOf(message),
			Cause: err,
		}
	}
	return json.Marshal(wire{
		Kind:    kindOf(message),
		Message: body,
	})
}

// Decode reads a message that [Encode] wrote. It returns a [InvalidMessageError] or
// an [UnknownKindError].
func Decode(body []byte) (Message, error) {
	var w wire
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, &InvalidMessageError{
			Cause: err,
		}
	}
	message, ok := newMessage(w.Kind)
	if !ok {
		return nil, &UnknownKindError{
			Kind: w.Kind,
		}
	}
	if err := json.Unmarshal(w.Message, message); err != nil {
		return nil, &InvalidMessageError{
			Kind:  w.Kind,
			Cause: err,
		}
	}
	return message, nil
}
