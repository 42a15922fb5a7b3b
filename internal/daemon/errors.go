package daemon

import (
	"fmt"
	"strings"
)

// SettingError reports a setting that is missing or invalid. Accepted describes the
// accepted values. For a secret, Value is a placeholder.
type SettingError struct {
	Name     string
	Value    string
	Accepted string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s is %q; accepted: %s", e.Name, e.Value, e.Accepted)
}

// SettingsError reports all settings that are missing or invalid.
type SettingsError struct {
	Problems []*SettingError
}

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error of each setting.
func (e *SettingsError) Unwrap() []error {
	errs := make([]error, 0, len(e.Problems))
	for _, problem := range e.Problems {
		errs = append(errs, problem)
	}
	return errs
}

// ListenError reports that the daemon cannot listen on its address. Cause is the error of
// the operating system.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// joinChoices returns the choices as a text, separated by "or".
func joinChoices(choices []string) string {
	return strings.Join(choices, " or ")
}

// UnknownPeerError reports a message batch for a host whose address is not known, because
// neither the platform's machine list nor the fleet's member list contains it.
type UnknownPeerError struct {
	Host string
}

func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("the address of entry host %q is unknown: it is not in the list of machines or of fleet members", e.Host)
}

// PeerStatusError reports that another entry host rejected a message batch. Status is the
// HTTP status of its response.
type PeerStatusError struct {
	Host   string
	Status int
}

func (e *PeerStatusError) Error() string {
	return fmt.Sprintf("entry host %q rejected a message batch with HTTP status %d", e.Host, e.Status)
}
