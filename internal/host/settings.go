package host

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"
)

// Identity is what other hosts and callers know a host by. It stays as long as the
// process runs.
type Identity struct {
	// Host names this entry host; unique among the hosts.
	Host string `json:"host"`
	// Region and Zone say where the host runs.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// CallerAddress is the address for callers, Ready that for the platform's checks,
	// LookUps that for callers' look-ups, Peers that for other hosts.
	CallerAddress netip.AddrPort `json:"entry"`
	ReadyAddress  netip.AddrPort `json:"ready"`
	LookUpAddress netip.AddrPort `json:"look-ups"`
	PeerAddress   netip.AddrPort `json:"peers"`
	// MetricsAddress is the address at which measures are shown; they are not if it is not
	// set.
	MetricsAddress netip.AddrPort `json:"metrics"`
}

// Settings are what a host learns from its settings file.
type Settings struct {
	Identity
	// Zones holds the region of each availability zone.
	Zones map[string]string `json:"zones"`
	// Seeds are the addresses for other hosts of a few hosts.
	Seeds []netip.AddrPort `json:"seeds"`
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort `json:"store"`
	// MaxLookUpTTLSeconds is the longest that callers may use a look-up answer.
	MaxLookUpTTLSeconds float64 `json:"look-up-seconds"`
	// GraceSeconds is how long a host that is told to stop may take.
	GraceSeconds float64 `json:"grace-seconds"`
	// OvershootFraction is by which part a team may go beyond its rate and burst, and
	// QuotaSlack by how many requests besides, over all hosts.
	OvershootFraction float64 `json:"quota-overshoot"`
	OvershootRequests float64 `json:"quota-slack"`
	// LogLevel is the least level to log; info if empty.
	LogLevel string `json:"log-level"`
	// RetryRatio and RetrySlack bound the sends beyond the first of each request,
	// over all hosts.
	RetryRatio float64 `json:"retry-ratio"`
	RetrySlack float64 `json:"retry-slack"`
}

// grace is how long the host may take to stop.
func (s Settings) grace() time.Duration {
	return time.Duration(s.GraceSeconds * float64(time.Second))
}

// SettingsError reports a settings file that can't be used, with all its faults.
type SettingsError struct {
	Path     string
	Problems []string
	// Cause is set if the file could not be read.
	Cause error
}

func (e *SettingsError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("settings file %s: %v", e.Path, e.Cause)
	}
	return fmt.Sprintf("settings file %s: %s", e.Path, strings.Join(e.Problems, "; "))
}

func (e *SettingsError) Unwrap() error { return e.Cause }

// parse returns the settings that a file holds, or a [SettingsError] with all its
// faults.
func parse(path string, content []byte) (Settings, error) {
	var s Settings
	if err := json.Unmarshal(content, &s); err != nil {
		return Settings{}, &SettingsError{
			Path:  path,
			Cause: err,
		}
	}
	if faults := s.check(); len(faults) > 0 {
		return Settings{}, &SettingsError{
			Path:     path,
			Problems: faults,
		}
	}
	return s, nil
}

// check returns what is wrong in the settings.
func (s Settings) check() []string {
	var faults []string
	need := func(name string, isGood bool, accepted string) {
		if !isGood {
			faults = append(faults, fmt.Sprintf("%q is missing or wrong; accepted is %s", name, accepted))
		}
	}
	need("metrics", !s.MetricsAddress.IsValid() || s.MetricsAddress.Port() > 0, "an IP address and a port above zero, or nothing")
	const address = "an IP address and a port above zero"
	need("host", s.Host != "", "a name")
	need("region", s.Region != "", "a name")
	need("zones", s.Zones[s.Zone] == s.Region, "the region of each zone, that of this host among them")
	need("entry", s.CallerAddress.IsValid() && s.CallerAddress.Port() > 0, address)
	need("ready", s.ReadyAddress.IsValid() && s.ReadyAddress.Port() > 0, address)
	need("look-ups", s.LookUpAddress.IsValid() && s.LookUpAddress.Port() > 0, address)
	need("peers", s.PeerAddress.IsValid() && s.PeerAddress.Port() > 0, address)
	need("store", s.StoreAddress.IsValid() && s.StoreAddress.Port() > 0, address)
	need("look-up-seconds", s.MaxLookUpTTLSeconds > 0, "a number above zero")
	need("quota-overshoot", s.OvershootFraction >= 0, "a number, zero or more")
	need("quota-slack", s.OvershootRequests >= 0, "a number, zero or more")
	_, err := zapcore.ParseLevel(s.LogLevel)
	need("log-level", err == nil, "debug, info, warn or error")
	need("grace-seconds", s.GraceSeconds > 0, "a number above zero")
	need("retry-ratio", s.RetryRatio >= 0, "a number, zero or more")
	need("retry-slack", s.RetrySlack >= 0, "a number, zero or more")
	return faults
}
