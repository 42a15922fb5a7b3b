package daemon

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// newRunCommand returns the command
//
//	trefoillined run --host NAME --region REGION --zone ZONE --listen ADDRESS --store ADDRESS
//
// which runs an entry host, configured by flags and environment variables, until SIGTERM
// or SIGINT, and then drains it: it takes the host out of look-up answers and waits for
// running requests, for at most the drain limit. The secret of the fleet comes from the
// environment variable TREFOILLINED_FLEET_SECRET, unless the flag --fleet-secret is set.
func newRunCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "run",
		Short: "Run an entry host, configured by flags and environment variables, until SIGTERM or SIGINT",
		Example: "  TREFOILLINED_FLEET_SECRET=... trefoillined run --host accra-1 --region accra --zone accra-a \\\n" +
			"    --listen 10.1.0.4:8080 --store 10.1.0.2:7000",
		Args: cobra.NoArgs,
	}
	source := bindSettings(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := readSettings(source)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return Run(ctx, settings)
	}
	return command
}
