package daemon

import (
	"net/netip"
	"time"

	"github.com/spf13/pflag"
	"github.com/spf13/viper"
	"go.uber.org/zap/zapcore"
)

// The names of the settings; the environment variable of a setting is its name
// in upper case after EnvironmentPrefix, with underscores for hyphens.
const (
	EnvironmentPrefix = "TREFOILLINED"

	settingHost            = "host"
	settingRegion          = "region"
	settingZone            = "zone"
	settingListen          = "listen"
	settingStore           = "store"
	settingFleetSecret     = "fleet-secret"
	settingLookUpValidity  = "look-up-validity"
	settingKeysBound       = "keys-bound"
	settingRequestDeadline = "request-deadline"
	settingDrainLimit      = "drain-limit"
	settingLogLevel        = "log-level"
	settingLogFormat       = "log-format"
)

// Bounds and defaults of the settings.
const (
	defaultLookUpValidity  = 5 * time.Second
	minLookUpValidity      = time.Second
	maxLookUpValidity      = time.Minute
	defaultKeysBound       = 4 * time.Second
	minKeysBound           = time.Second
	maxKeysBound           = 5 * time.Second
	defaultRequestDeadline = time.Minute
	maxRequestDeadline     = 10 * time.Minute
	defaultDrainLimit      = time.Minute
	maxDrainLimit          = time.Hour
	minSecretLength        = 16

	logFormatJSON    = "json"
	logFormatConsole = "console"
)

// Settings are what a daemon learns at its start.
type Settings struct {
	// Host names this entry host; unique in the fleet.
	Host string
	// Region and Zone say where the host runs.
	Region string
	Zone   string
	// ListenAddress is the address for callers, operators and other entry hosts.
	ListenAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// FleetSecret is what entry hosts and operators show each other.
	FleetSecret string
	// LookUpTTL is how long callers may use a look-up answer.
	LookUpTTL time.Duration
	// MaxKeysAge is the age of the view of keys above which keyed requests are
	// refused.
	MaxKeysAge time.Duration
	// RequestDeadline bounds every request.
	MaxRequestTimeout time.Duration
	// DrainLimit bounds the wait for running requests when the daemon stops.
	DrainTimeout time.Duration
	LogLevel     zapcore.Level
	LogFormat    string
}

// addFlags declares the flag of each setting.
func addFlags(flags *pflag.FlagSet) {
	flags.String(settingHost, "", "name of this entry host, unique in the fleet")
	flags.String(settingRegion, "", "region that the host runs in")
	flags.String(settingZone, "", "availability zone that the host runs in")
	flags.String(settingListen, "", "IP address and port to listen on, such as 10.1.0.4:8080")
	flags.String(settingStore, "", "IP address and port of the platform's store")
	flags.String(settingFleetSecret, "", "secret shared by entry hosts and operators, 16 characters or more")
	flags.Duration(settingLookUpValidity, defaultLookUpValidity, "how long callers may use a look-up answer, 1s to 1m")
	flags.Duration(settingKeysBound, defaultKeysBound, "age of the view of keys above which keyed requests are refused, 1s to 5s")
	flags.Duration(settingRequestDeadline, defaultRequestDeadline, "longest time that a request may take, up to 10m")
	flags.Duration(settingDrainLimit, defaultDrainLimit, "longest wait for running requests at a stop, up to 1h")
	flags.String(settingLogLevel, "info", "least level to log: debug, info, warn or error")
	flags.String(settingLogFormat, logFormatJSON, "format of the log: json or console")
}

// reader reads settings and collects the faults of all of them.
type reader struct {
	source *viper.Viper
	faults []*SettingError
}

// readSettings checks all settings and reports every fault at once, as a
// [SettingsError].
func readSettings(source *viper.Viper) (Settings, error) {
	r := reader{
		source: source,
	}
	settings := Settings{
		Host:              r.text(settingHost),
		Region:            r.text(settingRegion),
		Zone:              r.text(settingZone),
		ListenAddress:     r.address(settingListen),
		StoreAddress:      r.address(settingStore),
		FleetSecret:       r.secret(settingFleetSecret),
		LookUpTTL:         r.duration(settingLookUpValidity, minLookUpValidity, maxLookUpValidity),
		MaxKeysAge:        r.duration(settingKeysBound, minKeysBound, maxKeysBound),
		MaxRequestTimeout: r.duration(settingRequestDeadline, time.Millisecond, maxRequestDeadline),
		DrainTimeout:      r.duration(settingDrainLimit, 0, maxDrainLimit),
		LogLevel:          r.level(settingLogLevel),
		LogFormat:         r.choice(settingLogFormat, logFormatJSON, logFormatConsole),
	}
	if len(r.faults) > 0 {
		return Settings{}, &SettingsError{
			Problems: r.faults,
		}
	}
	return settings, nil
}

func (r *reader) fault(name, value, accepted string) {
	r.faults = append(r.faults, &SettingError{
		Name:     name,
		Value:    value,
		Accepted: accepted,
	})
}

func (r *reader) text(name string) string {
	value := r.source.GetString(name)
	if value == "" {
		r.fault(name, value, "a name")
	}
	return value
}

func (r *reader) address(name string) netip.AddrPort {
	value := r.source.GetString(name)
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		r.fault(name, value, "an IP address and a port above zero, such as 10.1.0.4:8080")
	}
	return address
}

func (r *reader) secret(name string) string {
	value := r.source.GetString(name)
	if len(value) < minSecretLength {
		r.fault(name, hidden, "16 characters or more")
	}
	return value
}

func (r *reader) duration(name string, least, most time.Duration) time.Duration {
	text := r.source.GetString(name)
	value, err := time.ParseDuration(text)
	if err != nil || value < least || value > most {
		r.fault(name, text, "a duration from "+least.String()+" to "+most.String())
	}
	return value
}

func (r *reader) level(name string) zapcore.Level {
	text := r.source.GetString(name)
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		r.fault(name, text, "debug, info, warn or error")
	}
	return level
}

func (r *reader) choice(name string, accepted ...string) string {
	value := r.source.GetString(name)
	for _, a := range accepted {
		if value == a {
			return value
		}
	}
	r.fault(name, value, joinChoices(accepted))
	return value
}
