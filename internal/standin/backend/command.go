package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// crashExitStatus is the exit status of the command when OnCrash ends it.
const crashExitStatus = 3

// shutdownTimeout bounds the time that a stopping server waits for running
// requests.
const shutdownTimeout = 30 * time.Second

// readHeaderTimeout bounds the time that a connection may take to send the
// headers of a request.
const readHeaderTimeout = 10 * time.Second

// ServeError reports that the server could not listen or serve.
type ServeError struct {
	ListenAddress string
	Cause         error
}

func (e *ServeError) Error() string {
	return fmt.Sprintf("backend server on %s: %v", e.ListenAddress, e.Cause)
}

func (e *ServeError) Unwrap() error { return e.Cause }

// NewCommand returns the command that runs one backend server until the process
// gets SIGTERM or an interrupt, or the command's context is cancelled. It prints
// the address that it listens on.
func NewCommand() *cobra.Command {
	var listen string
	server := &Server{
		OnCrash: func() { os.Exit(crashExitStatus) },
	}
	command := &cobra.Command{
		Use:     "backend",
		Short:   "Run a stand-in backend server",
		Example: "  trefoilline-standin backend --listen 127.0.0.1:9000 --name accra-a-storefront-1 --service-time 20ms",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serveUntilStopped(command, listen, server)
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port to listen on")
	flags.IntVar(&server.Slots, "slots", DefaultSlots, "number of requests that run at once")
	flags.DurationVar(&server.ServiceTime, "service-time", 0, "how long a request runs")
	flags.StringVar(&server.Name, "name", "", "name of the server, included in responses")
	return command
}

func serveUntilStopped(command *cobra.Command, listen string, server *Server) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return &ServeError{
			ListenAddress: listen,
			Cause:         err,
		}
	}
	fmt.Fprintf(command.OutOrStdout(), "listening on %s\n", listener.Addr())
	httpServer := &http.Server{
		Handler:           server,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- httpServer.Serve(listener) }()
	select {
	case err = <-serveErrors:
	case <-ctx.Done():
		err = shutDown(httpServer)
	}
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &ServeError{
		ListenAddress: listen,
		Cause:         err,
	}
}

func shutDown(httpServer *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return httpServer.Shutdown(ctx)
}
