package command

import (
	"fmt"
	"strings"

	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

// UsageError reports flags or arguments that the command does not take.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() + "; see --help" }

func (e *UsageError) Unwrap() error { return e.Cause }

// SettingError reports one setting that is missing or wrong.
type SettingError struct {
	// Setting is the name of the flag.
	Setting  string
	Value    string
	Accepted string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s: %q; accepted: %s", e.Setting, e.Value, e.Accepted)
}

// FileError reports a file that could not be read or written.
type FileError struct {
	Name  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("file %q: %v", e.Name, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// UnknownRequestError reports a request that no log tells of.
type UnknownRequestError struct {
	Request string
}

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line of the logs tells of request %q; a request that was passed in time is logged at level debug only", e.Request)
}

// NoBaseError reports a table that does not say which version it was edited
// from.
type NoBaseError struct {
	Newest table.Version
}

func (e *NoBaseError) Error() string {
	return fmt.Sprintf("the file does not say which version it was edited from; accepted: a row of kind version, or --base (the version in force is %d)", e.Newest)
}

// NoTeamError reports a team that the table in force does not have.
type NoTeamError struct {
	Team  string
	Teams []string
}

func (e *NoTeamError) Error() string {
	return fmt.Sprintf("team %q is not in the table; accepted: %s", e.Team, strings.Join(e.Teams, ", "))
}

// NoSuchKeyError reports that no key's hash starts with the digits.
type NoSuchKeyError struct {
	Digits string
}

func (e *NoSuchKeyError) Error() string {
	return fmt.Sprintf("no key's hash starts with %q; accepted: a hash that \"trefoilline key list\" shows", e.Digits)
}

// AmbiguousKeyError reports digits that several hashes start with.
type AmbiguousKeyError struct {
	Digits string
	Hashes []team.Hash
}

func (e *AmbiguousKeyError) Error() string {
	return fmt.Sprintf("%d keys' hashes start with %q; accepted: more digits", len(e.Hashes), e.Digits)
}

// HostError reports an entry host that did not answer as it should.
type HostError struct {
	Host  string
	Cause error
}

func (e *HostError) Error() string { return fmt.Sprintf("entry host %s: %v", e.Host, e.Cause) }

func (e *HostError) Unwrap() error { return e.Cause }

// NoHostError reports that no entry host is known.
type NoHostError struct{}

func (e *NoHostError) Error() string {
	return "no entry host is known; accepted: --hosts, or a --store that lists some"
}

// NotInForceError reports that waiting was in vain.
type NotInForceError struct {
	What     string
	Laggards []string
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("%s is not in force on %d hosts: %s", e.What, len(e.Laggards), strings.Join(e.Laggards, ", "))
}

// OutputError reports that the output could not be written.
type OutputError struct {
	Cause error
}

func (e *OutputError) Error() string { return "writing the output: " + e.Cause.Error() }

func (e *OutputError) Unwrap() error { return e.Cause }
