package header

import (
	"fmt"
	"time"
)

// timeoutPrecision is the precision of the values that [FormatTimeout] writes.
const timeoutPrecision = time.Millisecond

// InvalidTimeoutError reports a [Timeout] header whose value is not a positive Go
// duration.
type InvalidTimeoutError struct {
	Value string
}

func (e *InvalidTimeoutError) Error() string {
	return fmt.Sprintf("header %s has the value %q; it must be a positive Go duration such as 1.5s", Timeout, e.Value)
}

// ParseTimeout parses the value of the [Timeout] header and returns the time that is
// left for the request. It returns zero for an empty value, and an
// [InvalidTimeoutError] for a value that is not a positive Go duration.
func ParseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		return 0, &InvalidTimeoutError{
			Value: value,
		}
	}
	return timeout, nil
}

// FormatTimeout returns the value of the [Timeout] header for the time that is left
// for the request. It rounds down to whole milliseconds, and returns at least one
// millisecond, because zero is not a valid value.
func FormatTimeout(timeout time.Duration) string {
	return max(timeout.Truncate(timeoutPrecision), timeoutPrecision).String()
}
