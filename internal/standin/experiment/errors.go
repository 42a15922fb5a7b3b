package experiment

import (
	"fmt"
	"strings"
)

// FileError reports a file that cannot be read or parsed.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Path, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// FieldError reports an invalid value of a plan's field or of a flag.
type FieldError struct {
	Field    string
	Value    string
	Accepted string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %q; accepted: %s", e.Field, e.Value, e.Accepted)
}

// InvalidPlanError reports all problems of a plan.
type InvalidPlanError struct {
	Problems []*FieldError
}

func (e *InvalidPlanError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, f := range e.Problems {
		lines = append(lines, "  "+f.Error())
	}
	return fmt.Sprintf("the plan has %d problems:\n%s", len(e.Problems), strings.Join(lines, "\n"))
}

// StatusError reports that a stand-in rejected a fault.
type StatusError struct {
	Status string
}

func (e *StatusError) Error() string { return "the stand-in responded with status " + e.Status }

// RunEndedError reports a fault that was not applied because the run ended before
// its time.
type RunEndedError struct{}

func (*RunEndedError) Error() string { return "the run ended before the fault was due" }

// OutputError reports that the output could not be written.
type OutputError struct {
	Cause error
}

func (e *OutputError) Error() string { return fmt.Sprintf("cannot write the output: %v", e.Cause) }

func (e *OutputError) Unwrap() error { return e.Cause }

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{
		Cause: err,
	}
}
