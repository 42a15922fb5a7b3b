// Command trefoillined is the daemon that runs on each entry host.
package main

import (
	"os"

	"trefoilline.example/trefoilline/internal/daemon"
)

func main() {
	if daemon.NewCommand().Execute() != nil {
		os.Exit(1)
	}
}
