package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

// The exit codes. They stay as they are from release to release.
const (
	// ExitOK means that all was done.
	ExitOK = 0
	// ExitOther means an error that has no code of its own.
	ExitOther = 1
	// ExitUsage means that flags, arguments or settings are wrong.
	ExitUsage = 2
	// ExitInvalid means that a table has faults; nothing changed.
	ExitInvalid = 3
	// ExitConflict means that others edited the table meanwhile; nothing changed.
	ExitConflict = 4
	// ExitNotFound means that a key, team, version, table or request does not exist.
	ExitNotFound = 5
	// ExitUnreached means that the store or a host was not reached; nothing
	// changed.
	ExitUnreached = 6
	// ExitUnknown means that a change may or may not have been made; the message
	// says how to send it again.
	ExitUnknown = 7
	// ExitRefused means that the store refused the call; nothing changed.
	ExitRefused = 8
	// ExitNotInForce means that a change was made, and is not yet in force on
	// every host.
	ExitNotInForce = 9
)

// exitMeanings are the words of the help.
var exitMeanings = []string{
	ExitOK:         "done",
	ExitOther:      "another error",
	ExitUsage:      "wrong flags, arguments or settings",
	ExitInvalid:    "the table has faults; nothing changed",
	ExitConflict:   "others edited the table meanwhile; nothing changed",
	ExitNotFound:   "no such key, team, version, table or request",
	ExitUnreached:  "store or host not reached; nothing changed",
	ExitUnknown:    "may or may not have been done; the message says how to send it again",
	ExitRefused:    "the store refused the call; nothing changed",
	ExitNotInForce: "done, but not yet in force on every host",
}

func exitCodeHelp() string {
	var text strings.Builder
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&text, "  %d  %s\n", code, meaning)
	}
	return strings.TrimRight(text.String(), "\n")
}

// ExitCode returns the code for the kind of error. Errors that say how certain
// the outcome is come before those that caused them: an edit is not published,
// for certain, when the outcome of writing one of its parts is unknown.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case is[*NotInForceError](err):
		return ExitNotInForce
	case is[*table.NotPublishedError](err) && is[*objectstore.UnknownOutcomeError](err):
		return ExitUnreached
	case is[*table.UnknownOutcomeError](err), is[*team.UnknownOutcomeError](err), is[*objectstore.UnknownOutcomeError](err):
		return ExitUnknown
	case is[*UsageError](err), is[*SettingError](err), is[*NoBaseError](err), is[*NoHostError](err), is[*AmbiguousKeyError](err):
		return ExitUsage
	case is[*table.InvalidError](err), is[*table.SyntaxError](err):
		return ExitInvalid
	case is[*table.ConflictError](err), is[*table.MergeConflictError](err), is[*table.EditIDReusedError](err):
		return ExitConflict
	case is[*NoSuchKeyError](err), is[*NoTeamError](err), is[*team.NoSuchKeyError](err), is[*UnknownRequestError](err),
		is[*table.NoTableError](err), is[*table.VersionNotFoundError](err), is[*objectstore.NotFoundError](err):
		return ExitNotFound
	case is[*objectstore.UnavailableError](err), is[*HostError](err), errors.Is(err, context.DeadlineExceeded):
		return ExitUnreached
	case is[*objectstore.RefusedError](err):
		return ExitRefused
	}
	return ExitOther
}

func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
