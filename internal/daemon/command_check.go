package daemon

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"
)

// hiddenSecret is printed in place of a secret.
const hiddenSecret = "(hidden)"

// newCheckCommand returns the command
//
//	trefoillined check
//
// which takes the same settings as run, prints the value and the source of each, and
// reports every invalid one.
func newCheckCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "check",
		Short:   "Check the settings and print their values and sources",
		Example: "  TREFOILLINED_HOST=accra-1 trefoillined check --region accra",
		Args:    cobra.NoArgs,
	}
	source := bindSettings(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		command.Flags().VisitAll(func(flag *pflag.Flag) {
			if flag.Name == "help" {
				return
			}
			fmt.Fprintf(command.OutOrStdout(), "%-18s %-24s %s\n", flag.Name, displayValue(source, flag.Name), settingOrigin(flag))
		})
		_, err := readSettings(source)
		return err
	}
	return command
}

// displayValue returns the text to print for a setting, without the secret.
func displayValue(source *viper.Viper, name string) string {
	value := source.GetString(name)
	if name == settingFleetSecret && value != "" {
		return hiddenSecret
	}
	return value
}

// settingOrigin says whether a setting comes from its flag, its environment variable
// or its default.
func settingOrigin(flag *pflag.Flag) string {
	if flag.Changed {
		return "flag"
	}
	variable := EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
	if os.Getenv(variable) != "" {
		return "environment variable " + variable
	}
	return "default"
}
