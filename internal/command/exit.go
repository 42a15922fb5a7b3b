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

// Exit codes of the tool. They are the same in every release.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitOther means an error without a code of its own.
	ExitOther = 1
	// ExitUsage means that flags, arguments or settings are invalid.
	ExitUsage = 2
	// ExitInvalidTable means that a table is invalid; nothing was changed.
	ExitInvalidTable = 3
	// ExitConflict means that someone else published a version of the table in the
	// meantime, or that the edit ID was used for another edit; nothing was changed.
	ExitConflict = 4
	// ExitNotFound means that a key, team, version, table or request does not exist.
	ExitNotFound = 5
	// ExitUnreachable means that the store or a host could not be reached. The
	// failed call changed nothing; with --wait, an earlier call may have made the
	// change.
	ExitUnreachable = 6
	// ExitOutcomeUnknown means that a change may or may not have been made; the
	// message says how to retry it.
	ExitOutcomeUnknown = 7
	// ExitStoreRefused means that the store refused a call; the refused call changed
	// nothing.
	ExitStoreRefused = 8
	// ExitNotApplied means that a change was made but is not yet applied on every
	// host.
	ExitNotApplied = 9
)

// exitCodeDescriptions describes each exit code in the help text.
var exitCodeDescriptions = []string{
	ExitOK:             "done",
	ExitOther:          "any other error",
	ExitUsage:          "invalid flags, arguments or settings",
	ExitInvalidTable:   "the table is invalid; nothing was changed",
	ExitConflict:       "someone else published a version of the table in the meantime, or the edit ID was used for another edit; nothing was changed",
	ExitNotFound:       "key, team, version, table or request not found",
	ExitUnreachable:    "the store or a host could not be reached; the failed call changed nothing",
	ExitOutcomeUnknown: "the change may or may not have been made; the message says how to retry it",
	ExitStoreRefused:   "the store refused a call; the refused call changed nothing",
	ExitNotApplied:     "the change was made but is not yet applied on every host",
}

func exitCodeHelp() string {
	var text strings.Builder
	for code, description := range exitCodeDescriptions {
		fmt.Fprintf(&text, "  %d  %s\n", code, description)
	}
	return strings.TrimRight(text.String(), "\n")
}

// ExitCode returns the exit code for an error. An error that says whether the
// change was made takes precedence over the errors that it wraps. For example, a
// NotPublishedError may wrap the unknown outcome of writing a part of the table. The
// edit is still certainly not published, so the code is ExitUnreachable.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case hasErrorType[*NotAppliedError](err):
		return ExitNotApplied
	case hasErrorType[*table.NotPublishedError](err) && hasErrorType[*objectstore.UnknownOutcomeError](err):
		return ExitUnreachable
	case hasErrorType[*table.UnknownOutcomeError](err), hasErrorType[*team.KeyChangeUnknownError](err), hasErrorType[*objectstore.UnknownOutcomeError](err):
		return ExitOutcomeUnknown
	case hasErrorType[*UsageError](err), hasErrorType[*InvalidArgumentError](err), hasErrorType[*MissingBaseVersionError](err), hasErrorType[*NoEntryHostError](err), hasErrorType[*AmbiguousHashPrefixError](err):
		return ExitUsage
	case hasErrorType[*table.InvalidError](err), hasErrorType[*table.SyntaxError](err):
		return ExitInvalidTable
	case hasErrorType[*table.ConflictError](err), hasErrorType[*table.MergeConflictError](err), hasErrorType[*table.EditIDReusedError](err):
		return ExitConflict
	case hasErrorType[*KeyNotFoundError](err), hasErrorType[*TeamNotFoundError](err), hasErrorType[*team.NoSuchKeyError](err), hasErrorType[*RequestNotFoundError](err),
		hasErrorType[*table.NoTableError](err), hasErrorType[*table.VersionNotFoundError](err), hasErrorType[*objectstore.NotFoundError](err):
		return ExitNotFound
	case hasErrorType[*objectstore.UnavailableError](err), hasErrorType[*HostCallError](err), errors.Is(err, context.DeadlineExceeded):
		return ExitUnreachable
	case hasErrorType[*objectstore.RefusedError](err):
		return ExitStoreRefused
	}
	return ExitOther
}

func hasErrorType[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
