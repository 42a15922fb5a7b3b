package experiment

import (
	"fmt"
	"strings"
)

// FileError reports a file that can't be read or understood.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// FieldError reports one field that is not acceptable.
type FieldError struct {
	Field    string
	Value    string
	Accepted string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %q; accepted: %s", e.Field, e.Value, e.Accepted)
}

// PlanError reports all faults of a plan at once.
type InvalidPlanError struct {
	Problems []*FieldError
}

func (e *InvalidPlanError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, f := range e.Problems {
		lines = append(lines, "  "+f.Error())
	}
	return fmt.Sprintf("the plan has %d faults:\n%s", len(e.Problems), strings.Join(lines, "\n"))
}

// StatusError reports a stand-in that refused a fault.
type StatusError struct {
	Status string
}

func (e *StatusError) Error() string { return "the stand-in answered " + e.Status }

// CutShortError reports a fault that the run did not come to.
type RunEndedError struct{}

func (*RunEndedError) Error() string { return "the run ended before" }

// OutputError reports a report that could not be written.
type OutputError struct {
	Cause error
}

func (e *OutputError) Error() string { return fmt.Sprintf("the report was not written: %v", e.Cause) }

func (e *OutputError) Unwrap() error { return e.Cause }

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{
		Cause: err,
	}
}
