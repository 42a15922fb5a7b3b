package header

import (
	"fmt"
	"time"
)

// deadlineStep is the precision of the deadline header.
const deadlineStep = time.Millisecond

// InvalidDeadlineError reports a deadline header that is no duration above zero.
type InvalidDeadlineError struct {
	Value string
}

func (e *InvalidDeadlineError) Error() string {
	return fmt.Sprintf("%s is %q; accepted is a Go duration above zero, such as 1.5s", Deadline, e.Value)
}

// ParseDeadline returns the time left, zero if the value is empty, or a
// [InvalidDeadlineError].
func ParseDeadline(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	left, err := time.ParseDuration(value)
	if err != nil || left <= 0 {
		return 0, &InvalidDeadlineError{
			Value: value,
		}
	}
	return left, nil
}

// FormatDeadline returns the header's value for the time left, rounded down to
// milliseconds and at least one.
func FormatDeadline(left time.Duration) string {
	return max(left.Truncate(deadlineStep), deadlineStep).String()
}
