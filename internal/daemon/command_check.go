package daemon

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"
)

// hidden is shown in place of a secret.
const hidden = "(hidden)"

// newCheck returns the command
//
//	trefoillined check
//
// which takes the same settings as run, prints each with its source, and
// reports every fault.
func newCheck() *cobra.Command {
	command := &cobra.Command{
		Use:     "check",
		Short:   "Print the settings in force and where each came from",
		Example: "  TREFOILLINED_HOST=accra-1 trefoillined check --region accra",
		Args:    cobra.NoArgs,
	}
	source := bind(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		command.Flags().VisitAll(func(flag *pflag.Flag) {
			if flag.Name == "help" {
				return
			}
			fmt.Fprintf(command.OutOrStdout(), "%-18s %-24s %s\n", flag.Name, shown(source, flag.Name), origin(flag))
		})
		_, err := readSettings(source)
		return err
	}
	return command
}

func shown(source *viper.Viper, name string) string {
	value := source.GetString(name)
	if name == settingFleetSecret && value != "" {
		return hidden
	}
	return value
}

func origin(flag *pflag.Flag) string {
	if flag.Changed {
		return "flag"
	}
	variable := EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
	if os.Getenv(variable) != "" {
		return "environment variable " + variable
	}
	return "default"
}
