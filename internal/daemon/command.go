package daemon

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

// NewCommand returns the command tree of trefoillined.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "trefoillined",
		Short:         "Steers requests from callers to backend servers",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(newRun(), newServe(), newCheck(), newEvents())
	return root
}

// bind lets each setting come from its flag, else from its environment
// variable, else from its default.
func bind(command *cobra.Command) *viper.Viper {
	addFlags(command.Flags())
	source := viper.New()
	source.SetEnvPrefix(EnvironmentPrefix)
	source.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	source.AutomaticEnv()
	// BindPFlags only fails on a nil flag.
	_ = source.BindPFlags(command.Flags())
	return source
}
