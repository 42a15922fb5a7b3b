package header

import (
	"fmt"
	"time"
)

// deadlinePrecision is the precision of the values that [FormatDeadline] writes.
const deadlinePrecision = time.Millisecond

// InvalidDeadlineError reports a deadline header that is not a positive Go
// duration.
type InvalidDeadlineError struct {
	Value string
}

func (e *InvalidDeadlineError) Error() string {
	return fmt.Sprintf("header %s has the value %q; it must be a positive Go duration such as 1.5s", Deadline, e.Value)
}

// ParseDeadline parses the value of the [Deadline] header and returns the time
// that is left for the request. It returns zero for an empty value, and an
// [InvalidDeadlineError] for a value that is not a positive Go duration.
func ParseDeadline(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		return 0, &InvalidDeadlineError{
			Value: value,
		}
	}
	return timeout, nil
}

// FormatDeadline returns the value of the [Deadline] header for the time that is
// left for the request. It rounds down to whole milliseconds, and returns at least
// one millisecond, because zero is not a valid value.
func FormatDeadline(timeout time.Duration) string {
	return max(timeout.Truncate(deadlinePrecision), deadlinePrecision).String()
}
