package daemon

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

// NewCommand returns the root command of trefoillined with all its subcommands.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "trefoillined",
		Short:         "Route requests from callers to backend servers",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(newRunCommand(), newServeCommand(), newCheckCommand(), newEventsCommand())
	return root
}

// bindSettings adds a flag for each setting to the command. A setting that is not given
// as a flag is read from its environment variable, and without that it has its default.
func bindSettings(command *cobra.Command) *viper.Viper {
	addFlags(command.Flags())
	source := viper.New()
	source.SetEnvPrefix(EnvironmentPrefix)
	source.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	source.AutomaticEnv()
	// BindPFlags fails only if a flag is nil.
	_ = source.BindPFlags(command.Flags())
	return source
}
