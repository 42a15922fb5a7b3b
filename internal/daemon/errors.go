package daemon

import (
	"fmt"
	"strings"
)

// SettingError reports a setting that is missing or not acceptable.
type SettingError struct {
	Name     string
	Value    string
	Accepted string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s is %q; accepted: %s", e.Name, e.Value, e.Accepted)
}

// SettingsError reports every setting at fault.
type SettingsError struct {
	Problems []*SettingError
}

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, f := range e.Problems {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single faults.
func (e *SettingsError) Unwrap() []error {
	faults := make([]error, 0, len(e.Problems))
	for _, f := range e.Problems {
		faults = append(faults, f)
	}
	return faults
}

// ListenError reports that the daemon cannot listen on its address.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

func joinChoices(choices []string) string {
	return strings.Join(choices, " or ")
}

// UnknownPeerError reports a message to a host that the platform does not list.
type UnknownPeerError struct {
	Host string
}

func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("entry host %q is not listed", e.Host)
}

// PeerRefusedError reports that another entry host did not take a packet.
type PeerStatusError struct {
	Host   string
	Status int
}

func (e *PeerStatusError) Error() string {
	return fmt.Sprintf("entry host %q refused a packet with status %d", e.Host, e.Status)
}
