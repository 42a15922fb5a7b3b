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

const (
	// headerTimeout bounds the time that a connection may take to send the
	// headers of a request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the time that a stopping server waits for the
	// requests in progress.
	shutdownTimeout = 2 * time.Second
)

// settings holds the values of the command-line flags.
type settings struct {
	Listen     string
	MachineLag time.Duration
}

// NewCommand returns the command that serves the stand-in over HTTP until the
// process gets SIGINT or SIGTERM, or the command's context is cancelled. Its
// first line of output is "listening on ADDRESS".
func NewCommand() *cobra.Command {
	var s settings
	command := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in for the platform's object store and machine list",
		Long: `Run an in-memory stand-in for the object store and the machine list of the
platform that trefoilline runs on.

Faults are set over HTTP while it runs.`,
		Example: `  trefoilline-standin store --listen 127.0.0.1:7000
  curl -X POST -d '{"down": true}' http://127.0.0.1:7000/stand-in/faults`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return serveUntilStopped(command, s)
		},
	}
	command.Flags().StringVar(&s.Listen, "listen", "127.0.0.1:7000", "address to listen on")
	command.Flags().DurationVar(&s.MachineLag, "machine-lag", 0, "delay after which a change to the machine list becomes visible")
	return command
}

// serveUntilStopped serves HTTP until the command's context is cancelled or the
// process gets SIGINT or SIGTERM.
func serveUntilStopped(command *cobra.Command, s settings) error {
	ctx, stop := signal.NotifyContext(commandContext(command), syscall.SIGINT, syscall.SIGTERM)
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
		// Requests inherit ctx, so that pending watches end when the command
		// stops.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	fmt.Fprintf(command.OutOrStdout(), "listening on %s\n", listener.Addr())
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	return shutDown(server)
}

// shutDown waits up to shutdownTimeout for the requests in progress, then closes
// the remaining connections.
func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// commandContext returns the command's context, or the background context if it
// has none.
func commandContext(command *cobra.Command) context.Context {
	if ctx := command.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}
