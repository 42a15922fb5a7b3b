package header

import (
	"fmt"
	"time"
)

// deadlineStep is the precision of the deadline header.
const deadlineStep = time.Millisecond

// InvalidTimeoutError reports a deadline header that is no duration above zero.
type InvalidTimeoutError struct {
	Value string
}

func (e *InvalidTimeoutError) Error() string {
	return fmt.Sprintf("%s is %q; accepted is a Go duration above zero, such as 1.5s", Timeout, e.Value)
}

// ParseTimeout returns the time left, zero if the value is empty, or a
// [InvalidTimeoutError].
func ParseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	left, err := time.ParseDuration(value)
	if err != nil || left <= 0 {
		return 0, &InvalidTimeoutError{
			Value: value,
		}
	}
	return left, nil
}

// FormatTimeout returns the header's value for the time left, rounded down to
// milliseconds and at least one.
func FormatTimeout(left time.Duration) string {
	return max(left.Truncate(deadlineStep), deadlineStep).String()
}
