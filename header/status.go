package header

import "fmt"

// The statuses of final responses that HTTP defines.
const (
	minStatus = 200
	maxStatus = 599
	// switchingProtocols is the only final status below minStatus.
	switchingProtocols = 101
)

// InvalidStatusError reports a response whose status the protocol does not allow. Nothing else in it can be trusted.
type InvalidStatusError struct {
	Status int
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the protocol allows no final response with status %03d", e.Status)
}

// CheckStatus returns an [InvalidStatusError] if a final response can't have the status. Package net/http takes any number of three
// characters for a status, also 000 and 999, and panics when a handler passes one below 100 on.
func CheckStatus(status int) error {
	if status == switchingProtocols || status >= minStatus && status <= maxStatus {
		return nil
	}
	return &InvalidStatusError{
		Status: status,
	}
}
