package objectstore

// ErrorCode says in an answer of the store why a call was not carried out.
type ErrorCode string

// The codes of failed calls.
const (
	CodeNotFound    ErrorCode = "not-found"
	CodeConflict    ErrorCode = "conflict"
	CodeRefused     ErrorCode = "refused"
	CodeUnavailable ErrorCode = "unavailable"
)

// ErrorResponse is the body of an answer to a call that changed nothing.
type ErrorResponse struct {
	Code   ErrorCode `json:"code"`
	Reason string    `json:"reason"`
	// CurrentVersion is the version that a key is at, for [CodeConflict].
	CurrentVersion Version `json:"found,omitempty"`
}

// WriteResponse is the body of an answer to a write that took effect.
type WriteResponse struct {
	Version Version `json:"version"`
}

// ObjectList is the body of an answer to a list call.
type ObjectList struct {
	Objects []Object `json:"objects"`
}

// MachineList is the body of an answer to a call for the machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}
