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

// InvalidSettingError reports one setting that is missing or wrong.
type InvalidArgumentError struct {
	// Name is the name of the flag.
	Name     string
	Value    string
	Accepted string
}

func (e *InvalidArgumentError) Error() string {
	return fmt.Sprintf("--%s: %q; accepted: %s", e.Name, e.Value, e.Accepted)
}

// FileError reports a file that could not be read or written.
type FileError struct {
	Name  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("file %q: %v", e.Name, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// RequestNotFoundError reports a request that no log tells of.
type RequestNotFoundError struct {
	RequestID string
}

func (e *RequestNotFoundError) Error() string {
	return fmt.Sprintf("no line of the logs tells of request %q; a request that was passed in time is logged at level debug only", e.RequestID)
}

// MissingBaseVersionError reports a table that does not say which version it was edited
// from.
type MissingBaseVersionError struct {
	CurrentVersion table.Version
}

func (e *MissingBaseVersionError) Error() string {
	return fmt.Sprintf("the file does not say which version it was edited from; accepted: a row of kind version, or --base (the version in force is %d)", e.CurrentVersion)
}

// TeamNotFoundError reports a team that the table in force does not have.
type TeamNotFoundError struct {
	Team       string
	KnownTeams []string
}

func (e *TeamNotFoundError) Error() string {
	return fmt.Sprintf("team %q is not in the table; accepted: %s", e.Team, strings.Join(e.KnownTeams, ", "))
}

// KeyNotFoundError reports that no key's hash starts with the digits.
type KeyNotFoundError struct {
	HashPrefix string
}

func (e *KeyNotFoundError) Error() string {
	return fmt.Sprintf("no key's hash starts with %q; accepted: a hash that \"trefoilline key list\" shows", e.HashPrefix)
}

// AmbiguousHashPrefixError reports digits that several hashes start with.
type AmbiguousHashPrefixError struct {
	HashPrefix string
	Hashes     []team.Hash
}

func (e *AmbiguousHashPrefixError) Error() string {
	return fmt.Sprintf("%d keys' hashes start with %q; accepted: more digits", len(e.Hashes), e.HashPrefix)
}

// HostCallError reports an entry host that did not answer as it should.
type HostCallError struct {
	Host  string
	Cause error
}

func (e *HostCallError) Error() string { return fmt.Sprintf("entry host %s: %v", e.Host, e.Cause) }

func (e *HostCallError) Unwrap() error { return e.Cause }

// NoEntryHostError reports that no entry host is known.
type NoEntryHostError struct{}

func (e *NoEntryHostError) Error() string {
	return "no entry host is known; accepted: --hosts, or a --store that lists some"
}

// NotAppliedError reports that waiting was in vain.
type NotAppliedError struct {
	Change       string
	PendingHosts []string
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("%s is not in force on %d hosts: %s", e.Change, len(e.PendingHosts), strings.Join(e.PendingHosts, ", "))
}

// OutputError reports that the output could not be written.
type OutputError struct {
	Cause error
}

func (e *OutputError) Error() string { return "writing the output: " + e.Cause.Error() }

func (e *OutputError) Unwrap() error { return e.Cause }
