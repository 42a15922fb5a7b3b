package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/internal/host"
)

// newServe returns the command
//
//	trefoillined serve --settings FILE
//
// which runs an entry host on the users' platform until SIGTERM or SIGINT, then
// leaves without cutting a request.
func newServe() *cobra.Command {
	command := &cobra.Command{
		Use:     "serve",
		Short:   "Serve on the users' platform until told to stop",
		Example: "  trefoillined serve --settings /etc/trefoilline/local.yaml",
		Args:    cobra.NoArgs,
	}
	path := command.Flags().String("settings", "", "path of the settings file")
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := host.ReadSettings(*path)
		if err != nil {
			return err
		}
		// The settings were checked.
		level, _ := zapcore.ParseLevel(settings.LogLevel)
		log, err := newLog(Settings{
			Host:      settings.Host,
			LogLevel:  level,
			LogFormat: logFormatJSON,
		})
		if err != nil {
			return err
		}
		// SIGHUP says that the settings file has changed; what stands in it is
		// needed at the start only.
		signal.Ignore(syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return host.Run(ctx, settings, log)
	}
	return command
}
