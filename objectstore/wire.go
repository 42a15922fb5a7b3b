package objectstore

// FailureCode says in an answer of the store why a call was not carried out.
type FailureCode string

// The codes of failed calls.
const (
	CodeNotFound    FailureCode = "not-found"
	CodeConflict    FailureCode = "conflict"
	CodeRefused     FailureCode = "refused"
	CodeUnavailable FailureCode = "unavailable"
)

// Failure is the body of an answer to a call that changed nothing.
type Failure struct {
	Code   FailureCode `json:"code"`
	Reason string      `json:"reason"`
	// Found is the version that a key is at, for [CodeConflict].
	Found Version `json:"found,omitempty"`
}

// Written is the body of an answer to a write that took effect.
type Written struct {
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
