// Command trefoilline is the command-line tool for operators; see package command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"trefoilline.example/trefoilline/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Run(ctx, os.Args[1:], command.Streams{
		In:  os.Stdin,
		Out: os.Stdout,
		Err: os.Stderr,
	}))
}
