package connection

import "fmt"

// OpenError reports that connections were still open when the time to close them was over.
type OpenError struct {
	// Connections is how many were open.
	Connections int
	Cause       error
}

func (e *OpenError) Error() string {
	return fmt.Sprintf("%d connections are still open: %v", e.Connections, e.Cause)
}

func (e *OpenError) Unwrap() error { return e.Cause }
