package daemon

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// newRun returns the command
//
//	trefoillined run --host NAME --region REGION --zone ZONE --listen ADDRESS --store ADDRESS
//
// which runs an entry host until SIGTERM or SIGINT, and then drains it: it takes the host
// out of look-up answers and waits for running requests, for at most the drain limit.
func newRunCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "run",
		Short: "Serve look-ups and requests until told to stop",
		Example: "  trefoillined run --host accra-1 --region accra --zone accra-a \\\n" +
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
