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
		file := &host.SettingsFile{
			Path:         *path,
			ReloadSignal: hurry,
		}
		settings, err := file.Read()
		if err != nil {
			return err
		}
		out := observe.NewAsyncWriter(os.Stdout)
		defer out.Close()
		// The settings were checked.
		text, _ := zapcore.ParseLevel(settings.LogLevel)
		level := zap.NewAtomicLevelAt(text)
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
