package objectstore

// ErrorCode is the reason for a failed call in a response of the store.
type ErrorCode string

// The error codes of the store.
const (
	CodeNotFound    ErrorCode = "not-found"
	CodeConflict    ErrorCode = "conflict"
	CodeRefused     ErrorCode = "refused"
	CodeUnavailable ErrorCode = "unavailable"
)

// ErrorResponse is the body of the response to a failed call, which changed nothing.
type ErrorResponse struct {
	Code   ErrorCode `json:"code"`
	Reason string    `json:"reason"`
	// CurrentVersion is the current version of the key, for [CodeConflict].
	CurrentVersion Version `json:"found,omitempty"`
}

// WriteResponse is the body of the response to a write that took effect.
type WriteResponse struct {
	Version Version `json:"version"`
}

// ObjectList is the body of the response to a list call.
type ObjectList struct {
	Objects []Object `json:"objects"`
}

// MachineList is the body of the response to a call for the machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}
