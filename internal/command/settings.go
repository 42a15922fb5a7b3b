package command

import (
	"net/netip"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"trefoilline.example/trefoilline/objectstore"
)

// Names of the flags of every command.
const (
	flagStore   = "store"
	flagHosts   = "hosts"
	flagTimeout = "timeout"
	flagOutput  = "output"
	flagSecret  = "fleet-secret"
)

// environmentPrefix starts the names of the environment variables.
const environmentPrefix = "trefoilline"

// settings are the flags of every command; those not given come from the
// environment.
type settings struct {
	store   string
	hosts   []netip.AddrPort
	timeout time.Duration
	secret  string
}

func readSettings(c *cobra.Command) (settings, error) {
	v := viper.New()
	v.SetEnvPrefix(environmentPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(c.Flags()); err != nil {
		return settings{}, &UsageError{
			Cause: err,
		}
	}
	s := settings{
		store:   v.GetString(flagStore),
		timeout: v.GetDuration(flagTimeout),
		secret:  v.GetString(flagSecret),
	}
	if s.timeout <= 0 {
		return settings{}, &SettingError{
			Setting:  flagTimeout,
			Value:    v.GetString(flagTimeout),
			Accepted: "a duration above zero, such as 10s",
		}
	}
	for _, text := range strings.FieldsFunc(strings.Join(v.GetStringSlice(flagHosts), ","), isSeparator) {
		host, err := netip.ParseAddrPort(text)
		if err != nil {
			return settings{}, &SettingError{
				Setting:  flagHosts,
				Value:    text,
				Accepted: "IP addresses and ports, such as 10.1.0.4:8080, separated by commas",
			}
		}
		s.hosts = append(s.hosts, host)
	}
	return s, nil
}

func isSeparator(r rune) bool { return r == ',' || r == ' ' }

// open returns the platform's client.
func (s settings) open() (*objectstore.Client, error) {
	base, err := netip.ParseAddrPort(s.store)
	if err != nil {
		return nil, &SettingError{
			Setting:  flagStore,
			Value:    s.store,
			Accepted: "an IP address and port, such as 10.0.0.9:7000, or the same in TREFOILLINE_STORE",
		}
	}
	return &objectstore.Client{
		Address: base,
		Timeout: s.timeout,
	}, nil
}

// openStore reads the settings and returns the platform's client.
func openStore(c *cobra.Command) (*objectstore.Client, error) {
	s, err := readSettings(c)
	if err != nil {
		return nil, err
	}
	return s.open()
}
