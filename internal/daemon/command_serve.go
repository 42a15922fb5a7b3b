package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
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
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		hurry := make(chan os.Signal, 1)
		signal.Notify(hurry, syscall.SIGHUP)
		defer signal.Stop(hurry)
		process, err := newProcess(&host.SettingsFile{
			Path:  *path,
			Hurry: hurry,
		})
		if err != nil {
			return err
		}
		return process.Run(ctx)
	}
	return command
}

// newProcess returns the process of a host with the settings and log that its file
// names.
func newProcess(file *host.SettingsFile) (host.Process, error) {
	settings, err := file.Read()
	if err != nil {
		return host.Process{}, err
	}
	// The settings were checked.
	text, _ := zapcore.ParseLevel(settings.LogLevel)
	level := zap.NewAtomicLevelAt(text)
	log, err := newLog(settings.Host, logFormatJSON, level)
	if err != nil {
		return host.Process{}, err
	}
	file.Log = log
	return host.Process{
		Settings: settings,
		File:     file,
		Log:      log,
		Level:    &level,
	}, nil
}
