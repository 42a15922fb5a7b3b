package command

import (
	"fmt"
	"strings"

	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

// UsageError reports flags or arguments that the command does not accept.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() + "; see --help" }

func (e *UsageError) Unwrap() error { return e.Cause }

// InvalidArgumentError reports a flag or positional argument that is missing or
// invalid. Error formats the names of both as flags.
type InvalidArgumentError struct {
	// Name is the name of the flag or argument.
	Name  string
	Value string
	// Accepted describes the valid values.
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

// RequestNotFoundError reports a request that is in none of the given logs.
type RequestNotFoundError struct {
	RequestID string
}

func (e *RequestNotFoundError) Error() string {
	return fmt.Sprintf("request %q is in none of the logs; a request that completed in time is logged only at level debug", e.RequestID)
}

// MissingBaseVersionError reports a table file that does not name the version that it
// was edited from.
type MissingBaseVersionError struct {
	CurrentVersion table.Version
}

func (e *MissingBaseVersionError) Error() string {
	return fmt.Sprintf("the file does not name the version that it was edited from; add a row of kind version or give --base (the current version is %d)", e.CurrentVersion)
}

// TeamNotFoundError reports a team that is not in the current table.
type TeamNotFoundError struct {
	Team       string
	KnownTeams []string
}

func (e *TeamNotFoundError) Error() string {
	return fmt.Sprintf("team %q is not in the table; accepted: %s", e.Team, strings.Join(e.KnownTeams, ", "))
}

// KeyNotFoundError reports that no key has a hash with the prefix.
type KeyNotFoundError struct {
	HashPrefix string
}

func (e *KeyNotFoundError) Error() string {
	return fmt.Sprintf("no key has a hash that starts with %q; \"trefoilline key list\" shows the hashes", e.HashPrefix)
}

// AmbiguousHashPrefixError reports a prefix that the hashes of several keys share.
type AmbiguousHashPrefixError struct {
	HashPrefix string
	// Hashes are the hashes with the prefix.
	Hashes []team.Hash
}

func (e *AmbiguousHashPrefixError) Error() string {
	return fmt.Sprintf("the hashes of %d keys start with %q; give more digits", len(e.Hashes), e.HashPrefix)
}

// HostCallError reports a failed call to an entry host.
type HostCallError struct {
	Host  string
	Cause error
}

func (e *HostCallError) Error() string { return fmt.Sprintf("entry host %s: %v", e.Host, e.Cause) }

func (e *HostCallError) Unwrap() error { return e.Cause }

// NoEntryHostError reports that neither the settings nor the store name an entry host.
type NoEntryHostError struct{}

func (e *NoEntryHostError) Error() string {
	return "no entry host is known; give --hosts, or a --store that lists entry hosts"
}

// NotAppliedError reports that some entry hosts did not apply a change before the wait
// limit passed or the command was interrupted.
type NotAppliedError struct {
	Change string
	// PendingHosts are the names of the hosts that have not applied the change.
	PendingHosts []string
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("%s is not applied on %d hosts: %s", e.Change, len(e.PendingHosts), strings.Join(e.PendingHosts, ", "))
}

// OutputError reports that the output could not be written.
type OutputError struct {
	Cause error
}

func (e *OutputError) Error() string { return "write output: " + e.Cause.Error() }

func (e *OutputError) Unwrap() error { return e.Cause }
