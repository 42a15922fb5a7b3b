package daemon

import (
	"net/netip"
	"time"

	"github.com/spf13/pflag"
	"github.com/spf13/viper"
	"go.uber.org/zap/zapcore"
)

// The names of the settings, which are the names of their flags. The environment variable
// of a setting is EnvironmentPrefix, an underscore and the name in upper case, with
// underscores for hyphens.
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

// Defaults and accepted ranges of the settings.
const (
	defaultLookUpTTL         = 5 * time.Second
	minLookUpTTL             = time.Second
	maxLookUpTTL             = time.Minute
	defaultMaxKeysAge        = 4 * time.Second
	minMaxKeysAge            = time.Second
	maxMaxKeysAge            = 5 * time.Second
	defaultMaxRequestTimeout = time.Minute
	maxMaxRequestTimeout     = 10 * time.Minute
	defaultDrainTimeout      = time.Minute
	maxDrainTimeout          = time.Hour
	minSecretLength          = 16

	logFormatJSON    = "json"
	logFormatConsole = "console"
)

// Settings configure an entry host. They are read once, at the start.
type Settings struct {
	// Host is the name of this entry host. It is unique in the fleet.
	Host string
	// Region and Zone are the region and the availability zone that the host runs in.
	Region string
	Zone   string
	// ListenAddress is the address for callers, operators and other entry hosts.
	ListenAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// FleetSecret authenticates the calls of entry hosts and operators to entry hosts.
	FleetSecret string
	// LookUpTTL is how long callers may cache a look-up answer.
	LookUpTTL time.Duration
	// MaxKeysAge is the maximum time since this host last knew that its copy of the API
	// keys was current. After that, requests with a key are rejected, unless the store is
	// known to be down for all hosts; see [fleet.Node.CheckConfirmed].
	MaxKeysAge time.Duration
	// MaxRequestTimeout is the maximum duration of a request.
	MaxRequestTimeout time.Duration
	// DrainTimeout is how long the daemon waits for cached look-up answers to expire and
	// for running requests when it stops.
	DrainTimeout time.Duration
	// LogLevel is the lowest level that is logged.
	LogLevel zapcore.Level
	// LogFormat is json or console.
	LogFormat string
}

// addFlags adds the flag of each setting.
func addFlags(flags *pflag.FlagSet) {
	flags.String(settingHost, "", "name of this entry host, unique in the fleet")
	flags.String(settingRegion, "", "region that the host runs in")
	flags.String(settingZone, "", "availability zone that the host runs in")
	flags.String(settingListen, "", "IP address and port to listen on, such as 10.1.0.4:8080")
	flags.String(settingStore, "", "IP address and port of the platform's store")
	flags.String(settingFleetSecret, "", "secret shared by entry hosts and operators, 16 characters or more")
	flags.Duration(settingLookUpValidity, defaultLookUpTTL, "how long callers may cache a look-up answer, 1s to 1m")
	flags.Duration(settingKeysBound, defaultMaxKeysAge, "maximum time since the host last knew that its copy of the API keys was current; after that, requests with a key are rejected, 1s to 5s")
	flags.Duration(settingRequestDeadline, defaultMaxRequestTimeout, "maximum duration of a request, up to 10m")
	flags.Duration(settingDrainLimit, defaultDrainTimeout, "maximum wait, when the host stops, for cached look-up answers to expire and for running requests, up to 1h")
	flags.String(settingLogLevel, "info", "lowest level to log: debug, info, warn or error")
	flags.String(settingLogFormat, logFormatJSON, "format of the log: json or console")
}

// settingsReader reads settings and collects the errors of all of them.
type settingsReader struct {
	source   *viper.Viper
	problems []*SettingError
}

// readSettings reads and validates all settings. It returns a [SettingsError] that lists
// all invalid ones.
func readSettings(source *viper.Viper) (Settings, error) {
	r := settingsReader{
		source: source,
	}
	settings := Settings{
		Host:              r.text(settingHost),
		Region:            r.text(settingRegion),
		Zone:              r.text(settingZone),
		ListenAddress:     r.address(settingListen),
		StoreAddress:      r.address(settingStore),
		FleetSecret:       r.secret(settingFleetSecret),
		LookUpTTL:         r.duration(settingLookUpValidity, minLookUpTTL, maxLookUpTTL),
		MaxKeysAge:        r.duration(settingKeysBound, minMaxKeysAge, maxMaxKeysAge),
		MaxRequestTimeout: r.duration(settingRequestDeadline, time.Millisecond, maxMaxRequestTimeout),
		DrainTimeout:      r.duration(settingDrainLimit, 0, maxDrainTimeout),
		LogLevel:          r.level(settingLogLevel),
		LogFormat:         r.choice(settingLogFormat, logFormatJSON, logFormatConsole),
	}
	if len(r.problems) > 0 {
		return Settings{}, &SettingsError{
			Problems: r.problems,
		}
	}
	return settings, nil
}

func (r *settingsReader) addProblem(name, value, accepted string) {
	r.problems = append(r.problems, &SettingError{
		Name:     name,
		Value:    value,
		Accepted: accepted,
	})
}

func (r *settingsReader) text(name string) string {
	value := r.source.GetString(name)
	if value == "" {
		r.addProblem(name, value, "a name")
	}
	return value
}

func (r *settingsReader) address(name string) netip.AddrPort {
	value := r.source.GetString(name)
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		r.addProblem(name, value, "an IP address and a port above zero, such as 10.1.0.4:8080")
	}
	return address
}

func (r *settingsReader) secret(name string) string {
	value := r.source.GetString(name)
	if len(value) < minSecretLength {
		r.addProblem(name, hiddenSecret, "16 characters or more")
	}
	return value
}

func (r *settingsReader) duration(name string, shortest, longest time.Duration) time.Duration {
	text := r.source.GetString(name)
	value, err := time.ParseDuration(text)
	if err != nil || value < shortest || value > longest {
		r.addProblem(name, text, "a duration from "+shortest.String()+" to "+longest.String())
	}
	return value
}

func (r *settingsReader) level(name string) zapcore.Level {
	text := r.source.GetString(name)
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		r.addProblem(name, text, "debug, info, warn or error")
	}
	return level
}

func (r *settingsReader) choice(name string, accepted ...string) string {
	value := r.source.GetString(name)
	for _, a := range accepted {
		if value == a {
			return value
		}
	}
	r.addProblem(name, value, joinChoices(accepted))
	return value
}
