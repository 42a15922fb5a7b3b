package store

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// Bounds of the server's life, so that no caller can hold it up.
const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
)

// settings are the flags of the command.
type settings struct {
	Listen     string
	MachineLag time.Duration
}

// NewCommand returns the command that runs the stand-in until it is
// interrupted. Its first line of output names the address it listens on.
func NewCommand() *cobra.Command {
	var s settings
	command := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in of the platform's object store and machine list",
		Long: `Run a stand-in of the platform's object store and machine list in memory.

Faults are set over HTTP while it runs.`,
		Example: `  store --listen 127.0.0.1:7000
  curl -X POST -d '{"down": true}' http://127.0.0.1:7000/stand-in/faults`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return run(command, s)
		},
	}
	command.Flags().StringVar(&s.Listen, "listen", "127.0.0.1:7000", "address to listen on")
	command.Flags().DurationVar(&s.MachineLag, "machine-lag", 0, "how much later than the truth the list of machines is")
	return command
}

// run serves until the command's context is over or a signal comes.
func run(command *cobra.Command, s settings) error {
	ctx, stop := signal.NotifyContext(contextOf(command), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: &Server{
			Memory: &Memory{
				MachineLag: s.MachineLag,
			},
		},
		ReadHeaderTimeout: headerTimeout,
		// Waiting watches end with the command.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	fmt.Fprintf(command.OutOrStdout(), "listening on %s\n", listener.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return shutDown(server)
}

// shutDown lets running calls finish for a while and ends the rest.
func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

func contextOf(command *cobra.Command) context.Context {
	if ctx := command.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}
