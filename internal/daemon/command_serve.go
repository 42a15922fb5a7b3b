package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/observe"
)

// newServeCommand returns the command
//
//	trefoillined serve --settings FILE
//
// which runs an entry host of package internal/host until SIGTERM or SIGINT, and then
// drains it. SIGHUP reads the settings file again.
func newServeCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "serve",
		Short:   "Run an entry host, configured by a settings file, until SIGTERM or SIGINT",
		Example: "  trefoillined serve --settings /etc/trefoilline/local.yaml",
		Args:    cobra.NoArgs,
	}
	path := command.Flags().String("settings", "", "path of the settings file")
	command.RunE = func(command *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		reloadSignals := make(chan os.Signal, 1)
		signal.Notify(reloadSignals, syscall.SIGHUP)
		defer signal.Stop(reloadSignals)
		file := &host.SettingsFile{
			Path:         *path,
			ReloadSignal: reloadSignals,
		}
		settings, err := file.Read()
		if err != nil {
			return err
		}
		out := observe.NewAsyncWriter(os.Stdout)
		defer out.Close()
		// Read has validated the level.
		parsedLevel, _ := zapcore.ParseLevel(settings.LogLevel)
		level := zap.NewAtomicLevelAt(parsedLevel)
		file.Log = newLog(out, settings.Host, logFormatJSON, level)
		process := &host.Process{
			Settings:     settings,
			SettingsFile: file,
			Log:          file.Log,
			LogLevel:     &level,
		}
		return process.Run(ctx)
	}
	return command
}
